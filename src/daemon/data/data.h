#ifndef KQ_DATA_H
#define KQ_DATA_H

#include <glib.h>

#include "settings.h"
#include "daemon/task.h"
#include "daemon/data/view.h"

/**
 * DOC: The data task: every call passes through it.
 *
 * Others reach it only by the functions below, each of which posts a message.
 */

struct data;

/**
 * struct data_target - the target beside this daemon, as it announced itself
 * @start: its start id; a new one means that it is cold
 * @id: what requests name it by, empty if targets are not named
 * @cold_until: until when it says that it stays cold, 0 if it does not say
 */
struct data_target {
	char service[SERVICE_NAME_MAX];
	char ip[IP_TEXT_MAX];
	int port;
	int slots;
	int connections;
	char start[2 * SERVICE_NAME_MAX];
	char id[SERVICE_NAME_MAX];
	int64_t cold_until;
};

/**
 * struct data_events - what the data task tells; called in the data task, to
 * be posted on by the receiver
 * @behind: a call was picked under a higher version by that incarnation
 * @pull: another daemon asks for configuration on a connection
 * @page: a page of configuration came from another daemon, or NULL when the
 *        pull failed; the receiver frees it with config_batch_clear() and
 *        g_free()
 * @drained: nothing is in flight any more after data_drain()
 * @paused: the data task did not run for long; it takes no work until a view
 *          with this number comes that may act
 * @spans: spans as one OTLP request; the receiver frees it
 * @target_idle: nothing is at the target any more after data_drain_target()
 */
struct config_batch;
struct config_pull;
struct data_events {
	void (*behind)(void *ctx, uint64_t version, uint64_t incarnation);
	void (*pull)(void *ctx, uint64_t conn, uint32_t xid,
	    const struct config_pull *);
	void (
	    *page)(void *ctx, uint64_t incarnation, struct config_batch *page);
	void (*drained)(void *ctx);
	void (*target_idle)(void *ctx);
	void (*paused)(void *ctx, uint32_t number);
	void (*spans)(void *ctx, GString *otlp);
};

struct data *data_new(const struct settings *, uint64_t incarnation,
    const struct data_events *, void *ctx, struct kq_error *);
void data_start(struct data *);
/** data_stop() - end the task and free everything; after control_stop() */
void data_stop(struct data *);

/** data_set_view() - takes over the view */
void data_set_view(struct data *, struct view *);
/** data_set_target() - target announced itself, copied */
void data_set_target(struct data *, const struct data_target *);
/** data_drain_target() - the target leaves: no new work for it */
void data_drain_target(struct data *);
/** data_set_settings() - settings that changed while we run, copied */
void data_set_settings(struct data *, const struct settings *);
/** data_closing() - callers are still served, and each is told to connect
 * elsewhere */
void data_closing(struct data *);
/** data_suspect() - an instance is suspected to be gone, or no longer */
void data_suspect(struct data *, uint64_t incarnation, int suspected);
/** data_drain() - this daemon stops: nothing new, finish what is there */
void data_drain(struct data *);
/** data_pull() - ask an instance for configuration after a version */
void data_pull(struct data *, uint64_t incarnation, const char *ip, int port,
    const struct config_pull *);
/** data_send_page() - answer to a pull; takes over the batch */
void data_send_page(struct data *, uint64_t conn, uint32_t xid,
    struct config_batch *);
/** data_report_fn - text made by the data task, called there */
typedef void data_report_fn(void *ctx, GString *text);
enum data_report { DATA_METRICS, DATA_TARGETS, DATA_EXPLAIN };
/** data_report() - ask for counters or the table of targets as text */
void data_report(struct data *, enum data_report, data_report_fn *, void *ctx);

#endif
