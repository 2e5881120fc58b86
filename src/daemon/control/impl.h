#ifndef KQ_CONTROL_IMPL_H
#define KQ_CONTROL_IMPL_H

#include <libsoup/soup.h>
#include <netinet/in.h>

#include "config.h"
#include "crash.h"
#include "dialect.h"
#include "daemon/control/control.h"
#include "leave.h"
#include "log.h"
#include "member.h"
#include "member_codec.h"
#include "objects.h"
#include "platform.h"
#include "reader.h"
#include "rng.h"
#include "track.h"
#include "wire.h"

#define WATCHERS_PER_DATACENTRE 2
/* A new daemon waits this long for the configuration from its peers before it
 * lists the objects on the platform. */
#define CONFIG_WAIT_US 2500000
#define JOIN_WAIT_US 700000 /* for a new daemon to meet the other members */
#define VERIFIERS \
	3 /* daemons that are the first to read if the last reader fails */
#define WATCH_WAIT_MS 20000 /* until a watch without changes is answered */
#define PLATFORM_BACKOFF_MIN_US 500000 /* doubled after each failure */
#define PLATFORM_BACKOFF_MAX_US 4000000
/* Between two checks for registered instances missing in the member table. */
#define REDISCOVER_US 5000000
#define LEAVE_ANNOUNCE_US 300000 /* members are told before the ports close */
#define LEAVE_STEP_US 20000

enum registration { REG_NONE, REG_WRITING, REG_DONE, REG_REMOVED };

/**
 * struct feed - kinds of objects that one list or watch request covers
 * @version: platform version up to which every change of the feed is known
 * @invalid_version: highest version of an entry that could not be used
 * @requested_at: time at which the last list or watch was sent
 * @read_at: time of the last list of the whole feed
 * @read_sent_at: time at which the list beside the watch was sent
 * @listing: a list is in flight
 * @watching: a watch is in flight
 * @reading: a list is in flight beside the watch: another feed has a newer
 *	version, or the watch is being verified
 * @rereading: it is in flight since a member differs
 * @reread_version: complete version after the last such list
 * @listed: a list has succeeded
 * @stale_listed: a list that may be stale has
 * @list_next: the last watch failed; list next, since the platform may answer
 *	lists while it does not answer watches
 */
struct feed {
	struct control *control;
	int number;
	uint64_t version;
	uint64_t invalid_version;
	int64_t requested_at;
	int64_t read_at;
	int64_t read_sent_at;
	int listing;
	int watching;
	int reading;
	int rereading;
	uint64_t reread_version;
	int listed;
	int stale_listed;
	int list_next;
	struct io_timer timer;
};

/* Totals since the start. */
struct control_counters {
	uint64_t datagrams_in;
	uint64_t datagrams_out;
	uint64_t datagram_bytes_in;
	uint64_t datagram_bytes_out;
	uint64_t datagrams_refused;
	uint64_t reports_refused; /* of targets */
	uint64_t objects_invalid; /* all of an answer with a new one */
	uint64_t platform_calls;
	uint64_t platform_failures;
	uint64_t pulls;
	uint64_t pulls_served;
	uint64_t config_differs; /* versions of which a member held other
				    objects */
	uint64_t views;
	uint64_t pauses;
};

/* Compressed value of one version of an object. */
struct packed {
	char name[CONFIG_NAME_MAX];
	uint64_t version;
	GBytes *value; /* NULL if compression does not make it smaller */
};

struct control {
	struct task task;
	struct settings settings;
	const struct dialect *dialect;
	uint64_t incarnation;
	struct data *data;
	struct rng rng;

	struct config_table *config;
	GHashTable *parsed[CONFIG_KINDS]; /* name to struct parsed */
	uint64_t rules_high; /* highest version of any object but instances */
	/* last rules_high that config_complete_version() has reached */
	uint64_t rules_version;
	int view_dirty; /* the data task's view is out of date */

	struct member_table *members;
	struct datagram_codec *codec;
	int udp_fd;
	struct io_watch udp_watch;
	struct io_timer member_timer;
	struct io_timer rediscover_timer;
	GHashTable *forgotten; /* incarnations removed from the member table */
	/* 0 after a pause, until a member has acknowledged us and the
	 * configuration has caught up */
	int may_act;
	uint32_t data_pause_seq; /* number of the data task's last pause */
	uint64_t reported_version; /* highest that a member told us of */
	uint64_t differs_version; /* of the last EVENT_CONFIG_DIFFERS */

