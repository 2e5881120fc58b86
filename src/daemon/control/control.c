#include <string.h>
#include <unistd.h>

#include "daemon/control/impl.h"

int64_t
control_now(const struct control *c)
{
	return io_now(c->task.loop);
}

struct control *
control_new(const struct settings *s, uint64_t incarnation, struct kq_error *e)
{
	struct control *c = g_new0(struct control, 1);
	int i;

	c->settings = *s;
	c->dialect = dialect_find(s->dialect);
	c->incarnation = incarnation;
	c->udp_fd = -1;
	c->may_act = 1;
	c->track.confirm_first = c->dialect->run_id_field && s->target.port;
	c->platform_backoff = PLATFORM_BACKOFF_MIN_US;
	rng_seed(&c->rng, incarnation ^ 1);
	task_init(&c->task, "control");
	for (i = 0; i < CONFIG_KINDS; i++)
		c->parsed[i] = g_hash_table_new_full(g_str_hash, g_str_equal,
		    g_free, control_parsed_free);
	c->config = config_new(control_object_changed, c);
	c->forgotten =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	c->drain_waiters = g_ptr_array_new();
	control_rollouts_new(c);
	g_main_context_push_thread_default(c->task.context);
	if (control_open_udp(c, e) || control_open_operator_server(c, e)) {
		g_main_context_pop_thread_default(c->task.context);
		control_stop(c);
		control_free(c);
		return NULL;
	}
	if (s->platform.port)
		c->platform = platform_new(s->platform.ip, s->platform.port,
		    c->dialect->store);
	g_main_context_pop_thread_default(c->task.context);
	return c;
}

void
control_set_data(struct control *c, struct data *d)
{
	c->data = d;
}

/* The tables are created before the thread runs: the sockets are open already,
 * and its first event may be a datagram. */
void
control_start(struct control *c)
{
	g_main_context_push_thread_default(c->task.context);
	control_member_start(c);
	control_start_rediscovery(c);
	control_platform_start(c);
	control_publish_view(c);
	g_main_context_pop_thread_default(c->task.context);
	task_start(&c->task);
}

/* The data task calls these in its own thread; each posts a message to the
 * control task. */

static void
on_newer_version(void *ctx, uint64_t version, uint64_t incarnation)
{
	struct newer_version_message *m =
	    g_new(struct newer_version_message, 1);
	struct control *c = ctx;

	m->version = version;
	m->incarnation = incarnation;
	task_post(&c->task, control_handle_newer_version, c, m);
}

static void
on_pull(void *ctx, uint64_t conn, uint32_t xid, const struct config_pull *pull)
{
	struct pull_message *m = g_new(struct pull_message, 1);
	struct control *c = ctx;

	m->conn = conn;
	m->xid = xid;
	m->pull = *pull;
	task_post(&c->task, control_handle_pull, c, m);
}

static void
on_page(void *ctx, uint64_t incarnation, struct config_batch *page)
{
	struct page_message *m = g_new(struct page_message, 1);
	struct control *c = ctx;

	m->incarnation = incarnation;
	m->batch = page;
	task_post(&c->task, control_handle_page, c, m);
}

static void
handle_drained(void *ctx, void *message)
{
	struct control *c = ctx;

	c->data_drained = 1;
	control_answer_drains(c);
}

static void
on_drained(void *ctx)
{
	struct control *c = ctx;

	task_post(&c->task, handle_drained, c, NULL);
}

static void
handle_target_idle(void *ctx, void *message)
{
	struct control *c = ctx;

	c->target_idle = c->leave_announced;
	control_answer_drains(c);
}

static void
on_target_idle(void *ctx)
{
	struct control *c = ctx;

	task_post(&c->task, handle_target_idle, c, NULL);
}

static void
on_paused(void *ctx, uint32_t number)
{
	struct control *c = ctx;

	task_post(&c->task, control_handle_pause, c,
	    g_memdup2(&number, sizeof number));
}

static void
on_target_leaves(void *ctx, const char *id)
{
	struct control *c = ctx;

	task_post(&c->task, control_target_says_leaving, c, g_strdup(id));
}

static void
on_peer_silent(void *ctx, uint64_t incarnation)
{
	struct control *c = ctx;

	task_post(&c->task, control_handle_silent_peer, c,
	    g_memdup2(&incarnation, sizeof incarnation));
}

static void
on_spans(void *ctx, GString *text)
{
	struct control *c = ctx;

	task_post(&c->task, control_send_spans, c, text);
}

static void
on_crash_news(void *ctx, const struct crash_news *n)
{
	struct control *c = ctx;

	task_post(&c->task, control_tell_crash_news, c,
	    g_memdup2(n, sizeof *n));
}

static void
on_rollout_report(void *ctx, const struct rollout_report *r)
{
	struct control *c = ctx;

	task_post(&c->task, control_rollout_report, c, g_memdup2(r, sizeof *r));
}

const struct data_events control_data_events = {
	.config_behind = on_newer_version,
	.pull_received = on_pull,
	.page_received = on_page,
	.drained = on_drained,
	.target_idle = on_target_idle,
	.paused = on_paused,
	.target_leaves = on_target_leaves,
	.peer_silent = on_peer_silent,
	.spans_ready = on_spans,
	.crash_news = on_crash_news,
	.rollout_report = on_rollout_report,
};

