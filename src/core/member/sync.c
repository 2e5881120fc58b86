#include "core/member/impl.h"

#include <string.h>

#define JOIN_NOTES_BYTES 700 /* of a page with notes, before its rows */

/* Adds rows from handle @from on until the message is full. Returns the handle
 * of the first row left out, or 0 if there is none. */
static uint32_t
fill_page(struct member_table *t, struct member_message *msg, uint32_t from,
    int with_info)
{
	guint h;

	for (h = from; h < t->rows->len; h++) {
		const struct row *r = member_row(t, (int)h);
		int info = with_info && r &&
			   (r->m.state == MEMBER_ALIVE ||
			       r->m.state == MEMBER_SUSPECT);

		if (r && !member_append_update(t, msg, (int)h, info,
			     (size_t)t->limits.datagram_bytes))
			return h;
	}
	return 0;
}

static void
push_page(struct member_table *t)
{
	struct member_message *msg;
	int h;

	if (member_sample(t, 0, 1, &h) == 0)
		return;
	msg = member_begin_message(t, MEMBER_PAGE, member_row(t, h)->m.info.id);
	t->sync_cursor = fill_page(t, msg, t->sync_cursor, 0);
	member_append_kept_notes(t, msg, (size_t)t->limits.datagram_bytes);
	member_send(t, &member_row(t, h)->m.info.address, msg);
}

/* Pings a random dead member (chosen by reservoir sampling), so that the parts
 * of a partitioned fleet find each other again. Forgets dead and left members
 * after limits.forget_after. */
static void
ping_or_forget_gone(struct member_table *t, int64_t now)
{
	int chosen = MEMBER_NONE;
	uint32_t seen = 0;
	guint h;

	for (h = 1; h < t->rows->len; h++) {
		const struct row *r = member_row(t, (int)h);

		if (!r || r->live_index >= 0)
			continue;
		if (now - r->m.state_since > t->limits.forget_after)
			member_forget(t, (int)h);
		else if (r->m.state == MEMBER_DEAD &&
			 member_random_below(t, ++seen) == 0)
			chosen = (int)h;
	}
	if (chosen != MEMBER_NONE)
		member_send_ping(t, chosen, ++t->seq);
}

void
member_sync_step(struct member_table *t, int64_t now)
{
	if (now < t->sync_at)
		return;
	t->sync_at = now + t->limits.sync_period;
	push_page(t);
	ping_or_forget_gone(t, now);
}

static void
send_want(struct member_table *t, const struct member_message *to,
    const uint64_t *want, int n)
{
	struct member_message *msg =
	    member_begin_message(t, MEMBER_WANT, to->from);

	memcpy(msg->want, want, (size_t)n * sizeof *want);
	msg->nwant = n;
	member_send(t, &to->source, msg);
}

/* Answers a page with the states that are newer here than in the page. */
static void
send_newer(struct member_table *t, const struct member_message *page,
    const int *handle, int n)
{
	struct member_message *msg =
	    member_begin_message(t, MEMBER_GOSSIP, page->from);
	int i;

	for (i = 0; i < n; i++)
		member_append_update(t, msg, handle[i], 0,
		    (size_t)t->limits.datagram_bytes);
	member_send(t, &page->source, msg);
}

void
member_compare_updates(struct member_table *t,
    const struct member_message *page)
{
	uint64_t want[MEMBER_WANTS_MAX];
	int newer[MEMBER_UPDATES_MAX];
	int i, nwant = 0, nnewer = 0;

	for (i = 0; i < page->nupdate; i++) {
		const struct member_update *u = &page->update[i];
		int h = member_find(t, u->info.id);
		const struct row *r = member_row(t, h);

		if ((!r || r->m.info.service_seq < u->info.service_seq) &&
		    h != 0 && nwant < MEMBER_WANTS_MAX && !u->has_info &&
		    (u->state == MEMBER_ALIVE || u->state == MEMBER_SUSPECT))
			want[nwant++] = u->info.id;
		if (r && (r->m.state_seq > u->state_seq ||
			     (r->m.state_seq == u->state_seq &&
				 r->m.state > u->state)))
			newer[nnewer++] = h;
	}
	if (nwant > 0)
		send_want(t, page, want, nwant);
	if (nnewer > 0 && page->kind == MEMBER_PAGE)
		send_newer(t, page, newer, nnewer);
}

void
member_answer_want(struct member_table *t, const struct member_message *want)
{
	struct member_message *msg =
	    member_begin_message(t, MEMBER_GOSSIP, want->from);
	int i;

	for (i = 0; i < want->nwant; i++) {
		int h = member_find(t, want->want[i]);

		if (h != MEMBER_NONE)
			member_append_update(t, msg, h, 1,
			    (size_t)t->limits.datagram_bytes);
	}
	if (msg->nupdate > 0)
		member_send(t, &want->source, msg);
}

void
member_answer_pull(struct member_table *t, const struct member_message *pull)
{
	struct member_message *msg =
	    member_begin_message(t, MEMBER_PAGE, pull->from);

	msg->seq = pull->seq;
	member_append_kept_notes(t, msg, JOIN_NOTES_BYTES);
	msg->cursor = fill_page(t, msg, pull->cursor, 1);
	member_send(t, &pull->source, msg);
}
