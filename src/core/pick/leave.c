#include "impl.h"

/* Age up to which a report counts. Reports are up to 2 s old. */
#define REPORT_AGE_MAX_US 2500000
/* Time constant of the sums of calls and refusals. */
#define REFUSED_US 300000.0
/* Calls without a refusal that are added to the sums, so that one refusal among
 * few calls shows nothing, and old refusals fade when nothing is sent. */
#define SERVED_PRIOR 3
/* Refused share of calls above which a group counts as full. */
#define REFUSED_MAX 0.05
/* Least share of calls served that is assumed where most are refused. */
#define SERVED_MIN 0.2
/* Targets away whose utilization is at home's or above this have no room. */
#define ROOM_MIN 0.9

int
pick_has_room(const struct candidate *c, double utilization)
{
	return c->limit && !c->cold &&
	       c->load + c->unreported < utilization * c->limit;
}

/* Whether a candidate's places count: those that no call may take because of
 * the spill don't. @room: 0, or the utilization below which those away do. */
static int
counts(const struct candidate *c, int64_t now, double room)
{
	if (!c->limit || c->share <= 0 || c->draining || c->leaving_at ||
	    c->failing_until > now)
		return 0;
	return c->group == GROUP_LOCAL || room <= 0 || pick_has_room(c, room);
}

/* Measures a group by the last report of each candidate; the load only by
 * recent ones. Without any, the limit is 0. */
static struct crossing_side
measure(const struct pick *p, enum group g, int64_t now, double room)
{
	const struct list *l = &p->list[g];
	struct crossing_side side = { 0 };
	double recent = 0;
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		const struct candidate *c = &p->candidate[l->index[i]];
		double limit = c->limit * c->share;

		if (!counts(c, now, room))
			continue;
		side.limit += limit;
		if (now - c->report_at > REPORT_AGE_MAX_US)
			continue;
		recent += limit;
		side.utilization += c->load * c->share;
		side.demand +=
		    (c->load < c->limit ? c->load : c->limit) * c->share;
		side.latency_us += c->report_us * limit;
		side.age_us += (double)(now - c->report_at) * limit;
	}
	if (recent <= 0)
		return (struct crossing_side){ 0 };
	side.utilization /= recent;
	side.demand /= recent;
	side.latency_us /= recent;
	side.age_us /= recent;
	return side;
}

/* What calls of the group need over what is served of them. A request that was
 * refused and then served by another target of the group counts as served. */
static double
needed(const struct pressure *s, enum group g)
{
	double served = s->served[g] > 0 ? s->served[g] : 0;
	double share = (served + SERVED_PRIOR) / (s->called[g] + SERVED_PRIOR);

	if (share > 1 - REFUSED_MAX)
		return 0;
	return 1 / (share > SERVED_MIN ? share : SERVED_MIN);
}

static void
note_requests(struct pressure *s, enum group g, int64_t elapsed_us)
{
	double keep = REFUSED_US / (REFUSED_US + (double)elapsed_us);

	s->called[g] = keep * s->called[g] + s->calls[g];
	s->served[g] = keep * s->served[g] + s->sent[g] - s->refused[g];
}

static void
note_group(struct pick *p, enum group g, int64_t now, int64_t elapsed_us)
{
	struct pressure *s = &p->pressure;
	struct crossing_side new = measure(p, g, now, s->room);
	double most;

	note_requests(s, g, elapsed_us);
	most = needed(s, g);
	if (new.demand < most)
		new.demand = most;
	if (new.utilization < most)
		new.utilization = most;
	s->side[g] = new;
	s->utilization[g] = measure(p, g, now, 0).utilization;
	if (s->utilization[g] < most)
		s->utilization[g] = most;
}

/* The spill @age_us ago. */
static double
past_spill(const struct pressure *s, int64_t now, double age_us)
{
	uint32_t i, k;

	for (i = 0; i < SPILLS_KEPT; i++) {
		k = (s->past_i + SPILLS_KEPT - i) % SPILLS_KEPT;
		if ((double)(now - s->past_at[k]) >= age_us)
			return s->past[k];
	}
	return s->spill;
}

static void
keep_spill(struct pressure *s, int64_t now)
{
	s->past_i = (s->past_i + 1) % SPILLS_KEPT;
	s->past[s->past_i] = s->spill;
	s->past_at[s->past_i] = now;
}

/* Where one side has no recent reports, nothing leaves on a guess; probes bring
 * reports. Targets away that are fuller than home are no goal, so that two full
 * data centres don't exchange calls beside a third one that has room. */
void
pick_update_priced(struct pick *p, int64_t now)
{
	struct pressure *s = &p->pressure;
	const struct crossing_side *home = &s->side[GROUP_LOCAL];
	const struct crossing_side *away = &s->side[GROUP_OTHER];
	int64_t elapsed = s->updated_at ? now - s->updated_at : 0;

	s->updated_at = now;
	note_group(p, GROUP_LOCAL, now, elapsed);
	s->room = home->utilization > ROOM_MIN ? home->utilization : ROOM_MIN;
	note_group(p, GROUP_OTHER, now, elapsed);
	s->target = pick_crossing_target(past_spill(s, now, home->age_us), home,
	    away, p->config.crossing_us);
	s->spill = pick_crossing_approach(s->spill, s->target, elapsed);
	keep_spill(s, now);
}
