#include <string.h>

#include "daemon/control/impl.h"

#define ROUTED_COLD_LIMIT 100000 /* no limit: above any target's slots */

void
control_object_changed(void *ctx, const struct config_object *o)
{
	struct control *c = ctx;

	c->view_dirty = 1;
	if (o->removed)
		g_hash_table_remove(c->parsed[o->kind], o->name);
	if (o->kind != CONFIG_INSTANCE)
		c->rules_high = MAX(c->rules_high, o->version);
	else
		control_instance_changed(c, o);
}

void
control_log_bad_object(struct control *c, const struct config_object *o,
    int parts, const struct kq_error *e)
{
	c->counters.objects_invalid++;
	log_event(EVENT_CONFIG_INVALID, G_LOG_LEVEL_WARNING, control_now(c),
	    "object is invalid kind=%s name=%s version=%" G_GUINT64_FORMAT
	    " parts=%d error=\"%s\"",
	    config_kind_name(o->kind), o->name, o->version, parts, e->text);
}

/* An object as parsed at one version, so that a change of one object does not
 * parse all the others again. An object of a later serial may replace another
 * one at its version, so that the value is compared, too. */
struct parsed {
	uint64_t version;
	GBytes *value;
	int bad;
	int is_routing;
	union {
		struct service service;
		struct datacentre datacentre;
		struct instance instance;
		struct routing *routing;
	};
};

void
control_parsed_free(gpointer p)
{
	struct parsed *o = p;

	if (o->is_routing)
		routing_unref(o->routing);
	g_bytes_unref(o->value);
	g_free(o);
}

static void
log_organisations(struct control *c, const struct config_object *o,
    const struct routing *r)
{
	if (!r || !r->needs_key)
		return;
	log_event(EVENT_ORGANISATIONS, G_LOG_LEVEL_INFO, control_now(c),
	    "organisations read name=%s version=%" G_GUINT64_FORMAT
	    " organisations=%d keys=%d parts=%d",
	    o->name, o->version, r->norganisation, routing_keys_count(r->keys),
	    r->ninvalid);
}

/* If the text is no routing at all, the previous one stays in force. Returns
 * the number of invalid parts of the routing that is taken. */
static int
read_routes(struct parsed *p, const char *text, size_t n, struct kq_error *e)
{
	struct routing *r = routing_read(text, n, e);

	p->bad = !r && !p->routing;
	if (!r)
		return 0;
	if (p->is_routing)
		routing_unref(p->routing);
	p->is_routing = 1;
	p->routing = r;
	return r->ninvalid;
}

static void
read_object(struct control *c, const struct config_object *o, struct parsed *p)
{
	struct kq_error e = { 0 };
	const char *text;
	int parts = 0;
	gsize n;

	text = g_bytes_get_data(o->value, &n);
	if (o->kind == CONFIG_SERVICE)
		p->bad = service_read(&p->service, text, n, &e);
	else if (o->kind == CONFIG_DATACENTRE)
		p->bad = datacentre_read(&p->datacentre, text, n, &e);
	else if (o->kind == CONFIG_INSTANCE)
		p->bad = instance_read(&p->instance, text, n, &e);
	else
		parts = read_routes(p, text, n, &e);
	p->version = o->version;
	g_bytes_unref(p->value);
	p->value = g_bytes_ref(o->value);
	if (o->kind == CONFIG_SERVICE)
		p->service.version = o->version;
	else if (o->kind == CONFIG_DATACENTRE)
		p->datacentre.version = o->version;
	if (e.code)
		control_log_bad_object(c, o, parts, &e);
	if (p->is_routing)
		log_organisations(c, o, p->routing);
}

static const struct parsed *
parsed_object(struct control *c, const struct config_object *o)
{
	GHashTable *h = c->parsed[o->kind];
	struct parsed *p = g_hash_table_lookup(h, o->name);

	if (p && p->version == o->version && p->value == o->value)
		return p;
	if (!p) {
		p = g_new0(struct parsed, 1);
		g_hash_table_insert(h, g_strdup(o->name), p);
	}
	read_object(c, o, p);
	return p;
}

static int
has_left(const struct control *c, uint64_t id)
{
	int h = member_find(c->members, id);

	return h != MEMBER_NONE &&
	       member_at(c->members, h)->state == MEMBER_LEFT;
}

static void
add_object(struct control *c, struct view *v, const struct config_object *o)
{
	const struct parsed *p = parsed_object(c, o);
	struct view_instance *vi;

	if (p->bad)
		return;
	switch (o->kind) {
	case CONFIG_SERVICE:
		v->service[v->nservice++] = p->service;
		break;
	case CONFIG_DATACENTRE:
		v->datacentre[v->ndatacentre++] = p->datacentre;
		break;
	case CONFIG_ROUTING:
		routing_unref(v->routing);
		v->routing = routing_ref(p->routing);
		break;
	default:
		vi = &v->instance[v->ninstance++];
		vi->instance = p->instance;
		control_set_instance_service(c, &vi->instance);
		vi->live = control_instance_live(c, p->instance.incarnation);
		vi->left = has_left(c, p->instance.incarnation);
	}
}

/* Adds the instances of members that are not registered, or not yet: they
 * started while the platform did not answer. */
static void
add_unregistered(struct control *c, struct view *v)
{
	const struct config_object *o;
	struct view_instance *vi;
	char name[17];
	int h;

	for (h = 0; h < member_handle_end(c->members); h++) {
		vi = &v->instance[v->ninstance];
		if (!control_member_instance(c, h, &vi->instance))
			continue;
		g_snprintf(name, sizeof name, "%016" G_GINT64_MODIFIER "x",
		    vi->instance.incarnation);
		o = config_find(c->config, CONFIG_INSTANCE, name);
		if (o)
			continue;
		vi->live = control_instance_live(c, vi->instance.incarnation);
		vi->left = has_left(c, vi->instance.incarnation);
		v->ninstance++;
	}
}

