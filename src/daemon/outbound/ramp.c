#include <string.h>

#include "daemon/outbound/outbound.h"

#define RAMP_STEP_US 100000
#define RAMP_MIN_SHARE 0.02 /* of a full share, at the start of the ramp */

/* State of a data centre. After its return from "out" its share of calls grows
 * from RAMP_MIN_SHARE to the full one. */
struct ramp {
	char name[DATACENTRE_NAME_MAX];
	int out;
	int64_t started; /* when it returned, 0 when no ramp is running */
	int64_t length_us;
};

/* Ramp of a data centre; made on first use. */
static struct ramp *
ramp_of(struct data *d, const char *name)
{
	struct ramp *r = g_hash_table_lookup(d->ramps, name);

	if (r)
		return r;
	r = g_new0(struct ramp, 1);
	g_strlcpy(r->name, name, sizeof r->name);
	g_hash_table_insert(d->ramps, r->name, r);
	return r;
}

double
outbound_ramp_share(struct data *d, const char *datacentre)
{
	struct ramp *r = g_hash_table_lookup(d->ramps, datacentre);
	double part;

	if (!r || !r->started || r->length_us <= 0)
		return 1;
	part = (double)(data_now(d) - r->started) / r->length_us;
	return CLAMP(part, RAMP_MIN_SHARE, 1);
}

static void
set_shares(struct data *d)
{
	GHashTableIter it;
	struct out_peer *p;
	gpointer v;

	g_hash_table_iter_init(&it, d->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		p = v;
		if (p->service)
			pick_set_share(p->service->pick, p->handle,
			    outbound_ramp_share(d, p->datacentre));
	}
}

/* Sets the shares of all candidates, every RAMP_STEP_US while a ramp runs. */
static void
ramp_step(void *ctx, int64_t now)
{
	struct data *d = ctx;
	GHashTableIter it;
	struct ramp *r;
	int active = 0;
	gpointer v;

	set_shares(d);
	g_hash_table_iter_init(&it, d->ramps);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		r = v;
		if (r->started && now - r->started > r->length_us)
			r->started = 0;
		active |= r->started != 0;
	}
	d->ramp_timer.fire = ramp_step;
	d->ramp_timer.ctx = d;
	if (active)
		io_timer_set(d->task.loop, &d->ramp_timer, now + RAMP_STEP_US);
	else
		set_shares(d);
}

void
outbound_update_ramps(struct data *d)
{
	const struct datacentre *dc;
	int64_t now = data_now(d);
	struct ramp *r;
	int i;

	for (i = 0; i < d->view->ndatacentre; i++) {
		dc = &d->view->datacentre[i];
		r = ramp_of(d, dc->name);
		if (dc->state == DATACENTRE_OUT) {
			r->out = 1;
			r->started = 0;
		} else if (r->out) {
			r->out = 0;
			r->started = now;
			r->length_us = dc->ramp_ms * (int64_t)1000;
		}
	}
	ramp_step(d, now);
}
