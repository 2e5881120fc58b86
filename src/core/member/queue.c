#include "core/member/impl.h"

#include <math.h>

void
member_enqueue(struct member_table *t, int handle, int with_info)
{
	struct row *r = member_row(t, handle);

	r->sends = 0;
	r->with_info = with_info || (r->queued && r->with_info);
	if (r->queued)
		return;
	r->queued = 1;
	g_array_append_val(t->queue, handle);
}

int
member_append_update(struct member_table *t, struct member_message *msg,
    int handle, int with_info, size_t bytes)
{
	const struct row *r = member_row(t, handle);
	struct member_update *u = &msg->update[msg->nupdate];

	if (msg->nupdate == MEMBER_UPDATES_MAX)
		return 0;
	u->state = r->m.state;
	u->state_seq = r->m.state_seq;
	u->has_info = with_info;
	u->info = r->m.info;
	msg->nupdate++;
	if (member_message_size(msg) <= bytes)
		return 1;
	msg->nupdate--;
	return 0;
}

/* Times that a row's state is sent before it is removed from the queue. */
static int
send_limit(const struct member_table *t, const struct row *r)
{
	int often = r->m.state == MEMBER_SUSPECT || r->with_info;
	int factor = often ? OFTEN_SEND_FACTOR : SEND_FACTOR;

	return (int)ceil(factor * member_log10_size(t));
}

/* Removes the rows from the queue whose state was sent often enough. */
static void
remove_sent(struct member_table *t)
{
	guint i = 0;

	while (i < t->queue->len) {
		struct row *r = member_row(t, g_array_index(t->queue, int, i));

		if (r->sends < send_limit(t, r)) {
			i++;
			continue;
		}
		r->queued = 0;
		g_array_remove_index_fast(t->queue, i);
	}
}

/* Adds the updates that were sent the fewest times first. */
void
member_piggyback(struct member_table *t, struct member_message *msg,
    size_t bytes)
{
	int limit = (int)ceil(OFTEN_SEND_FACTOR * member_log10_size(t));
	int level;
	guint i, n = t->queue->len;
	int full = 0;

	for (level = 0; level < limit && n > 0 && !full; level++) {
		for (i = 0; i < n && !full; i++) {
			int h = g_array_index(t->queue, int, i);
			struct row *r = member_row(t, h);

			if (r->sends != level || r->in_message)
				continue;
			if (!member_append_update(t, msg, h, r->with_info,
				bytes)) {
				full = 1;
				break;
			}
			r->sends++;
			r->in_message = 1;
		}
	}
	for (i = 0; i < n; i++)
		member_row(t, g_array_index(t->queue, int, i))->in_message = 0;
	remove_sent(t);
}
