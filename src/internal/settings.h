#ifndef KQ_SETTINGS_H
#define KQ_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "objects.h"

/**
 * DOC: Settings of one daemon, read from a file in JSON with comments.
 *
 * One table in settings/table.c holds key (with its unit), type, range, default
 * and meaning of each setting; the reader, --print-settings and
 * docs/SETTINGS.md all use it.
 */

#define SETTINGS_PEERS_MAX 16
#define SETTINGS_KEYS_MAX 2
#define FLEET_KEY_BYTES 32
#define SETTINGS_PATH_MAX 256

struct settings_address {
	char ip[IP_TEXT_MAX];
	int port; /* 0 when not set */
};

enum log_level { LOG_ERROR, LOG_WARNING, LOG_INFO, LOG_DEBUG };

/**
 * struct settings - all settings of a daemon
 * @ready_port, @heartbeat_port: additional ports for readiness checks and for
 *	the target's heartbeats; 0 if the operator port alone serves them
 * @dialect: name of the dialect used with callers, targets and the platform
 * @service: service of the instance, sent to targets as the origin of calls
 *	that begin here; empty in dialects that do not require it
 * @target: address of the target beside this daemon, whose health is checked
 *	at the start, before its first heartbeat; port 0 when not known
 * @peer: daemons that a starting daemon asks for members and configuration
 *	while the platform is down
 * @fleet_key: the first key signs, each of them is accepted
 * @fleet_key_file: file that the keys were read from, or empty
 * @grace_s: seconds between the order to stop and forced termination
 * @leave_ms: part of @grace_s for which callers are still served while
 *	readiness checks tell them to connect elsewhere
 * @retry_ratio: extra attempts that a success adds to the retry budget of a
 *	service without a service file
 * @retry_slack: extra attempts beyond the share of @retry_ratio that the whole
 *	fleet may make for one service in @retry_window_s
 * @cold_slack: requests a second that a cold target can take beyond its rate
 * @cold_overshoot: multiple of its rate that a cold target can take, plus
 *	@cold_slack
 * @measure_per_s: health checks a second that a target can take, for services
 *	without a service file
 * @rollout_share: share of the requests to a service that a bad version may
 *	get; 0: roll-outs are neither read nor followed
 * @rollout_slack: requests that it may get beyond that, in the whole fleet
 * @rollout_act_ms: longest time from its 50th bad answer to its roll-back
 * @trace: address that spans are sent to; port 0 turns traces off
 * @trace_ratio: share of requests without a trace context that are traced
 */
struct settings {
	char name[SERVICE_NAME_MAX];
	char ip[IP_TEXT_MAX];
	char datacentre[DATACENTRE_NAME_MAX];
	char region[DATACENTRE_NAME_MAX];
	int caller_port;
	int peer_port;
	int operator_port;
	int ready_port;
	int heartbeat_port;
	char dialect[DATACENTRE_NAME_MAX];
	char service[SERVICE_NAME_MAX];
	struct settings_address target;
	struct settings_address platform;
	int npeer;
	struct settings_address peer[SETTINGS_PEERS_MAX];
	int nkey;
	unsigned char fleet_key[SETTINGS_KEYS_MAX][FLEET_KEY_BYTES];
	char fleet_key_file[SETTINGS_PATH_MAX];
	int head_bytes;
	int64_t body_in_flight_bytes;
	int64_t call_bytes;
	int connections;
	int idle_ms;
	int head_ms;
	double grace_s;
	int leave_ms;
	double retry_ratio;
	int retry_slack;
	double retry_window_s;
	double crossing_cost_ms;
	int cold_slack;
	double cold_overshoot;
	double measure_per_s;
	double rollout_share;
	int rollout_slack;
	int rollout_act_ms;
	struct settings_address trace;
	double trace_ratio;
	enum log_level log_level;
};

/** settings_read() - read settings from text, and the key file if one is named.
 * Return: 0, or -1 with line and column in the error */
int
settings_read(struct settings *, const char *text, size_t n, struct kq_error *);
/** settings_load() - read settings from a file. Return: 0 or -1 */
int settings_load(struct settings *, const char *path, struct kq_error *);
/** settings_compare_fn - called for a setting that differs; @live is nonzero if
 * the new value takes effect without a restart */
typedef void
settings_compare_fn(void *ctx, const char *group, const char *key, int live);
/** settings_compare() - compare two structs and call the function for each
 * setting that differs. Return: number of settings that differ */
int settings_compare(const struct settings *, const struct settings *,
    settings_compare_fn *, void *ctx);
/** settings_copy_live() - copy the settings that take effect without a
 * restart */
void settings_copy_live(struct settings *, const struct settings *from);
/** settings_print() - append the settings in force as JSON, without the fleet
 * keys */
void settings_print(GString *, const struct settings *);
/** settings_print_table() - append the table of settings in Markdown */
void settings_print_table(GString *);
const char *log_level_name(enum log_level);

#endif
