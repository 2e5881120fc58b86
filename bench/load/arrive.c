#include "load.h"

#include <math.h>

#define IDLE_CHECK_MS 5

static const struct mix_entry *
draw_mix_entry(struct load *l)
{
	double sum = 0, x;
	int i;

	for (i = 0; i < l->opt.nmix; i++)
		sum += l->opt.mix[i].weight;
	x = g_rand_double(l->rand) * sum;
	for (i = 0; i < l->opt.nmix - 1; i++) {
		x -= l->opt.mix[i].weight;
		if (x < 0)
			break;
	}
	return &l->opt.mix[i];
}

static int64_t
draw_gap(struct load *l)
{
	double mean = G_USEC_PER_SEC / l->opt.rate;

	if (l->opt.fixed)
		return (int64_t)mean;
	return (int64_t)(-mean * log(1.0 - g_rand_double(l->rand)));
}

static void
stop_when_idle(struct load *l, int64_t now)
{
	if (l->inflight == 0) {
		g_main_loop_quit(l->main);
		return;
	}
	io_timer_set(l->loop, &l->arrival, now + IDLE_CHECK_MS * 1000);
}

static void
start_due_calls(void *ctx, int64_t now)
{
	struct load *l = ctx;
	int64_t end = l->start + (int64_t)(l->opt.seconds * G_USEC_PER_SEC);

	while (l->next_at <= now && l->next_at < end) {
		histogram_add(&l->lateness, io_clock() - l->next_at);
		call_start(l, draw_mix_entry(l), l->next_at);
		l->next_at += draw_gap(l);
	}
	if (l->next_at >= end)
		stop_when_idle(l, now);
	else
		io_timer_set(l->loop, &l->arrival, l->next_at);
}

void
arrive_start(struct load *l)
{
	l->start = io_clock();
	l->next_at = l->start + draw_gap(l);
	l->arrival.fire = start_due_calls;
	l->arrival.ctx = l;
	io_timer_set(l->loop, &l->arrival, l->next_at);
}