	struct platform *platform;
	int platform_down;
	int64_t platform_backoff; /* mean delay of the next retry */
	uint64_t era; /* newest era of the store in any answer */
	int era_known; /* the store has answered */
	int64_t restored_at; /* when a later era was first seen, or 0 */
	struct feed feed[STORE_FEEDS_MAX];
	int64_t started; /* time of control_platform_start() */
	struct io_timer start_timer;
	struct io_timer reading_timer;
	struct io_timer reread_timer;
	struct reader reader;
	struct io_timer register_timer;
	struct io_timer seeds_timer;
	/* name of a seed to the time since which no member has its address */
	GHashTable *seeds_absent_since;
	GArray *seeds; /* struct member_address, of the last list */
	int64_t seeds_listed_at;
	struct io_timer join_timer;
	int seeds_listed; /* addresses were listed and ours is among them */
	int own_seed_written; /* in the era of the last list */
	uint64_t seeds_era; /* in which the own address was listed */
	uint64_t seeds_check_era; /* for which such a list is scheduled */
	enum registration registration;
	int register_again; /* write the instance object once more */
	uint64_t registered_version;

	int pulling;
	uint64_t pull_source; /* incarnation */
	struct packed packed[CONFIG_KINDS]; /* the last that was asked for */
	struct io_timer pull_timer;

	struct data_target target;
	struct track track; /* from heartbeats, where targets send them */
	struct http_pool *health_pool;
	struct http_call *health_call; /* a health check in flight, or NULL */
	struct io_timer health_timer; /* its timeout, or the next one */
	int health_tries; /* failed ones; the maximum once none is needed */
	int has_target; /* it is announced and takes work */
	int service_changed; /* since it was last published to the members */
	int operator_drain; /* an operator drained the target */
	int leaving;
	int leave_announced;
	int target_idle; /* since then, nothing runs at the target any more */
	int data_drained; /* the data task has nothing in flight */
	struct leave_plan leave;
	struct io_timer leave_timer;
	void (*leave_done)(void *ctx);
	void *leave_ctx;

	struct control_counters counters;
	SoupSession *trace_session;
	uint64_t span_batches_lost; /* could not be sent */
	SoupServer *operator_server;
	struct control_rollouts *rollouts; /* NULL where none are followed */
	GPtrArray *drain_waiters; /* messages answered once target is idle */
};

/* Time of this iteration of the control task's loop, microseconds. */
int64_t control_now(const struct control *);

/* configuration */
void control_parsed_free(gpointer);
/* Notes that an object became newer; ctx is the control. */
void control_object_changed(void *ctx, const struct config_object *);
/* Takes a batch of objects and, if anything changed, publishes a new view. */
void control_apply_batch(struct control *, const struct config_batch *);
/* Posts the configuration in force and the members to the data task. */
void control_publish_view(struct control *);
/* Number of routes, services and limits in force that are invalid. */
int control_invalid_parts(struct control *);
/* Whether the routes in force name a service. */
int control_is_routed_service(struct control *, const char *name);
/* Logs an object that can't be used, or of which so many parts can't be. */
void control_log_bad_object(struct control *, const struct config_object *,
    int parts, const struct kq_error *);
/* Path of the health check of a service that routes name; 0 or -1. */
int control_health_path(struct control *, const char *service, char *path,
    size_t size);
/* Takes a note of a member; for struct member_ops. */
void control_note_received(void *ctx, const struct member_note *, int64_t at);
/* Tells the members news of the data task, which are freed. */
void control_tell_crash_news(void *ctx, void *message);
/* Asks another daemon for newer objects, unless a pull is in flight. */
void control_pull_config(struct control *, uint64_t incarnation);

/* Handlers of messages from the data task; they free the message. */
void control_handle_page(void *ctx, void *message);
void control_handle_pull(void *ctx, void *message);
void control_handle_newer_version(void *ctx, void *message);
void control_handle_pause(void *ctx, void *message);
void control_handle_silent_peer(void *ctx, void *message);

struct page_message {
	uint64_t incarnation;
	struct config_batch *batch;
};
struct pull_message {
	uint64_t conn;
	uint32_t xid;
	struct config_pull pull;
};
struct newer_version_message {
	uint64_t version;
	uint64_t incarnation;
};

/* membership */
extern const struct member_ops control_member_ops;
int control_open_udp(struct control *, struct kq_error *);
/* Runs the member table's tick in the next iteration of the loop. */
void control_schedule_member_tick(struct control *);
/** control_log_refused() - log a datagram that was refused. Its sender and the
 * incarnations that it names, 0 where it could not be read, are authentic only
 * with the reasons "other" and "replayed" */
void control_log_refused(struct control *, enum datagram_reason,
    const struct member_message *, const struct sockaddr_in *);
/** control_log_member() - log what happened to a member */
void
control_log_member(struct control *, const struct member *, enum member_event);
void control_member_start(struct control *);
void control_start_rediscovery(struct control *);
/* Adds the member that an instance object names; if the object was removed,
 * the member counts as having left. */
void control_instance_changed(struct control *, const struct config_object *);
/* Whether an instance counts as live: its member is confirmed and alive or
 * suspect, or was never in the member table. Our own is until we leave. */
