#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/control/impl.h"

#define RECEIVE_MAX 2048 /* bytes of a datagram */
#define DATAGRAMS_AT_ONCE 64

static uint32_t
ip_number(const char *text)
{
	struct in_addr a;

	return inet_pton(AF_INET, text, &a) == 1 ? ntohl(a.s_addr) : 0;
}

static void
send_message(void *ctx, const struct member_address *to,
    const struct member_message *m)
{
	unsigned char buf[RECEIVE_MAX];
	struct control *c = ctx;
	struct sockaddr_in sa = { 0 };
	size_t n = datagram_encode(c->codec, m, buf, sizeof buf);

	if (!n)
		return;
	c->counters.datagrams_out++;
	c->counters.datagram_bytes_out += n;
	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(to->ip);
	sa.sin_port = htons(to->port);
	sendto(c->udp_fd, buf, n, 0, (struct sockaddr *)&sa, sizeof sa);
}

/* The other members consider that this incarnation has left, which is final:
 * only a new incarnation can join, so this process stops gracefully, to be
 * restarted. */
static void
stop_declared_left(struct control *c)
{
	log_event(EVENT_SELF_MARKED_LEFT, G_LOG_LEVEL_WARNING, control_now(c),
	    "other members consider that this incarnation has left; stopping, "
	    "a restart is needed");
	kill(getpid(), SIGTERM);
}

static void
on_event(void *ctx, int handle, enum member_event ev)
{
	struct control *c = ctx;
	const struct member *m = member_at(c->members, handle);

	control_log_member(c, m, ev);
	if (handle == 0 && ev == MEMBER_EVENT_LEFT && !c->leaving)
		stop_declared_left(c);
	if (ev == MEMBER_EVENT_FORGOTTEN) {
		g_hash_table_add(c->forgotten,
		    g_memdup2(&m->info.id, sizeof m->info.id));
		datagram_forget_sender(c->codec, m->info.id);
	} else if (ev == MEMBER_EVENT_JOINED || ev == MEMBER_EVENT_ALIVE)
		g_hash_table_remove(c->forgotten, &m->info.id);
	if (ev == MEMBER_EVENT_DEAD || ev == MEMBER_EVENT_LEFT)
		control_rollout_forget(c, m->info.id);
	if (ev == MEMBER_EVENT_SUSPECTED || ev == MEMBER_EVENT_ALIVE)
		data_set_suspected(c->data, m->info.id,
		    ev == MEMBER_EVENT_SUSPECTED);
	if (ev != MEMBER_EVENT_SUSPECTED && ev < MEMBER_EVENT_CHECK_ANSWERED)
		c->view_dirty = 1;
}

static void
on_newer_version(void *ctx, int handle, uint64_t digest)
{
	struct control *c = ctx;
	uint64_t complete = config_complete_version(c->config);
	int source;

	c->reported_version = MAX(c->reported_version, digest);
	if (digest <= complete)
		return;
	source = member_source(c->members, complete);
	if (source == MEMBER_NONE)
		source = handle;
	control_pull_config(c, member_at(c->members, source)->info.id);
}

/* One line for each version: a member that differs does so in each of its
 * datagrams. */
static void
on_other_digest(void *ctx, int handle, uint64_t digest)
{
	struct control *c = ctx;
	uint64_t complete = config_complete_version(c->config);

	control_reread(c);
	if (complete == c->differs_version)
		return;
	c->differs_version = complete;
	c->counters.config_differs++;
	log_event(EVENT_CONFIG_DIFFERS, G_LOG_LEVEL_WARNING, control_now(c),
	    "a member holds other objects of the same version"
	    " complete=%" G_GUINT64_FORMAT " digest=%016" G_GINT64_MODIFIER
	    "x member=%016" G_GINT64_MODIFIER
	    "x its_digest=%016" G_GINT64_MODIFIER "x",
	    complete, config_digest(c->config),
	    member_at(c->members, handle)->info.id, digest);
}

const struct member_ops control_member_ops = {
	.send = send_message,
	.event = on_event,
	.behind = on_newer_version,
	.differs = on_other_digest,
	.note = control_note_received,
};

/* After a pause this daemon takes no new work until another member has
 * acknowledged it and the configuration that members reported is in force. */
static void
check_pause(struct control *c)
{
	int may = member_may_act(c->members) || c->leaving;

	if (member_count(c->members) <= 1)
		may = 1;
	if (c->reported_version > config_complete_version(c->config) &&
	    !c->may_act)
		may = 0;
	if (may == c->may_act)
		return;
	c->may_act = may;
	c->view_dirty = 1;
	if (!may)
		log_event(EVENT_PAUSED, G_LOG_LEVEL_WARNING, control_now(c),
		    "this daemon was paused; it takes no work until another "
		    "member has acknowledged it");
}

