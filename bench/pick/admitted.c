#include "sim.h"

static void
refuse(struct sim *s, uint32_t id, enum admit_reason why)
{
	s->attempt[id].refused = 1;
	s->attempt[id].reason = (uint8_t)why;
	target_answer(s, id);
}

static void
run_admitted(struct sim *s, int target)
{
	struct target *t = &s->target[target];
	struct admit_item item;
	enum admit_pop p;

	while ((p = admit_pop(t->admit, s->now, &item)) != ADMIT_POP_NONE) {
		if (p == ADMIT_POP_REFUSED) {
			refuse(s, item.tag, item.reason);
			continue;
		}
		s->attempt[item.tag].run = item.run;
		target_start(s, item.tag);
	}
	if (admit_timer(t->admit, s->now) == t->timer)
		return;
	t->timer = admit_timer(t->admit, s->now);
	if (t->timer < INT64_MAX)
		heap_push(&s->heap, t->timer, EVENT_ADMIT, (uint32_t)target);
}

void
admission_receive(struct sim *s, uint32_t id)
{
	struct attempt *a = &s->attempt[id];
	struct admit *admit = s->target[a->target].admit;
	enum admit_reason why;
	uint32_t handle;

	if (a->movable && admit_crowded(admit, s->now)) {
		refuse(s, id, ADMIT_FULL);
		return;
	}
	switch (admit_request(admit, s->now, s->call[a->call].retry.deadline,
	    id, &a->run, &handle, &why)) {
	case ADMIT_RUN:
		target_start(s, id);
		break;
	case ADMIT_WAIT:
		break;
	case ADMIT_REFUSE:
		refuse(s, id, why);
		break;
	}
	run_admitted(s, a->target);
}

void
admission_finish(struct sim *s, uint32_t id)
{
	struct attempt *a = &s->attempt[id];
	struct target *t = &s->target[a->target];

	t->running--;
	admit_done(t->admit, s->now, &a->run, ADMIT_GOOD);
	target_answer(s, id);
	run_admitted(s, a->target);
}

void
admission_timer(struct sim *s, int target)
{
	if (s->now >= s->target[target].timer)
		run_admitted(s, target);
}
