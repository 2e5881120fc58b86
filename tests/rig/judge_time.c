#include "judge_impl.h"

int64_t
judge_last(const GArray *times, int64_t t)
{
	int64_t found = 0;
	guint i;

	for (i = 0; i < times->len; i++)
		if (g_array_index(times, int64_t, i) <= t)
			found = g_array_index(times, int64_t, i);
	return found;
}

static int
overlaps(const GArray *spans, int64_t from, int64_t to)
{
	const struct span *s;
	guint i;

	for (i = 0; i < spans->len; i++) {
		s = &g_array_index(spans, struct span, i);
		if (s->from <= to && s->to >= from)
			return 1;
	}
	return 0;
}

int
judge_disturbed(const struct judged_machine *m, int64_t from, int64_t to)
{
	return overlaps(m->spans, from, to);
}

int
judge_link_harmed(const struct judged_machine *m, int64_t t)
{
	const struct span *s;
	guint i;

	for (i = 0; i < m->spans->len; i++) {
		s = &g_array_index(m->spans, struct span, i);
		if (s->trouble == TROUBLE_LINK && s->from <= t &&
		    s->to >= t - TOUCH_US)
			return 1;
	}
	return 0;
}

int
judge_is_slowed(const struct judged_machine *m, int64_t from, int64_t to)
{
	const struct span *s;
	guint i;

	for (i = 0; i < m->spans->len; i++) {
		s = &g_array_index(m->spans, struct span, i);
		if (s->trouble == TROUBLE_SLOW && s->from <= to &&
		    s->to >= from)
			return 1;
	}
	return 0;
}

int
judge_store_moved(const struct judgement *j, int64_t from, int64_t to)
{
	return overlaps(j->store, from, to);
}

int
judge_store_away(const struct judgement *j, int64_t from, int64_t to)
{
	return overlaps(j->store_away, from, to);
}

int
judge_is_unsound(const struct judged_machine *m, int64_t from, int64_t to)
{
	return overlaps(m->unsound, from, to);
}

int
judge_is_parted(const struct judged_machine *m, int64_t from, int64_t to)
{
	return overlaps(m->parted, from, to);
}

static int
within(const GArray *times, int64_t t)
{
	int64_t last = judge_last(times, t);

	return last && t - last <= TOUCH_US;
}

int
judge_in_touch(const struct judged_machine *m, int64_t t)
{
	return !judge_disturbed(m, t - TOUCH_US, t) &&
	       !judge_is_parted(m, t - TOUCH_US, t) && !within(m->begun, t) &&
	       !within(m->term, t);
}

int
judge_up(const struct judged_machine *m, int64_t t)
{
	int64_t start = judge_last(m->start, t);

	return start && t - start > OVER_US &&
	       judge_last(m->end, t + ORDER_US) < start &&
	       !judge_disturbed(m, t, t + ORDER_US);
}