int control_instance_live(const struct control *, uint64_t id);
/* Announces the service of our target to the members and to the data task. */
void control_publish_service(struct control *);
/* Sets an instance's service to the one that its member has announced, which is
 * newer than the one in its object. */
void control_set_instance_service(struct control *, struct instance *);
/* Fills in an instance from its member; 0 if the member has no target. */
int control_member_instance(struct control *, int handle, struct instance *);

/* platform */
void control_platform_start(struct control *);
/* Whether the platform has several feeds, each with a complete version of its
 * own. */
int control_many_feeds(const struct control *);
/* Whether a configuration is held, if only one that may be stale. */
int control_has_config(const struct control *);
/* Whether a watch is in flight. */
int control_has_open_watch(const struct control *);
/* Whether this daemon is one of its data centre's watchers. */
int control_is_watcher(const struct control *);
/* Counts a call to the platform and logs if the platform goes down or up. */
void
control_note_platform_result(struct control *, const struct platform_result *);
/* Delay of the next retry, microseconds; doubles the one after it. */
int64_t control_platform_backoff(struct control *);
/* Joins the other daemons by the addresses in the store. */
void control_seeds_start(struct control *);
/* Has the own address looked for if the store came back from a copy. */
void control_check_seeds_era(struct control *);
void control_seeds_stop(struct control *);
/* Whether feed @i is watched; others are only listed. */
int control_is_watched_feed(const struct control *, int i);
/* Logs and counts entries of an answer that can't be used, if one of them is
 * new. */
void control_note_invalid(struct feed *, const struct platform_result *);
/* Applies objects of one of several feeds; 0, or -1 if their version is below
 * the one that the feed has reached or, for a watched feed, below the complete
 * version. */
int control_apply_feed_batch(struct feed *, struct config_batch *);
/* Starts to list the watched feeds whenever it is this daemon's turn. */
void control_start_reading(struct control *);
/* Lists the watched feeds soon, to find what this daemon or a member of the
 * same version lacks. */
void control_reread(struct control *);
/* Notes that a feed was listed now, by a request sent at @sent_at. */
void control_note_reading(struct feed *, int64_t sent_at);
/* Lists the watched feeds that are behind @ahead. The version of a change is
 * complete only when all of them have reached it, and their open watches would
 * report it only with their next change. */
void control_read_lagging_feeds(struct feed *ahead);
/* Lists or watches the feeds that this daemon is to read. */
void control_watch_platform(struct control *);
/* Writes our instance object, or notes that it must be written again. */
void control_register_instance(struct control *);
/* Writes our instance object after a short random time. */
void control_register_instance_soon(struct control *);
/* Deletes our instance object if it was written. */
void control_unregister_instance(struct control *);

/* roll-outs */
void control_rollouts_new(struct control *);
void control_rollouts_free(struct control *);
/* Reads the orders, and adds them to the view. */
void control_rollouts_take(struct control *, const struct config_snapshot *,
    struct view *);
/* Appends the orders to the daemon's status. */
void control_rollouts_write_status(const struct control *, GString *);
void control_rollouts_write_metrics(const struct control *, GString *);
/* Takes a report of a target's daemon, which is freed. */
void control_rollout_report(void *ctx, void *message);
struct rollout_news;
/* Takes news of another daemon. */
void control_rollout_news(struct control *, const struct rollout_news *);
/* Notes that a daemon is no member any more. */
void control_rollout_forget(struct control *, uint64_t incarnation);

/* traces */
void control_send_spans(void *ctx, void *message);

/* operators */
/* Answers a request on the operators' port; takes over the text. */
void control_answer(SoupServerMessage *, int status, const char *type,
    GString *text);
void
control_answer_error(SoupServerMessage *, int status, const struct kq_error *);
void control_target_handler(SoupServer *, SoupServerMessage *, const char *path,
    GHashTable *query, gpointer ctx);
void control_report_handler(SoupServer *, SoupServerMessage *, const char *path,
    GHashTable *query, gpointer ctx);
void control_drain_handler(SoupServer *, SoupServerMessage *, const char *path,
    GHashTable *query, gpointer ctx);
void control_write_metrics(struct control *, GString *);
int control_open_operator_server(struct control *, struct kq_error *);
/* Answers the drain requests that waited for the target to become idle. */
void control_answer_drains(struct control *);
/* Drains the target if it has the id in the message, which is freed. */
void control_target_says_leaving(void *ctx, void *message);
/* Takes a target that passed a health check before its first heartbeat. */
void control_target_healthy(struct control *, const struct heartbeat *);
/* Checks the health of a target that sent no heartbeat yet. */
void control_start_health_check(struct control *);
/* Begins anew, for a heartbeat that is to be confirmed. */
void control_repeat_health_check(struct control *);
void control_stop_health_check(struct control *);

#endif
