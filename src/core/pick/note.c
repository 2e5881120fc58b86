#include "impl.h"

#include "admit.h"
#include "pace.h"

#define GAIN 0.1 /* of averages of one candidate */
#define SHARED_GAIN 0.02 /* of averages over all candidates */
#define AVOID_LEAVING_US 1000000
#define AVOID_COLD_US 20000
#define AVOID_SLOW_US 60000 /* usual remaining time of a slow period */
#define AVOID_SILENT_US 300000 /* three checks for silent peers */
#define AVOID_FAILED_US 10000 /* doubled with each further failure */
#define AVOID_DOUBLINGS_MAX 7
#define FAILED_TOLERATED 3 /* answered failures in a row before avoidance */

/* Updates an exponentially weighted average; the first value is taken as is. */
static void
smooth(double *average, double value, double gain)
{
	*average += (*average > 0 ? gain : 1) * (value - *average);
}

void
pick_note_report(struct pick *p, struct candidate *c, int64_t now,
    const struct load_report *l, uint32_t unreported)
{
	int64_t made = now - l->age_us;

	if (made < c->report_at)
		return;
	c->report_at = made;
	c->load = l->in_flight + l->queued;
	c->limit = l->limit ? l->limit : 1;
	c->report_us = l->latency_us;
	c->cold = l->cold;
	c->draining = l->draining;
	if (!l->draining && !c->stops)
		c->leaving_at = 0;
	c->unreported = unreported;
	if (l->pace > PACE_SLOW && l->pace_age_us < AVOID_SLOW_US &&
	    made + AVOID_SLOW_US - l->pace_age_us > c->avoid_until)
		c->avoid_until = made + AVOID_SLOW_US - l->pace_age_us;
	p->utilization += SHARED_GAIN * (c->load / c->limit - p->utilization);
	smooth(&p->limit, c->limit, SHARED_GAIN);
}

void
pick_sent(struct pick *p, uint32_t handle, int64_t now)
{
	uint32_t index = pick_find(p, handle);
	struct candidate *c;

	if (index == INDEX_NONE)
		return;
	c = &p->candidate[index];
	if (p->config.policy == PICK_EXPECTED)
		smooth(&c->predicted_us, pick_estimate(p, c, now), GAIN);
	c->in_flight++;
	c->unreported++;
	c->sent_sum += (double)now;
	p->pressure.sent[c->group]++;
}

/* Stops counting one request, sent at @at, as in flight. */
static void
remove_in_flight(struct candidate *c, double at)
{
	if (!c->in_flight)
		return;
	c->sent_sum = --c->in_flight ? c->sent_sum - at : 0;
	if (c->unreported > c->in_flight)
		c->unreported = c->in_flight;
}

static void
avoid(struct candidate *c, int64_t until)
{
	if (until > c->avoid_until)
		c->avoid_until = until;
}

static void
avoid_failing(struct candidate *c, int64_t until)
{
	avoid(c, until);
	if (until > c->failing_until)
		c->failing_until = until;
}

void
pick_note_unresponsive(struct pick *p, uint32_t handle, int64_t now)
{
	uint32_t index = pick_find(p, handle);

	if (index != INDEX_NONE)
		avoid_failing(&p->candidate[index], now + AVOID_SILENT_US);
}

static void
note_failure(struct candidate *c, int64_t now, uint32_t tolerated)
{
	uint32_t n;

	if (++c->failures <= tolerated)
		return;
	n = c->failures - tolerated - 1;
	if (n > AVOID_DOUBLINGS_MAX)
		n = AVOID_DOUBLINGS_MAX;
	avoid_failing(c, now + ((int64_t)AVOID_FAILED_US << n));
}

static void
set_latency(struct pick *p, struct candidate *c, double us)
{
	if (us < 1)
		us = 1;
	if (c->latency_us > 0)
		p->inverse_sum -= 1 / c->latency_us;
	else
		p->inverse_n++;
	smooth(&c->latency_us, us, GAIN);
	p->inverse_sum += 1 / c->latency_us;
}

void
pick_done(struct pick *p, uint32_t handle, int64_t now, int64_t latency_us,
    enum pick_outcome outcome, const struct load_report *l)
{
	uint32_t index = pick_find(p, handle);
	double us = (double)latency_us;
	struct candidate *c;

	if (index == INDEX_NONE)
		return;
	c = &p->candidate[index];
	remove_in_flight(c, (double)now - us);
	if (l)
		pick_note_report(p, c, now, l, 0);
	if (outcome == PICK_FAILED)
		note_failure(c, now, FAILED_TOLERATED);
	else if (outcome == PICK_LOST)
		note_failure(c, now, 0);
	if (outcome == PICK_GOOD)
		c->failures = 0;
	/* A cancelled request only shows that its latency is at least us. */
	if (outcome != PICK_GOOD &&
	    (outcome != PICK_CANCELLED || us < c->latency_us))
		return;
	set_latency(p, c, us);
	if (c->report_us > 0)
		smooth(&p->report_us, c->report_us, SHARED_GAIN);
	c->latency_at = now;
	if (c->predicted_us > 0)
		p->bias += SHARED_GAIN * (us / c->predicted_us - p->bias);
}

/* A target that is drained says so in its reports; one that refuses and doesn't
 * say so has a daemon that stops. */
static void
note_leaving(struct candidate *c, int64_t now, const struct load_report *l)
{
	if (!c->leaving_at)
		c->leaving_at = now;
	if (l && !l->draining)
		c->stops = 1;
}

/* When the refused request was sent is not known here; the mean of the times of
 * those in flight stands for it. */
void
pick_refused(struct pick *p, uint32_t handle, int64_t now, int reason,
    const struct load_report *l)
{
	uint32_t index = pick_find(p, handle);
	struct candidate *c;

	if (index == INDEX_NONE)
		return;
	c = &p->candidate[index];
	if (c->in_flight)
		remove_in_flight(c, c->sent_sum / c->in_flight);
	if (l)
		pick_note_report(p, c, now, l, 0);
	if (reason == ADMIT_DRAINING)
		note_leaving(c, now, l);
	if (reason == ADMIT_DRAINING || reason == ADMIT_OUT) {
		avoid(c, now + AVOID_LEAVING_US);
		return;
	}
	p->pressure.refused[c->group]++;
	if (reason == ADMIT_COLD)
		avoid(c, now + AVOID_COLD_US);
}