/* The data task was paused, and this task perhaps with it: the tick of the
 * member table tells whether the daemon may act. */
void
control_handle_pause(void *ctx, void *message)
{
	struct control *c = ctx;

	c->counters.pauses++;
	c->data_pause_seq = *(uint32_t *)message;
	g_free(message);
	c->view_dirty = 1;
	control_schedule_member_tick(c);
}

void
control_handle_silent_peer(void *ctx, void *message)
{
	struct control *c = ctx;

	member_check(c->members, *(uint64_t *)message, control_now(c));
	g_free(message);
	control_schedule_member_tick(c);
}

static void
apply_member_changes(struct control *c)
{
	check_pause(c);
	if (c->view_dirty)
		control_publish_view(c);
	control_watch_platform(c);
}

static void
member_due(void *ctx, int64_t now)
{
	struct control *c = ctx;

	io_timer_set(c->task.loop, &c->member_timer,
	    member_tick(c->members, now));
	apply_member_changes(c);
}

void
control_schedule_member_tick(struct control *c)
{
	c->member_timer.fire = member_due;
	c->member_timer.ctx = c;
	io_timer_set(c->task.loop, &c->member_timer, control_now(c));
}

static void
handle_datagram(struct control *c, const unsigned char *buf, size_t n,
    const struct sockaddr_in *sa)
{
	static struct member_message m;
	enum datagram_reason r;

	m.from = m.to = 0;
	r = datagram_decode(c->codec, buf, n, &m);
	c->counters.datagrams_in++;
	c->counters.datagram_bytes_in += n;
	if (r != DATAGRAM_OK) {
		c->counters.datagrams_refused++;
		control_log_refused(c, r, &m, sa);
		return;
	}
	m.source.ip = ntohl(sa->sin_addr.s_addr);
	m.source.port = ntohs(sa->sin_port);
	member_receive(c->members, &m, control_now(c));
}

/* More datagrams are left to the next iteration of the loop, so that timers and
 * heartbeats are handled in between. */
static void
udp_ready(void *ctx, int ready)
{
	unsigned char buf[RECEIVE_MAX];
	struct control *c = ctx;
	struct sockaddr_in sa = { 0 };
	socklen_t len;
	ssize_t n;
	int i;

	for (i = 0; i < DATAGRAMS_AT_ONCE; i++) {
		len = sizeof sa;
		n = recvfrom(c->udp_fd, buf, sizeof buf, 0,
		    (struct sockaddr *)&sa, &len);
		if (n < 0)
			break;
		handle_datagram(c, buf, n, &sa);
	}
	control_schedule_member_tick(c);
}

int
control_open_udp(struct control *c, struct kq_error *e)
{
	const struct settings *s = &c->settings;
	struct sockaddr_in sa = { 0 };

	sa.sin_family = AF_INET;
	sa.sin_addr.s_addr = htonl(ip_number(s->ip));
	sa.sin_port = htons(s->peer_port);
	c->udp_fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->udp_fd < 0 || bind(c->udp_fd, (struct sockaddr *)&sa, sizeof sa))
		return kq_error_set(e, KQ_LAYER_DAEMON, errno,
		    "peer_port: %s:%d: %s", s->ip, s->peer_port,
		    g_strerror(errno));
	c->codec = datagram_codec_new(c->incarnation, s->fleet_key, s->nkey);
	return io_watch_add(c->task.loop, &c->udp_watch, c->udp_fd, IO_READ,
	    udp_ready, c);
}

void
control_member_start(struct control *c)
{
	struct member_limits limits = MEMBER_LIMITS_DEFAULT;
	struct member_address seed[SETTINGS_PEERS_MAX];
	const struct settings *s = &c->settings;
	struct member_info self = { 0 };
	int i, n = 0;

	self.id = c->incarnation;
	self.address.ip = ip_number(s->ip);
	self.address.port = s->peer_port;
	self.caller_port = s->caller_port;
	self.operator_port = s->operator_port;
	g_strlcpy(self.datacentre, s->datacentre, sizeof self.datacentre);
	g_strlcpy(self.region, s->region, sizeof self.region);
	c->members = member_new(&self, &limits, rng_next(&c->rng),
	    &control_member_ops, c, control_now(c));
	for (i = 0; i < s->npeer; i++) {
		if (!strcmp(s->peer[i].ip, s->ip) &&
		    s->peer[i].port == s->peer_port)
			continue;
		seed[n].ip = ip_number(s->peer[i].ip);
		seed[n++].port = s->peer[i].port;
	}
	if (n)
		member_join(c->members, seed, n, control_now(c));
	control_schedule_member_tick(c);
}

