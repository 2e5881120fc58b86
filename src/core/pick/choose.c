#include "impl.h"

static pick_policy_fn *const policies[PICK_POLICIES] = { pick_random,
	pick_round_robin, pick_least_of_two, pick_latency_of_two,
	pick_probe_pool, pick_expected, pick_weighted };

const char *
pick_policy_name(enum pick_policy policy)
{
	static const char *const names[PICK_POLICIES] = { "random",
		"round-robin", "least-of-two", "latency-of-two", "probe-pool",
		"expected", "weighted" };

	return names[policy];
}

/* Group to try first: the other data centres for the share that spills over. */
static enum group
first_group(struct pick *p)
{
	if (!p->list[GROUP_LOCAL].n)
		return GROUP_OTHER;
	if (p->pressure.spill > 0 && p->list[GROUP_OTHER].n &&
	    rng_unit(&p->rng) < p->pressure.spill)
		return GROUP_OTHER;
	return GROUP_LOCAL;
}

/* Where none of those that may be chosen stays, those that were leaving this
 * much earlier than the last one have too little time left to be chosen. */
#define LEAVING_SPREAD_US 1000000

/* Time from which candidates that leave may be chosen, INT64_MAX for none. */
static int64_t
leaving_from(const struct pick *p, const struct query *q)
{
	int64_t last = 0;
	int g;
	uint32_t i;

	for (g = 0; g < GROUPS; g++)
		for (i = 0; i < p->list[g].n; i++) {
			uint32_t index = p->list[g].index[i];
			int64_t at = p->candidate[index].leaving_at;

			if (!pick_allowed(p, q, index))
				continue;
			if (pick_stays(p, q->now, index))
				return INT64_MAX;
			if (at > last)
				last = at;
		}
	return last - LEAVING_SPREAD_US;
}

/* Whether none of the query's excluded candidates is of its group. */
static int
first_in_group(const struct pick *p, const struct query *q)
{
	uint32_t i, index;

	for (i = 0; i < q->nexclude; i++) {
		index = pick_find(p, q->exclude[i]);
		if (index != INDEX_NONE &&
		    p->candidate[index].group == q->group)
			return 0;
	}
	return 1;
}

/* Counts a chosen candidate of another data centre. */
static void
note_crossing(struct pick *p, enum group first, enum group g)
{
	enum pick_crossing why = PICK_CROSSED_TRIED;

	if (g != GROUP_OTHER)
		return;
	if (!p->list[GROUP_LOCAL].n)
		why = PICK_CROSSED_NO_TARGET;
	else if (first == GROUP_OTHER)
		why = PICK_CROSSED_SPILL;
	p->crossed[why]++;
}

uint64_t
pick_crossed(const struct pick *p, enum pick_crossing why)
{
	return p->crossed[why];
}

/* The first pass over both groups is strict; the second also takes candidates
 * that are avoided or draining, those that leave if none stays, and disregards
 * ramps. With a price of crossings, calls that spill over first go only to
 * targets that have room. */
uint32_t
pick_choose_of(struct pick *p, uint32_t classes, int64_t now,
    const uint32_t *exclude, uint32_t nexclude)
{
	struct query q = { now, GROUP_LOCAL, 1, 0, 0, nexclude, exclude,
		classes };
	enum group first;
	int g, spills;

	pick_update_pressure(p, now);
	if (p->probe_credit < 1)
		p->probe_credit += p->config.probe_per_call;
	first = first_group(p);
	spills = p->config.crossing_us > 0 && first == GROUP_OTHER &&
		 p->list[GROUP_LOCAL].n;
	for (q.strict = 1; q.strict >= 0; q.strict--) {
		if (!q.strict)
			q.leaving_from = leaving_from(p, &q);
		for (g = 0; g < GROUPS; g++) {
			uint32_t index;

			q.group = g ? (enum group) !first : first;
			if (!p->list[q.group].n)
				continue;
			q.room =
			    spills && !g && q.strict ? p->pressure.room : 0;
			index = policies[p->config.policy](p, &q);
			if (index == INDEX_NONE)
				continue;
			p->pressure.calls[q.group] += first_in_group(p, &q);
			note_crossing(p, first, q.group);
			return pick_handle(p, index);
		}
	}
	return PICK_NONE;
}

uint32_t
pick_choose(struct pick *p, int64_t now, const uint32_t *exclude,
    uint32_t nexclude)
{
	return pick_choose_of(p, PICK_ANY, now, exclude, nexclude);
}

int
pick_any_stays(const struct pick *p, int64_t now, const uint32_t *exclude,
    uint32_t nexclude)
{
	return pick_any_stays_of(p, PICK_ANY, now, exclude, nexclude);
}

int
pick_any_stays_of(const struct pick *p, uint32_t classes, int64_t now,
    const uint32_t *exclude, uint32_t nexclude)
{
	struct query q = { now, GROUP_LOCAL, 0, 0, 0, nexclude, exclude,
		classes };
	int g;
	uint32_t i;

	for (g = 0; g < GROUPS; g++)
		for (i = 0; i < p->list[g].n; i++) {
			uint32_t index = p->list[g].index[i];

			if (pick_stays(p, now, index) &&
			    pick_allowed(p, &q, index))
				return 1;
		}
	return 0;
}
