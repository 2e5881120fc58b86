#include "core/once/table.h"

void
once_finish_entry(struct once *o, struct entry *e, enum entry_state state)
{
	e->state = state;
	o->stats.in_progress--;
	if (state == ENTRY_DONE)
		once_stored_complete(o, e);
	else
		once_stored_free(o, e);
	once_reply_waiters(o, e);
	once_heap_push(o, (uint32_t)(e - o->entry));
}

int
once_begin_send(struct once *o, uint64_t entry, int64_t now)
{
	struct entry *e = once_active_entry(o, entry);

	if (!e || e->state != ENTRY_PENDING)
		return 0;
	if (now >= e->deadline) {
		once_finish_entry(o, e, ENTRY_NOT_RUN);
		return 0;
	}
	e->state = ENTRY_SENT;
	o->stats.runs++;
	return 1;
}

void
once_done(struct once *o, uint64_t entry)
{
	struct entry *e = once_active_entry(o, entry);

	if (e)
		once_finish_entry(o, e, ENTRY_DONE);
}

enum once_outcome
once_not_run(struct once *o, uint64_t entry)
{
	struct entry *e = once_active_entry(o, entry);

	if (!e)
		return ONCE_UNKNOWN;
	once_finish_entry(o, e,
	    e->state == ENTRY_SENT ? ENTRY_UNKNOWN : ENTRY_NOT_RUN);
	return once_final_outcome(e, NULL);
}

enum once_outcome
once_answer_lost(struct once *o, uint64_t entry)
{
	return once_not_run(o, entry);
}

enum once_outcome
once_known_not_run(struct once *o, uint64_t entry)
{
	struct entry *e = once_active_entry(o, entry);

	if (!e)
		return ONCE_UNKNOWN;
	once_finish_entry(o, e, ENTRY_NOT_RUN);
	return ONCE_NOT_RUN;
}
