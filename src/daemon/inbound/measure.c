#include <string.h>

#include "daemon/inbound/inbound.h"
#include "json.h"

/* Time between health checks; within it a target that became cold is found. */
#define HEALTH_PERIOD_US 1000000
#define HEALTH_TIMEOUT_US 1000000 /* for the answer to a health check */
#define LOAD_ANSWER_MAX 4096 /* bytes of an answer that are parsed */

static void schedule_measure(struct data *);

/* A new start id in the answer means that the target restarted and is cold
 * again, which this daemon may not have learned otherwise. */
static void
check_start_id(struct data *d)
{
	char start[SERVICE_NAME_MAX];
	struct json *j;

	j = json_read(d->measure_body->str, d->measure_body->len, NULL);
	if (!j)
		return;
	if (!d->health_path[0] && json_type(j, json_root(j)) == JSON_OBJECT &&
	    json_get_string(j, json_root(j), "start", start, sizeof start,
		NULL) == 1 &&
	    strcmp(start, d->target.start_id)) {
		g_strlcpy(d->target.start_id, start, sizeof d->target.start_id);
		if (d->admit)
			admit_restarted(d->admit, data_now(d));
	}
	json_free(j);
}

static void
load_body(void *ctx, const void *p, size_t n)
{
	struct data *d = ctx;

	if (d->measure_body->len + n <= LOAD_ANSWER_MAX)
		g_string_append_len(d->measure_body, p, n);
}

/* The answer to a health check says how long the target stays cold, also when a
 * warm target became cold again. */
static void
load_head(void *ctx, const struct http_head *h)
{
	struct data *d = ctx;
	const char *cold;
	int64_t ms;

	const char *load;
	struct target_load l;

	inbound_note_health(d, h);
	if (!d->dialect->cold_field || !d->admit)
		return;
	load = http_head_find(h, d->dialect->load_field);
	if (load && !d->dialect->read_load(load, &l))
		inbound_note_pace(d, l.pace);
	cold = http_head_find(h, d->dialect->cold_field);
	ms = cold
		 ? CLAMP(g_ascii_strtoll(cold, NULL, 10), 0, TARGET_COLD_MS_MAX)
		 : 0;
	if (cold)
		admit_set_cold(d->admit, data_now(d), data_now(d) + ms * 1000);
}

/* Also ends the wait for a reading of the pace, which the answer may lack. */
static void
measure_ended(struct data *d)
{
	d->measure_call = NULL;
	io_timer_clear(d->task.loop, &d->measure_timeout);
	inbound_pace_reading_failed(d);
	schedule_measure(d);
	inbound_process_queue(d);
}

static void
load_done(void *ctx)
{
	struct data *d = ctx;

	check_start_id(d);
	measure_ended(d);
}

static void
load_failed(void *ctx, const struct kq_error *e, int sent)
{
	measure_ended(ctx);
}

void
inbound_cancel_measure(struct data *d)
{
	if (!d->measure_call)
		return;
	http_call_cancel(d->measure_call);
	d->measure_call = NULL;
	io_timer_clear(d->task.loop, &d->measure_timeout);
}

static void
health_timeout(void *ctx, int64_t now)
{
	struct data *d = ctx;

	http_call_cancel(d->measure_call);
	measure_ended(d);
}

static const struct http_call_ops load_ops = {
	.head = load_head,
	.body = load_body,
	.done = load_done,
	.failed = load_failed,
};

static int
start_measure(struct data *d)
{
	struct http_field f[] = { { "Host", "target" } };

	d->counters.measure_requests++;
	d->measure_sent = data_now(d);
	pace_await_reading(&d->pace, data_now(d));
	g_string_truncate(d->measure_body, 0);
	d->measure_call = http_call_start(d->measure_pool, "GET",
	    d->health_path[0] ? d->health_path : "/load", f, 1,
	    HTTP_LENGTH_NONE, 0, &load_ops, d, NULL);
	if (!d->measure_call)
		return -1;
	http_call_end_request(d->measure_call);
	if (!d->health_path[0])
		return 0;
	d->measure_timeout.fire = health_timeout;
	d->measure_timeout.ctx = d;
	io_timer_set(d->task.loop, &d->measure_timeout,
	    data_now(d) + HEALTH_TIMEOUT_US);
	return 0;
}

int
inbound_measure_target(struct data *d)
{
	if (d->measure_call || !d->pool || d->target_unusable ||
	    !budget_take(&d->measure_budget, data_now(d)))
		return -1;
	return start_measure(d);
}

static void
measure_due(void *ctx, int64_t now)
{
	struct data *d = ctx;

	if (inbound_measure_target(d))
		schedule_measure(d);
}

/* Sets the timer for the next measurement. The load is asked for as often as
 * the budget allows. Health checks are made a period apart, sooner until the
 * target's first answer, and in between when a reading of the pace is needed.
 */
static void
schedule_measure(struct data *d)
{
	int64_t due = budget_next_time(&d->measure_budget);

	d->measure_timer.fire = measure_due;
	d->measure_timer.ctx = d;
	if (due == BUDGET_NEVER || !d->pool || d->draining) {
		io_timer_clear(d->task.loop, &d->measure_timer);
		return;
	}
	if (d->health_path[0] && d->target_answered)
		due = MAX(due, data_now(d) + HEALTH_PERIOD_US);
	io_timer_set(d->task.loop, &d->measure_timer, due);
}

void
inbound_schedule_measure(struct data *d)
{
	if (!d->measure_call)
		schedule_measure(d);
}
