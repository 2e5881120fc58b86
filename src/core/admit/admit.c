#include "impl.h"

#include <stdlib.h>

struct admit *
admit_new(const struct admit_config *config, int64_t now)
{
	struct admit *a = calloc(1, sizeof *a);

	if (!a)
		return NULL;
	if (queue_init(&a->queue, config->queue_max) < 0) {
		admit_free(a);
		return NULL;
	}
	a->config = *config;
	admit_configure_cold_rate(a);
	trial_init(a);
	a->idle_since = now;
	a->progress_at = now;
	admit_turn_cold(a, ADMIT_CAUSE_NEW);
	return a;
}

void
admit_free(struct admit *a)
{
	if (!a)
		return;
	queue_clear(&a->queue);
	free(a);
}

void
admit_configure(struct admit *a, const struct admit_config *config)
{
	a->config = *config;
	admit_configure_cold_rate(a);
	trial_init(a);
	if (a->limit > a->ceiling)
		a->limit = a->ceiling;
	if (a->limit < admit_cold_limit(a) || a->cold)
		a->limit = admit_cold_limit(a);
}

void
admit_set_knee(struct admit *a, int knee)
{
	a->config.knee = knee;
	trial_init(a);
	if (a->limit > a->ceiling)
		a->limit = a->ceiling;
}

void
admit_drain(struct admit *a)
{
	a->draining = 1;
}

void
admit_resume(struct admit *a)
{
	a->draining = 0;
}

void
admit_await_answer(struct admit *a, int64_t by)
{
	a->unknown = 1;
	a->answer_by = by;
}

void
admit_note_answered(struct admit *a)
{
	a->unknown = 0;
}

void
admit_set_out(struct admit *a, int out)
{
	a->out = out;
}

int
admit_in_flight(const struct admit *a)
{
	return a->in_flight;
}

int
admit_queued(const struct admit *a)
{
	return a->queue.n;
}

const struct admit_counters *
admit_counters(const struct admit *a)
{
	return &a->counters;
}
