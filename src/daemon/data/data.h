#ifndef KQ_DATA_H
#define KQ_DATA_H

#include <glib.h>

#include "settings.h"
#include "daemon/task.h"
#include "daemon/data/view.h"

/**
 * DOC: The data task, which handles every call: the outbound side takes
 * requests from callers, the inbound side passes them to this daemon's target.
 *
 * While it runs, other tasks use only the functions data_set_view() to
 * data_report(), each of which posts a message to it.
 */

struct data;

/**
 * struct data_target - the target of this daemon, as announced by the target
 * @slots: requests that it handles at once
 * @connections: connections that it accepts
 * @start_id: start id; the target is cold after a change of it
 * @id: id of the target that requests to it name, empty if targets have none
 * @version: of its program, empty while unknown
 * @cold_until: end of the time for which the target said that it is cold, in
 *              microseconds of the monotonic clock; 0 if it did not say
 */
struct data_target {
	char service[SERVICE_NAME_MAX];
	char ip[IP_TEXT_MAX];
	int port;
	int slots;
	int connections;
	char start_id[2 * SERVICE_NAME_MAX];
	char id[SERVICE_NAME_MAX];
	char version[TARGET_VERSION_MAX];
	int64_t cold_until;
};

/**
 * struct data_events - callbacks of the data task; they run in its thread, so
 * the receiver has to post them to its own task
 * @config_behind: a call or reply of daemon @incarnation carried @version,
 * which is newer than the configuration here
 * @pull_received: another daemon asks for configuration on connection @conn;
 * answer it with data_send_config_page()
 * @page_received: a page of configuration came from daemon @incarnation, or
 * NULL if the pull failed; the receiver frees it with config_batch_clear() and
 *        g_free()
 * @drained: no call is in flight any more after data_drain(), and the
 *           connections of callers are closed or had time to close
 * @paused: the data task did not run for more than a second; it starts no work
 *          until it gets a view with this number in @pause_number and nonzero
 * @may_act
 * @spans_ready: ended spans as one OTLP request; the receiver frees it
 * @peer_silent: daemon @incarnation leaves calls and a probe unanswered
 * @target_leaves: an answer of target @id says that the target leaves; it
 *                 already gets no new work
 * @crash_news: news for the other daemons
 * @rollout_report: the daemon beside a target, which may be this one, reports
 *	to this daemon as the one that decides about a roll-out
 * @target_idle: no request is in flight at the target any more after
 *               data_drain_target()
 */
struct config_batch;
struct config_pull;
struct crash_news;
struct rollout_report;
struct leave_plan;
struct data_events {
	void (
	    *config_behind)(void *ctx, uint64_t version, uint64_t incarnation);
	void (*pull_received)(void *ctx, uint64_t conn, uint32_t xid,
	    const struct config_pull *);
	void (*page_received)(void *ctx, uint64_t incarnation,
	    struct config_batch *page);
	void (*drained)(void *ctx);
	void (*target_leaves)(void *ctx, const char *id);
	void (*target_idle)(void *ctx);
	void (*paused)(void *ctx, uint32_t number);
	void (*peer_silent)(void *ctx, uint64_t incarnation);
	void (*spans_ready)(void *ctx, GString *otlp);
	void (*crash_news)(void *ctx, const struct crash_news *);
	void (*rollout_report)(void *ctx, const struct rollout_report *);
};

struct data *data_new(const struct settings *, uint64_t incarnation,
    const struct data_events *, void *ctx, struct kq_error *);
void data_start(struct data *);
/** data_stop() - stop the task and free everything; call it after
 * control_stop() */
void data_stop(struct data *);

/** data_set_view() - replace the view; takes ownership of the new one */
void data_set_view(struct data *, struct view *);
/** data_set_target() - set or update the target, copied */
void data_set_target(struct data *, const struct data_target *);
/** data_drain_target() - give no new work to the target, which is leaving;
 * @target_idle follows */
void data_drain_target(struct data *);
/** data_set_settings() - apply reloaded settings, copied */
void data_set_settings(struct data *, const struct settings *);
/** data_leave() - close the connection of each caller after its next response,
 * so that callers connect elsewhere; requests are still served, except those
 * that can't be finished within the plan, copied */
void data_leave(struct data *, const struct leave_plan *);
/** data_set_suspected() - set whether an instance is suspected to have failed
 */
void data_set_suspected(struct data *, uint64_t incarnation, int suspected);
/** data_crash_news() - pass on news of another daemon, copied
 * @at: time of what they tell */
void data_crash_news(struct data *, const struct crash_news *, int64_t at);
/** data_drain() - refuse new requests and finish those in flight, as this
 * daemon is stopping; @drained follows */
void data_drain(struct data *);
/** data_pull_config() - ask an instance for configuration after a version;
 * @page follows */
void data_pull_config(struct data *, uint64_t incarnation, const char *ip,
    int port, const struct config_pull *);
/** data_send_config_page() - answer a pull; takes ownership of the batch */
void data_send_config_page(struct data *, uint64_t conn, uint32_t xid,
    struct config_batch *);
/** data_report_fn - receives a report, in the data task; it owns @text */
typedef void data_report_fn(void *ctx, GString *text);
enum data_report { DATA_METRICS, DATA_TARGETS, DATA_EXPLAIN };
/** data_report() - ask for the metrics, the table of targets or the reasons for
 * what is picked and refused, as text */
void data_report(struct data *, enum data_report, data_report_fn *, void *ctx);

#endif
