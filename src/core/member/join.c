#include "core/member/impl.h"

#include <string.h>

void
member_join(struct member_table *t, const struct member_address *seed,
    int nseed, int64_t now)
{
	struct join *j = &t->join;
	int i;

	memset(j, 0, sizeof *j);
	j->nseed = MIN(nseed, MEMBER_SEEDS_MAX);
	memcpy(j->seed, seed, (size_t)j->nseed * sizeof *seed);
	for (i = j->nseed; i > 1; i--) {
		uint32_t k = member_random_below(t, (uint32_t)i);
		struct member_address a = j->seed[i - 1];

		j->seed[i - 1] = j->seed[k];
		j->seed[k] = a;
	}
	j->active = j->nseed > 0;
	j->next_at = now;
	t->tick_due = MIN(t->tick_due, now);
}

static void
ask_seeds(struct member_table *t)
{
	struct join *j = &t->join;
	int i;

	for (i = 0; i < MIN(JOIN_AT_ONCE, j->nseed); i++) {
		struct member_message *msg =
		    member_begin_message(t, MEMBER_JOIN, 0);

		member_append_update(t, msg, 0, 1, PIGGYBACK_BYTES);
		member_send(t, &j->seed[j->next_seed], msg);
		j->next_seed = (j->next_seed + 1) % j->nseed;
	}
}

/* The PULL carries our info: it is addressed to the seed's incarnation, which
 * proves that it is fresh, so the seed uses its content, unlike a JOIN's. */
static void
ask_page(struct member_table *t)
{
	struct join *j = &t->join;
	struct member_message *msg =
	    member_begin_message(t, MEMBER_PULL, j->id);

	msg->cursor = j->cursor;
	msg->seq = j->seq;
	member_append_update(t, msg, 0, 1, PIGGYBACK_BYTES);
	member_send(t, &j->address, msg);
}

void
member_join_step(struct member_table *t, int64_t now)
{
	struct join *j = &t->join;

	if (!j->active || now < j->next_at)
		return;
	j->next_at = now + JOIN_RETRY_US;
	if (j->id != 0 && j->tries++ >= JOIN_TRIES) {
		j->id = 0;
		j->cursor = 0;
	}
	if (j->id != 0)
		ask_page(t);
	else
		ask_seeds(t);
}

void
member_receive_welcome(struct member_table *t, const struct member_message *msg,
    int64_t now)
{
	struct join *j = &t->join;

	if (!j->active || j->id != 0)
		return;
	j->id = msg->from;
	j->address = msg->source;
	j->seq = ++t->seq;
	j->tries = 0;
	j->next_at = now;
	member_join_step(t, now);
}

/* A page that the seed pushes has no number: it does not end the join. */
void
member_receive_page(struct member_table *t, const struct member_message *msg,
    int64_t now)
{
	struct join *j = &t->join;

	if (!j->active || msg->from != j->id || msg->seq != j->seq ||
	    (msg->cursor != 0 && msg->cursor <= j->cursor))
		return;
	j->cursor = msg->cursor;
	j->seq = ++t->seq;
	j->tries = 0;
	j->active = msg->cursor != 0;
	j->next_at = now;
	member_join_step(t, now);
}
