#include "impl.h"

#define WINDOW_US 50000
#define FRESH_US 1000000 /* an older report says nothing of pressure */
#define GAIN 0.3
#define HIGH 0.9 /* above this calls spill over */
#define LOW 0.7 /* below this they come back */
#define STEP_UP 0.5 /* of the excess, a window */
#define STEP_UP_MAX 0.05
#define STEP_DOWN 0.01
#define REFUSED_PART 0.05 /* of calls refused that counts as full */

static int
use_of(const struct pick *p, enum group g, int64_t now, double *use)
{
	const struct list *l = &p->list[g];
	double load = 0;
	double limit = 0;
	uint32_t i;

	for (i = 0; i < l->n; i++) {
		const struct candidate *c = &p->candidate[l->index[i]];

		if (!c->limit || now - c->reported > FRESH_US)
			continue;
		load += c->load;
		limit += c->limit;
	}
	if (limit <= 0)
		return 0;
	*use = load / limit;
	return 1;
}

static void
smooth(struct pressure *s, enum group g, double use)
{
	s->use[g] += GAIN * (use - s->use[g]);
}

/** Spills while the own data centre is pressed and others are less so. */
static void
set_spill(struct pressure *s)
{
	double own = s->use[GROUP_LOCAL];
	double step = STEP_UP * (own - HIGH);

	if (own > HIGH && s->use[GROUP_OTHER] < own)
		s->spill += step < STEP_UP_MAX ? step : STEP_UP_MAX;
	else if (own < LOW || s->use[GROUP_OTHER] > own)
		s->spill -= STEP_DOWN;
	if (s->spill < 0)
		s->spill = 0;
	if (s->spill > 1)
		s->spill = 1;
}

void
pick_measure(struct pick *p, int64_t now)
{
	struct pressure *s = &p->pressure;
	double use;

	if (now < s->next)
		return;
	s->next = now + WINDOW_US;
	use = 0;
	if (!use_of(p, GROUP_LOCAL, now, &use))
		use = 0;
	if (s->refused > REFUSED_PART * s->sent && use < 1)
		use = 1;
	smooth(s, GROUP_LOCAL, use);
	use = 0;
	if (use_of(p, GROUP_OTHER, now, &use))
		smooth(s, GROUP_OTHER, use);
	else
		smooth(s, GROUP_OTHER, 0);
	s->sent = 0;
	s->refused = 0;
	set_spill(s);
}

double
pick_pressure(const struct pick *p)
{
	return p->pressure.use[GROUP_LOCAL];
}

double
pick_spill(const struct pick *p)
{
	return p->pressure.spill;
}
