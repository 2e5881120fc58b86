#include "core/once/table.h"

const char *
once_outcome_name(enum once_outcome outcome)
{
	static const char *const names[] = { "run", "wait", "answer", "ran",
		"not-run", "unknown", "busy", "elsewhere", "bad-id" };

	return names[outcome];
}

enum once_outcome
once_final_outcome(const struct entry *e, const struct once_answer **answer)
{
	if (e->state == ENTRY_NOT_RUN)
		return ONCE_NOT_RUN;
	if (e->state != ENTRY_DONE)
		return ONCE_UNKNOWN;
	if (!e->stored)
		return ONCE_RAN;
	if (answer)
		*answer = &e->stored->answer;
	return ONCE_ANSWER;
}

static enum once_outcome
receive_seen(struct once *o, struct entry *e, const struct once_request *r,
    int64_t now, uint64_t *handle, const struct once_answer **answer)
{
	if (e->state > ENTRY_SENT)
		return once_final_outcome(e, answer);
	if (now >= r->deadline)
		return ONCE_BUSY;
	*handle = once_add_waiter(o, e, r->deadline, r->arg);
	return *handle ? ONCE_WAIT : ONCE_BUSY;
}

static enum once_outcome
receive_unseen(struct once *o, const struct once_id *id,
    const struct once_request *r, int64_t now, uint64_t *handle)
{
	struct entry *e;

	if ((int64_t)id->created_ms > (now + o->limits.max_ahead_us) / 1000)
		return ONCE_BAD_ID;
	if (o->stats.ids_evicted && id->created_ms <= o->stats.horizon)
		return ONCE_UNKNOWN;
	e = once_add_entry(o, id);
	if (!e)
		return ONCE_NOT_RUN;
	e->deadline = r->deadline;
	if (now >= r->deadline) {
		once_finish_entry(o, e, ENTRY_NOT_RUN);
		return ONCE_NOT_RUN;
	}
	*handle = once_handle(e->generation, (uint32_t)(e - o->entry));
	return ONCE_RUN;
}

enum once_outcome
once_receive_request(struct once *o, const struct once_request *r, int64_t now,
    uint64_t *handle, const struct once_answer **answer)
{
	struct once_id id;
	struct entry *found;

	*handle = 0;
	*answer = NULL;
	if (once_id_parse(&id, r->id))
		return ONCE_BAD_ID;
	if (id.incarnation != o->incarnation)
		return ONCE_ELSEWHERE;
	found = once_find_entry(o, &id);
	if (found)
		return receive_seen(o, found, r, now, handle, answer);
	return receive_unseen(o, &id, r, now, handle);
}
