#include <string.h>

#include "daemon/control/impl.h"
#include "pack.h"

/* Until another source is asked. A page that comes later is still used. */
#define PULL_TIMEOUT_US 800000
#define PACK_MIN_BYTES 2048 /* of values that are compressed */

/* Looks up where a daemon listens for its peers, in its instance object, else
 * in the member table; 0 or -1. */
static int
find_peer_address(struct control *c, uint64_t incarnation, char *ip, int *port)
{
	const struct config_object *o;
	const struct member *m;
	struct instance in;
	char name[17];
	gsize n;
	int h;

	g_snprintf(name, sizeof name, "%016" G_GINT64_MODIFIER "x",
	    incarnation);
	o = config_find(c->config, CONFIG_INSTANCE, name);
	if (o && !o->removed &&
	    !instance_read(&in, g_bytes_get_data(o->value, &n),
		g_bytes_get_size(o->value), NULL)) {
		g_strlcpy(ip, in.ip, IP_TEXT_MAX);
		*port = in.peer_port;
		return 0;
	}
	h = member_find(c->members, incarnation);
	if (h == MEMBER_NONE)
		return -1;
	m = member_at(c->members, h);
	g_snprintf(ip, IP_TEXT_MAX, "%u.%u.%u.%u", m->info.address.ip >> 24,
	    m->info.address.ip >> 16 & 255, m->info.address.ip >> 8 & 255,
	    m->info.address.ip & 255);
	*port = m->info.address.port;
	return 0;
}

/* Pulls from another member that has announced a newer version, if there is
 * one. */
static void
pull_elsewhere(struct control *c, uint64_t failed_source)
{
	uint64_t complete = config_complete_version(c->config);
	int h;

	member_source_failed(c->members, failed_source, complete);
	h = member_source(c->members, complete);
	if (h != MEMBER_NONE)
		control_pull_config(c, member_at(c->members, h)->info.id);
}

static void
pull_timed_out(void *ctx, int64_t now)
{
	struct control *c = ctx;

	c->pulling = 0;
	log_event(EVENT_CONFIG_PULL_TIMEOUT, G_LOG_LEVEL_INFO, now,
	    "pull of newer objects timed out source=%016" G_GINT64_MODIFIER
	    "x complete=%" G_GUINT64_FORMAT,
	    c->pull_source, config_complete_version(c->config));
	pull_elsewhere(c, c->pull_source);
}

/* One pull is in flight at a time; the next report of a newer version starts
 * another. */
void
control_pull_config(struct control *c, uint64_t incarnation)
{
	struct config_pull next;
	char ip[IP_TEXT_MAX];
	int port;

	if (c->pulling || incarnation == c->incarnation)
		return;
	if (find_peer_address(c, incarnation, ip, &port))
		return;
	c->pulling = 1;
	c->counters.pulls++;
	c->pull_source = incarnation;
	c->pull_timer.fire = pull_timed_out;
	c->pull_timer.ctx = c;
	io_timer_set(c->task.loop, &c->pull_timer,
	    control_now(c) + PULL_TIMEOUT_US);
	config_next_pull(c->config, incarnation, &next);
	data_pull_config(c->data, incarnation, ip, port, &next);
}

/* Replaces a compressed value by its text; 0 or -1. */
static int
unpack_object(struct control *c, struct config_object *o)
{
	struct kq_error e = { 0 };
	GBytes *text;

	if (!o->unpacked_size)
		return 0;
	text = o->unpacked_size > CONFIG_VALUE_MAX
		   ? NULL
		   : unpack_bytes(o->value, o->unpacked_size, &e);
	if (!text) {
		log_event(EVENT_CONFIG_INVALID, G_LOG_LEVEL_WARNING,
		    control_now(c),
		    "page of a peer refused kind=%s name=%s size=%u error=\"%s\"",
		    config_kind_name(o->kind), o->name, o->unpacked_size,
		    e.text);
		return -1;
	}
	g_bytes_unref(o->value);
	o->value = text;
	o->unpacked_size = 0;
	return 0;
}

static int
unpack_batch(struct control *c, struct config_batch *b)
{
	int i;

	for (i = 0; i < b->nobject; i++)
		if (b->object[i].value && unpack_object(c, &b->object[i]))
			return -1;
	return 0;
}

void
control_handle_page(void *ctx, void *message)
{
	struct page_message *m = message;
	struct control *c = ctx;
	int more = 0, bad = 1;

	if (m->incarnation == c->pull_source) {
		c->pulling = 0;
		io_timer_clear(c->task.loop, &c->pull_timer);
	}
	if (m->batch) {
		bad = unpack_batch(c, m->batch);
		more = !bad && m->batch->more;
		if (!bad)
			control_apply_batch(c, m->batch);
		config_batch_clear(m->batch);
		g_free(m->batch);
	}
	if (more)
		control_pull_config(c, m->incarnation);
	else if (bad)
		pull_elsewhere(c, m->incarnation);
	g_free(m);
}

/* Compresses a large value. The result is kept, one for each kind, since each
 * of the daemons that pull a new version asks for the same value. */
static void
pack_object(struct control *c, struct config_object *o)
{
	struct packed *p = &c->packed[o->kind];
	gsize size = o->value ? g_bytes_get_size(o->value) : 0;

	if (size < PACK_MIN_BYTES)
		return;
	if (p->version != o->version || strcmp(p->name, o->name)) {
		g_bytes_unref(p->value);
		p->value = pack_bytes(o->value);
		p->version = o->version;
		g_strlcpy(p->name, o->name, sizeof p->name);
	}
	if (!p->value)
		return;
	g_bytes_unref(o->value);
	o->value = g_bytes_ref(p->value);
	o->unpacked_size = (uint32_t)size;
}

void
control_handle_pull(void *ctx, void *message)
{
	struct config_batch *b = g_new0(struct config_batch, 1);
	struct pull_message *m = message;
	struct control *c = ctx;
	int i;

	c->counters.pulls_served++;
	config_read_page(c->config, c->incarnation, &m->pull, WIRE_PULL_BYTES,
	    b);
	for (i = 0; i < b->nobject; i++)
		pack_object(c, &b->object[i]);
	data_send_config_page(c->data, m->conn, m->xid, b);
	g_free(m);
}

void
control_handle_newer_version(void *ctx, void *message)
{
	struct newer_version_message *m = message;
	struct control *c = ctx;

	if (m->version > config_complete_version(c->config))
		control_pull_config(c, m->incarnation);
	g_free(m);
}
