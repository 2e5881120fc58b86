#include "impl.h"

#define WINDOW 24 /* completions of one window */
#define SPACING_MIN 8 /* windows at the ceiling before one on trial */
#define SPACING_MAX 64
#define TRIAL_WINDOWS 4 /* windows on trial before the limit is judged */
#define STEP 0.25 /* of the ceiling, between it and the limit on trial */
#define GAIN 1.05 /* adopted if its throughput is above this times the base */

static int
trial_limit(const struct admit *a, enum trial_kind kind)
{
	int step = (int)(STEP * a->ceiling);
	int n;

	if (step < 1)
		step = 1;
	n = (int)a->ceiling + (kind == TRIAL_UP ? step : -step);
	if (n > admit_max_limit(a))
		n = admit_max_limit(a);
	return n < admit_cold_limit(a) ? admit_cold_limit(a) : n;
}

void
trial_init(struct admit *a)
{
	a->ceiling = admit_max_limit(a);
	if (a->config.knee > 0 && a->config.knee < a->ceiling)
		a->ceiling = a->config.knee;
	a->trial = (struct trial){ .spacing = { SPACING_MIN, SPACING_MIN } };
	trial_stop_window(a);
}

static void
clear_samples(struct trial *t)
{
	t->base = (struct sample){ 0, 0 };
	t->tried = (struct sample){ 0, 0 };
}

void
trial_stop_window(struct admit *a)
{
	a->trial.limit = 0;
	a->trial.n = 0;
	a->trial.us = 0;
	a->trial.begun = INT64_MAX;
}

/** Throughput by Little's law, limit over mean latency, while the whole limit
 * is in use. */
static double
throughput(double limit, const struct sample *s)
{
	return limit * s->n / s->us;
}

static void
adopt_limit(struct admit *a, int limit)
{
	a->ceiling = limit;
	a->limit = limit;
	a->trial.spacing[TRIAL_DOWN] = SPACING_MIN;
	a->trial.spacing[TRIAL_UP] = SPACING_MIN;
}

static void
judge_trial(struct admit *a)
{
	struct trial *t = &a->trial;
	int limit = trial_limit(a, t->kind);
	double gain = throughput(limit, &t->tried) /
		      throughput((int)a->ceiling, &t->base);

	if (gain > GAIN)
		adopt_limit(a, limit);
	else if (gain < 1 && t->spacing[t->kind] < SPACING_MAX)
		t->spacing[t->kind] *= 2;
	clear_samples(t);
	t->kind = t->kind == TRIAL_UP ? TRIAL_DOWN : TRIAL_UP;
	if (trial_limit(a, t->kind) == (int)a->ceiling)
		t->kind = TRIAL_DOWN;
}

static void
end_window(struct admit *a, int64_t now)
{
	struct trial *t = &a->trial;
	struct sample *s = t->limit ? &t->tried : &t->base;

	s->n += t->n;
	s->us += t->us;
	t->windows = t->limit ? 0 : t->windows + 1;
	if (t->limit && t->tried.n >= TRIAL_WINDOWS * WINDOW)
		judge_trial(a);
	trial_stop_window(a);
	if (t->windows >= t->spacing[t->kind])
		t->limit = trial_limit(a, t->kind);
	t->begun = now;
}

/* Requests started before the window began are left out: they may have run with
 * another limit. */
void
trial_note_success(struct admit *a, int64_t now, const struct admit_run *run)
{
	struct trial *t = &a->trial;
	int saturated = a->saturated || a->queue.n;

	a->saturated = 0;
	if (!saturated || a->limit < a->ceiling) {
		trial_stop_window(a);
		return;
	}
	if (t->begun == INT64_MAX)
		t->begun = now;
	if (run->started < t->begun)
		return;
	t->us += (double)(now - run->started) + 1;
	if (++t->n >= WINDOW)
		end_window(a, now);
}
