#include <string.h>

#include "daemon/outbound/outbound.h"

#define SLACK_FRACTION 0.6 /* see slack_share() */
#define SLACK_MIN 1.0 /* tokens; with fewer no retry could ever be paid */

static struct out_service *
service_new(struct data *d, const struct service *conf)
{
	struct out_service *s = g_new0(struct out_service, 1);
	struct pick_config pc = PICK_CONFIG_DEFAULT;

	s->data = d;
	pc.seed = rng_next(&d->rng);
	pc.crossing_us = d->settings.crossing_cost_ms * 1000;
	s->pick = pick_new(&pc);
	retry_init(&s->retry, conf->retry_ratio, conf->hedge);
	retry_set_pays_late(&s->retry, !d->dialect->passes_retry_budget);
	s->by_handle = g_hash_table_new(g_direct_hash, g_direct_equal);
	g_strlcpy(s->conf.name, conf->name, sizeof s->conf.name);
	g_hash_table_insert(d->services, s->conf.name, s);
	return s;
}

/* This daemon's share of the retries that the fleet may make above its ratio,
 * in tokens. SLACK_FRACTION leaves some of them for the requests that a retried
 * request makes in turn, since these count as retries as well. */
static double
slack_share(const struct data *d)
{
	double share =
	    d->settings.retry_slack * SLACK_FRACTION / MAX(1, d->view->nmember);

	return MAX(share, SLACK_MIN);
}

static void
update_services(struct data *d)
{
	const struct service *conf;
	struct out_service *s;
	GHashTableIter it;
	gpointer v;
	int i;

	g_hash_table_iter_init(&it, d->services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		s = v;
		s->conf.removed = !view_service(d->view, s->conf.name);
	}
	for (i = 0; i < d->view->nservice; i++) {
		conf = &d->view->service[i];
		s = g_hash_table_lookup(d->services, conf->name);
		if (!s)
			s = service_new(d, conf);
		s->conf = *conf;
		retry_configure(&s->retry, conf->retry_ratio, conf->hedge);
		pick_set_crossing(s->pick, d->settings.crossing_cost_ms * 1000);
		if (d->settings.retry_slack)
			retry_set_tokens_max(&s->retry, slack_share(d));
	}
}

static void
add_candidate(struct out_peer *p, const struct view_instance *vi)
{
	struct data *d = p->data;
	struct out_service *s;

	s = g_hash_table_lookup(d->services, vi->instance.service);
	if (!s)
		return;
	p->service = s;
	p->handle = pick_add(s->pick, data_now(d),
	    !strcmp(vi->instance.datacentre, d->settings.datacentre),
	    outbound_ramp_share(d, p->datacentre));
	if (p->handle == PICK_NONE) {
		p->service = NULL;
		return;
	}
	g_hash_table_insert(s->by_handle, GUINT_TO_POINTER(p->handle), p);
	if (s->called)
		out_peer_connect(p);
}

/* Whether new calls may go to an instance. */
static int
usable(const struct data *d, const struct view_instance *vi)
{
	return vi->live && vi->instance.service[0] &&
	       !view_datacentre_out(d->view, vi->instance.datacentre);
}

static void
update_instance(struct data *d, const struct view_instance *vi)
{
	const struct instance *in = &vi->instance;
	struct out_peer *p = g_hash_table_lookup(d->peers, &in->incarnation);

	if (!p)
		p = out_peer_new(d, in->incarnation, in->ip, in->peer_port);
	p->live = vi->live;
	if (vi->left && !p->left_at) {
		p->left_at = data_now(d);
		if (p->conn && peer_is_open(p->conn))
			peer_allow_silence(p->conn);
	}
	g_strlcpy(p->datacentre, in->datacentre, sizeof p->datacentre);
	g_strlcpy(p->version, in->version, sizeof p->version);
	if (p->service &&
	    (!usable(d, vi) || strcmp(p->service->conf.name, in->service)))
		out_peer_retire(p);
	if (!p->service && usable(d, vi))
		add_candidate(p, vi);
}

/* Whether a peer can be removed; takes one whose instance is not live out of
 * its service. */
static gboolean
is_unused(gpointer key, gpointer value, gpointer ctx)
{
	struct out_peer *p = value;

	if (p->live || p->pull_wanted || p->pull_xid)
		return FALSE;
	out_peer_retire(p);
	return !p->conn && !p->waiting->len && !g_hash_table_size(p->attempts);
}

/* Closes idle connections to instances that left or were declared dead, which
 * send no more answers. One with an open attempt or pull stays open. */
static void
close_not_live(struct data *d)
{
	GHashTableIter it;
	struct out_peer *p;
	gpointer v;
	int again;

	do {
		again = 0;
		g_hash_table_iter_init(&it, d->peers);
		while (!again && g_hash_table_iter_next(&it, NULL, &v)) {
			p = v;
			if (p->live || p->pull_wanted || p->pull_xid ||
			    !p->conn || g_hash_table_size(p->attempts))
				continue;
			peer_close(p->conn);
			again = 1;
		}
	} while (again);
}

void
outbound_apply_view(struct data *d)
{
	GHashTableIter it;
	gpointer v;
	int i;

	update_services(d);
	outbound_update_ramps(d);
	g_hash_table_iter_init(&it, d->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct out_peer *)v)->live = 0;
	for (i = 0; i < d->view->ninstance; i++)
		update_instance(d, &d->view->instance[i]);
	outbound_update_rollouts(d);
	close_not_live(d);
	outbound_take_answers(d);
	g_hash_table_foreach_remove(d->peers, is_unused, NULL);
}
