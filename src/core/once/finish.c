#include "core/once/table.h"

void
once_finish(struct once *o, struct entry *e, enum fate fate)
{
	e->fate = fate;
	o->stats.in_progress--;
	if (fate == FATE_DONE)
		once_kept_complete(o, e);
	else
		once_kept_drop(o, e);
	once_reply_all(o, e);
	once_heap_push(o, (uint32_t)(e - o->entry));
}

int
once_may_send(struct once *o, uint64_t entry, int64_t now)
{
	struct entry *e = once_entry(o, entry);

	if (!e || e->fate != FATE_PENDING)
		return 0;
	if (now >= e->deadline) {
		once_finish(o, e, FATE_NOT_RUN);
		return 0;
	}
	e->fate = FATE_SENT;
	o->stats.runs++;
	return 1;
}

void
once_done(struct once *o, uint64_t entry)
{
	struct entry *e = once_entry(o, entry);

	if (e)
		once_finish(o, e, FATE_DONE);
}

enum once_outcome
once_not_run(struct once *o, uint64_t entry)
{
	struct entry *e = once_entry(o, entry);

	if (!e)
		return ONCE_UNKNOWN;
	once_finish(o, e, e->fate == FATE_SENT ? FATE_UNKNOWN : FATE_NOT_RUN);
	return once_said(e, NULL);
}

enum once_outcome
once_lost(struct once *o, uint64_t entry)
{
	return once_not_run(o, entry);
}

enum once_outcome
once_shed(struct once *o, uint64_t entry)
{
	struct entry *e = once_entry(o, entry);

	if (!e)
		return ONCE_UNKNOWN;
	once_finish(o, e, FATE_NOT_RUN);
	return ONCE_NOT_RUN;
}
