#include "impl.h"

#define WINDOW_US 50000 /* between two measurements */
#define REPORT_AGE_MAX_US 1000000 /* older reports do not show the load now */
#define GAIN 0.3 /* of a new measurement in the smoothed one */
#define HIGH 0.9 /* utilization above which the spill rises */
#define LOW 0.7 /* utilization below which the spill falls */
/* Rise of the spill per window, times the utilization in excess of HIGH. */
#define STEP_UP 0.5
#define STEP_UP_MAX 0.05
#define STEP_DOWN 0.01
/* Refused share of requests above which the own data centre counts as full. */
#define REFUSED_MAX 0.05

/* Measures the ratio of load to limit over a group's recent reports.
 * Return: 0 if there are none, else 1. */
static int
measure(const struct pick *p, enum group g, int64_t now, double *utilization)
{
	const struct list *l = &p->list[g];
	double load = 0;
	double limit = 0;
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		const struct candidate *c = &p->candidate[l->index[i]];

		if (!c->limit || now - c->report_at > REPORT_AGE_MAX_US)
			continue;
		load += c->load;
		limit += c->limit;
	}
	if (limit <= 0)
		return 0;
	*utilization = load / limit;
	return 1;
}

static void
smooth(struct pressure *s, enum group g, double utilization)
{
	s->utilization[g] += GAIN * (utilization - s->utilization[g]);
}

/* Raises the spill while the own data centre is nearly full and the others are
 * less utilized. Lowers it when the own one has capacity again, or the others
 * are more utilized. */
static void
set_spill(struct pressure *s)
{
	double own = s->utilization[GROUP_LOCAL];
	double step = STEP_UP * (own - HIGH);

	if (own > HIGH && s->utilization[GROUP_OTHER] < own)
		s->spill += step < STEP_UP_MAX ? step : STEP_UP_MAX;
	else if (own < LOW || s->utilization[GROUP_OTHER] > own)
		s->spill -= STEP_DOWN;
	if (s->spill < 0)
		s->spill = 0;
	if (s->spill > 1)
		s->spill = 1;
}

static void
update_unpriced(struct pick *p, int64_t now)
{
	struct pressure *s = &p->pressure;
	double utilization;

	if (!measure(p, GROUP_LOCAL, now, &utilization))
		utilization = 0;
	if (s->refused[GROUP_LOCAL] > REFUSED_MAX * s->sent[GROUP_LOCAL] &&
	    utilization < 1)
		utilization = 1;
	smooth(s, GROUP_LOCAL, utilization);
	if (!measure(p, GROUP_OTHER, now, &utilization))
		utilization = 0;
	smooth(s, GROUP_OTHER, utilization);
	set_spill(s);
	s->target = s->spill;
}

void
pick_update_pressure(struct pick *p, int64_t now)
{
	struct pressure *s = &p->pressure;
	int g;

	if (now < s->next_window)
		return;
	s->next_window = now + WINDOW_US;
	if (p->config.crossing_us > 0)
		pick_update_priced(p, now);
	else
		update_unpriced(p, now);
	for (g = 0; g < GROUPS; g++)
		s->sent[g] = s->refused[g] = s->calls[g] = 0;
}

void
pick_set_crossing(struct pick *p, double crossing_us)
{
	p->config.crossing_us = crossing_us;
}

double
pick_pressure(const struct pick *p)
{
	return p->pressure.utilization[GROUP_LOCAL];
}

double
pick_pressure_away(const struct pick *p)
{
	return p->pressure.utilization[GROUP_OTHER];
}

double
pick_spill_target(const struct pick *p)
{
	return p->pressure.target;
}

double
pick_spill(const struct pick *p)
{
	return p->pressure.spill;
}