/* Drains the target and tells the members and the platform that this daemon
 * leaves. */
static void
announce_leave(struct control *c)
{
	if (c->leave_announced)
		return;
	c->leave_announced = 1;
	data_drain_target(c->data);
	member_leave(c->members, control_now(c));
	control_schedule_member_tick(c);
	control_unregister_instance(c);
}

/* The target keeps running after this daemon has stopped. Requests are passed
 * to it until callers had time to connect to other daemons, so that its
 * capacity is missing no longer than necessary. The ports close once those have
 * ended: until then they may make calls through this daemon. */
static void
leave_step(void *ctx, int64_t now)
{
	struct control *c = ctx;
	int closed = leave_may_close(&c->leave, now, c->target_idle);

	if (now >= c->leave.serve_until - LEAVE_ANNOUNCE_US)
		announce_leave(c);
	if (closed && c->data_drained < 1)
		data_drain(c->data);
	if ((c->data_drained && closed && c->registration != REG_WRITING) ||
	    now >= c->leave.end) {
		c->leave_done(c->leave_ctx);
		return;
	}
	io_timer_set(c->task.loop, &c->leave_timer, now + LEAVE_STEP_US);
}

static void
begin_leave(void *ctx, void *message)
{
	struct control *c = ctx;
	int64_t now = control_now(c), ordered = *(int64_t *)message;
	int64_t grace_us = (int64_t)(c->settings.grace_s * 1e6);

	g_free(message);
	if (c->leaving)
		return;
	c->leaving = 1;
	ordered = leave_since(ordered, now, grace_us);
	leave_plan_init(&c->leave, ordered, now,
	    c->settings.leave_ms * INT64_C(1000), grace_us);
	log_event(EVENT_STOPPING, G_LOG_LEVEL_MESSAGE, now,
	    "stopping: callers are told to use other daemons, requests in flight"
	    " are finished leave_ms=%d grace_s=%.1f held_ms=%" G_GINT64_FORMAT,
	    c->settings.leave_ms, c->settings.grace_s, (now - ordered) / 1000);
	data_leave(c->data, &c->leave);
	c->leave_timer.fire = leave_step;
	c->leave_timer.ctx = c;
	leave_step(c, now);
}

static void
set_settings(void *ctx, void *message)
{
	struct control *c = ctx;

	settings_copy_live(&c->settings, message);
	g_free(message);
	platform_set_address(c->platform, c->settings.platform.ip,
	    c->settings.platform.port);
	control_publish_view(c);
}

void
control_set_settings(struct control *c, const struct settings *s)
{
	task_post(&c->task, set_settings, c, g_memdup2(s, sizeof *s));
}

void
control_leave(struct control *c, int64_t since, void (*done)(void *ctx),
    void *ctx)
{
	c->leave_done = done;
	c->leave_ctx = ctx;
	task_post(&c->task, begin_leave, c, g_memdup2(&since, sizeof since));
}

int64_t
control_exit_by(const struct control *c)
{
	return c->leave.exit_by;
}

/* Messages that are still handled here may use the clients, so these live until
 * control_free(). */
void
control_stop(struct control *c)
{
	task_stop(&c->task);
	g_main_context_push_thread_default(c->task.context);
	if (c->operator_server)
		soup_server_disconnect(c->operator_server);
	if (c->platform)
		platform_cancel(c->platform);
	while (g_main_context_iteration(c->task.context, FALSE))
		;
	g_main_context_pop_thread_default(c->task.context);
}

static void
free_clients(struct control *c)
{
	g_main_context_push_thread_default(c->task.context);
	if (c->operator_server)
		g_object_unref(c->operator_server);
	if (c->platform)
		platform_free(c->platform);
	if (c->trace_session)
		g_object_unref(c->trace_session);
	g_main_context_pop_thread_default(c->task.context);
}

void
control_free(struct control *c)
{
	struct io_loop *loop = c->task.loop;
	int i;

	io_timer_clear(loop, &c->member_timer);
	io_timer_clear(loop, &c->rediscover_timer);
	control_seeds_stop(c);
	control_stop_health_check(c);
	io_timer_clear(loop, &c->start_timer);
	io_timer_clear(loop, &c->reading_timer);
	io_timer_clear(loop, &c->reread_timer);
	for (i = 0; i < STORE_FEEDS_MAX; i++)
		io_timer_clear(loop, &c->feed[i].timer);
	io_timer_clear(loop, &c->register_timer);
	io_timer_clear(loop, &c->pull_timer);
	io_timer_clear(loop, &c->leave_timer);
	if (c->udp_fd >= 0) {
		io_watch_remove(loop, &c->udp_watch);
		close(c->udp_fd);
	}
	if (c->members)
		member_free(c->members);
	if (c->codec)
		datagram_codec_free(c->codec);
	control_rollouts_free(c);
	config_free(c->config);
	for (i = 0; i < CONFIG_KINDS; i++)
		g_hash_table_unref(c->parsed[i]);
	for (i = 0; i < CONFIG_KINDS; i++)
		g_bytes_unref(c->packed[i].value);
	g_hash_table_unref(c->forgotten);
	g_ptr_array_unref(c->drain_waiters);
	free_clients(c);
	task_clear(&c->task);
	g_free(c);
}