/* Adds one registered instance that is missing in the member table, so that
 * parts of the fleet join again after a long partition. */
static void
rediscover_due(void *ctx, int64_t now)
{
	struct config_snapshot *s;
	struct control *c = ctx;
	const struct config_object *o;
	uint64_t id;
	int i, n;

	s = config_snapshot_new(c->config);
	n = s->nobject ? rng_below(&c->rng, s->nobject) : 0;
	for (i = 0; i < s->nobject; i++) {
		o = &s->object[(n + i) % s->nobject];
		id = g_ascii_strtoull(o->name, NULL, 16);
		if (o->kind != CONFIG_INSTANCE ||
		    member_find(c->members, id) != MEMBER_NONE)
			continue;
		control_instance_changed(c, o);
		control_schedule_member_tick(c);
		break;
	}
	config_snapshot_free(s);
	io_timer_set(c->task.loop, &c->rediscover_timer, now + REDISCOVER_US);
}

void
control_start_rediscovery(struct control *c)
{
	c->rediscover_timer.fire = rediscover_due;
	c->rediscover_timer.ctx = c;
	io_timer_set(c->task.loop, &c->rediscover_timer,
	    control_now(c) + REDISCOVER_US);
}

void
control_instance_changed(struct control *c, const struct config_object *o)
{
	struct member_info info = { 0 };
	struct instance in;
	uint64_t id;
	gsize n;

	id = g_ascii_strtoull(o->name, NULL, 16);
	if (id == c->incarnation)
		return;
	if (o->removed) {
		member_mark_left(c->members, id, control_now(c));
		g_hash_table_remove(c->forgotten, &id);
		return;
	}
	if (instance_read(&in, g_bytes_get_data(o->value, &n),
		g_bytes_get_size(o->value), NULL))
		return;
	info.id = in.incarnation;
	info.address.ip = ip_number(in.ip);
	info.address.port = in.peer_port;
	info.caller_port = in.caller_port;
	info.operator_port = in.operator_port;
	g_strlcpy(info.datacentre, in.datacentre, sizeof info.datacentre);
	g_strlcpy(info.region, in.region, sizeof info.region);
	member_add_registered(c->members, &info, control_now(c));
}

void
control_publish_service(struct control *c)
{
	member_set_service(c->members, c->has_target ? c->target.service : "",
	    control_now(c));
	if (c->settings.rollout_share > 0)
		member_set_version(c->members,
		    c->has_target ? c->target.version : "", control_now(c));
	c->view_dirty = 1;
	control_schedule_member_tick(c);
}

void
control_set_instance_service(struct control *c, struct instance *in)
{
	const struct member *m;
	int h = member_find(c->members, in->incarnation);

	if (h == MEMBER_NONE)
		return;
	m = member_at(c->members, h);
	if (m->info.service_seq)
		g_strlcpy(in->service, m->info.service, sizeof in->service);
	g_strlcpy(in->version, m->info.version, sizeof in->version);
}

int
control_member_instance(struct control *c, int handle, struct instance *in)
{
	const struct member *m = member_at(c->members, handle);
	uint32_t ip;

	if (!m || !m->info.service[0])
		return 0;
	memset(in, 0, sizeof *in);
	ip = m->info.address.ip;
	in->incarnation = m->info.id;
	g_strlcpy(in->service, m->info.service, sizeof in->service);
	g_strlcpy(in->version, m->info.version, sizeof in->version);
	g_strlcpy(in->datacentre, m->info.datacentre, sizeof in->datacentre);
	g_strlcpy(in->region, m->info.region, sizeof in->region);
	g_snprintf(in->ip, sizeof in->ip, "%u.%u.%u.%u", ip >> 24,
	    ip >> 16 & 255, ip >> 8 & 255, ip & 255);
	in->peer_port = m->info.address.port;
	in->caller_port = m->info.caller_port;
	in->operator_port = m->info.operator_port;
	return 1;
}

int
control_instance_live(const struct control *c, uint64_t id)
{
	const struct member *m;
	int h;

	if (id == c->incarnation)
		return !c->leaving;
	if (g_hash_table_contains(c->forgotten, &id))
		return 0;
	h = member_find(c->members, id);
	if (h == MEMBER_NONE)
		return 1;
	m = member_at(c->members, h);
	return m->confirmed && m->state <= MEMBER_SUSPECT;
}
