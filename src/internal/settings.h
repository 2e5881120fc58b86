#ifndef KQ_SETTINGS_H
#define KQ_SETTINGS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "objects.h"

/**
 * DOC: Settings of one daemon, a file in JSON with comments.
 *
 * One table in settings/table.c holds key, unit, range, default and meaning
 * of each setting; the reader, --print-settings and docs/SETTINGS.md come
 * from it.
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
 * @peers: daemons that a newcomer asks while the platform is down
 * @fleet_key: the first one signs, each of them is accepted
 * @fleet_key_file: file the keys were read from, or empty
 * @dialect: names by which callers, targets and the platform are spoken to
 * @service: service of the instance, named to targets as the origin of calls
 *	that begin here; empty in dialects that do not ask for it
 * @target: where the target beside this daemon listens, asked for its health at
 *	the start before its first heartbeat; port 0 when not known
 * @ready_port, @heartbeat_port: further ports on which readiness is asked for
 *	and the target announces itself, 0 when they are the operators' port
 * @grace_s: seconds between the order to stop and the end by force
 * @leave_ms: of this, time for which callers are still served while readiness
 *	tells them to go elsewhere
 * @retry_slack: attempts beyond the first, above the share of requests, that
 *	the fleet may make for a service in @retry_window_s
 * @cold_slack: requests a second that a cold target bears above its rate
 * @cold_overshoot: times its rate that it bears, besides
 * @measure_per_s: health checks a second that a target bears, where no service
 *	file says so
 * @trace: where spans are sent; port 0 turns traces off
 * @trace_ratio: share of requests that are traced
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
	int connections;
	int idle_ms;
	int head_ms;
	double grace_s;
	int leave_ms;
	double retry_ratio;
	int retry_slack;
	double retry_window_s;
	int cold_slack;
	double cold_overshoot;
	double measure_per_s;
	struct settings_address trace;
	double trace_ratio;
	enum log_level log_level;
};

/** settings_read() - read settings from text; 0 or -1 with line and column. The
 * key file, if one is named, is read too. */
int
settings_read(struct settings *, const char *text, size_t n, struct kq_error *);
/** settings_load() - read settings from a file; 0 or -1 */
int settings_load(struct settings *, const char *path, struct kq_error *);
/** settings_differ_fn - a setting that differs; @live if it can be taken
 * without a restart */
typedef void
settings_differ_fn(void *ctx, const char *group, const char *key, int live);
/** settings_differ() - compare two; returns how many settings differ */
int settings_differ(const struct settings *, const struct settings *,
    settings_differ_fn *, void *ctx);
/** settings_take_live() - copy what can be taken without a restart */
void settings_take_live(struct settings *, const struct settings *from);
/** settings_print() - append the settings in force as JSON, without keys */
void settings_print(GString *, const struct settings *);
/** settings_document() - append the table of settings in Markdown */
void settings_document(GString *);
const char *log_level_name(enum log_level);

#endif