/* Fills in a service that routes name and that has no service object. Its
 * targets report how long they are cold, so that it need not be inferred from
 * latencies; the cold limit is set too high to have an effect. */
static void
init_routed_service(struct control *c, const struct routing_service *r,
    struct service *s)
{
	memset(s, 0, sizeof *s);
	g_strlcpy(s->name, r->name, sizeof s->name);
	g_strlcpy(s->health_path, r->health_path, sizeof s->health_path);
	s->timeout_ms = SERVICE_TIMEOUT_MS;
	s->measure_per_s = c->settings.measure_per_s;
	s->cold_limit = ROUTED_COLD_LIMIT;
	s->cold_good_ms = SERVICE_TIMEOUT_MS;
	s->cold_per_s = r->cold_per_s;
	s->queue_max = SERVICE_QUEUE_MAX;
	s->retry_ratio = c->settings.retry_ratio;
}

static void
add_routed_services(struct control *c, struct view *v)
{
	const struct routing *r = v->routing;
	int i;

	if (!r)
		return;
	v->service =
	    g_renew(struct service, v->service, v->nservice + r->nservice + 1);
	for (i = 0; i < r->nservice; i++)
		if (!view_service(v, r->service[i].name))
			init_routed_service(c, &r->service[i],
			    &v->service[v->nservice++]);
}

void
control_publish_view(struct control *c)
{
	struct config_snapshot *s = config_snapshot_new(c->config);
	struct view *v = g_new0(struct view, 1);
	int count[CONFIG_KINDS] = { 0 };
	int i;

	if (config_complete_version(c->config) >= c->rules_high)
		c->rules_version = c->rules_high;
	v->complete_version = config_complete_version(c->config);
	v->rules_version = c->rules_version;
	v->may_act = c->may_act;
	v->pause_number = c->data_pause_seq;
	v->nmember = member_count(c->members);
	for (i = 0; i < s->nobject; i++)
		count[s->object[i].kind]++;
	v->service = g_new0(struct service, count[CONFIG_SERVICE] + 1);
	v->datacentre = g_new0(struct datacentre, count[CONFIG_DATACENTRE] + 1);
	v->instance = g_new0(struct view_instance,
	    count[CONFIG_INSTANCE] + member_handle_end(c->members) + 1);
	for (i = 0; i < s->nobject; i++)
		if (s->object[i].kind != CONFIG_ROLLOUT)
			add_object(c, v, &s->object[i]);
	add_unregistered(c, v);
	add_routed_services(c, v);
	control_rollouts_take(c, s, v);
	config_snapshot_free(s);
	c->view_dirty = 0;
	c->counters.views++;
	data_set_view(c->data, v);
	control_start_health_check(c);
}

static const struct routing_service *
routed_service(struct control *c, const char *name)
{
	const struct routing_service *s = NULL;
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, c->parsed[CONFIG_ROUTING]);
	while (!s && g_hash_table_iter_next(&it, NULL, &p)) {
		const struct parsed *o = p;

		if (!o->bad && o->routing)
			s = routing_service(o->routing, name);
	}
	return s;
}

int
control_invalid_parts(struct control *c)
{
	GHashTableIter it;
	gpointer p;
	int n = 0;

	g_hash_table_iter_init(&it, c->parsed[CONFIG_ROUTING]);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct parsed *o = p;

		n += o->routing ? o->routing->ninvalid : 0;
	}
	return n;
}

int
control_is_routed_service(struct control *c, const char *name)
{
	return routed_service(c, name) != NULL;
}

int
control_health_path(struct control *c, const char *service, char *path,
    size_t size)
{
	const struct routing_service *s = routed_service(c, service);

	if (!s || !s->health_path[0])
		return -1;
	g_strlcpy(path, s->health_path, size);
	return 0;
}

/* Registers again if our instance object was removed by someone else. */
static void
check_registration(struct control *c)
{
	const struct config_object *o;
	char name[17];

	if (c->registration != REG_DONE || c->leaving)
		return;
	g_snprintf(name, sizeof name, "%016" G_GINT64_MODIFIER "x",
	    c->incarnation);
	o = config_find(c->config, CONFIG_INSTANCE, name);
	if (!o || !o->removed || o->version <= c->registered_version)
		return;
	c->registration = REG_NONE;
	c->registered_version = 0;
	control_register_instance_soon(c);
}

void
control_apply_batch(struct control *c, const struct config_batch *b)
{
	uint64_t before = config_complete_version(c->config);
	struct kq_error e = { 0 };

	if (config_apply_batch(c->config, b, &e) == CONFIG_WENT_BACK)
		log_event(EVENT_PLATFORM_STALE, G_LOG_LEVEL_WARNING,
		    control_now(c), "answer with an older version refused: %s",
		    e.text);
	member_set_config_version(c->members,
	    config_complete_version(c->config), config_digest(c->config),
	    control_now(c));
	if (config_complete_version(c->config) == before && !c->view_dirty)
		return;
	log_event(EVENT_CONFIG_APPLIED, G_LOG_LEVEL_INFO, control_now(c),
	    "configuration complete=%" G_GUINT64_FORMAT
	    " source=%016" G_GINT64_MODIFIER
	    "x objects=%d digest=%016" G_GINT64_MODIFIER
	    "x us=%" G_GINT64_FORMAT,
	    config_complete_version(c->config), b->source, b->nobject,
	    config_digest(c->config), control_now(c));
	control_schedule_member_tick(c);
	control_publish_view(c);
	check_registration(c);
	control_check_seeds_era(c);
}
