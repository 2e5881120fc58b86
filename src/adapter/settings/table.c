#include "adapter/settings/table.h"

#define AT(field) offsetof(struct settings, field)
#define PORT_MAX 65535

const struct setting settings_table[] = {
	{ NULL, "name", SETTING_NAME, AT(name), 0, 0, NULL,
	    "name of this instance in logs and traces" },
	{ NULL, "ip", SETTING_IP, AT(ip), 0, 0, NULL,
	    "IPv4 address at which other daemons reach this one" },
	{ NULL, "datacentre", SETTING_NAME, AT(datacentre), 0, 0, NULL,
	    "data centre of this instance" },
	{ NULL, "region", SETTING_NAME, AT(region), 0, 0, "none",
	    "region of the data centre" },
	{ NULL, "caller_port", SETTING_PORT, AT(caller_port), 1, PORT_MAX, NULL,
	    "TCP port for callers (HTTP)" },
	{ NULL, "peer_port", SETTING_PORT, AT(peer_port), 1, PORT_MAX, NULL,
	    "TCP and UDP port for other daemons" },
	{ NULL, "operator_port", SETTING_PORT, AT(operator_port), 1, PORT_MAX,
	    NULL, "TCP port for the target, operators and metrics (HTTP)" },
	{ NULL, "ready_port", SETTING_PORT, AT(ready_port), 1, PORT_MAX, "none",
	    "additional port for readiness checks (HTTP)" },
	{ NULL, "heartbeat_port", SETTING_PORT, AT(heartbeat_port), 1, PORT_MAX,
	    "none", "additional port for the target's heartbeats (HTTP)" },
	{ NULL, "dialect", SETTING_NAME, AT(dialect), 0, 0, "own",
	    "naming of header fields, paths and API used with callers, "
	    "targets and the platform" },
	{ NULL, "service", SETTING_NAME, AT(service), 0, 0, "none",
	    "service of this instance, sent to targets that need to know "
	    "where a call began" },
	{ NULL, "target", SETTING_ADDRESS, AT(target), 0, 0, "none",
	    "address of the target beside this daemon; its health is "
	    "checked at the start, before its first heartbeat" },
	{ NULL, "grace_s", SETTING_REAL, AT(grace_s), 1, 600, "60",
	    "seconds between SIGTERM and forced termination" },
	{ NULL, "leave_ms", SETTING_INT, AT(leave_ms), 0, 600000, "1000",
	    "part of grace_s for which callers are still served and told "
	    "to connect elsewhere" },
	{ "platform", "ip", SETTING_IP, AT(platform.ip), 0, 0, "none",
	    "IPv4 address of the platform's object API; requires port" },
	{ "platform", "port", SETTING_INT, AT(platform.port), 1, PORT_MAX,
	    "none", "TCP port of the platform's object API" },
	{ "platform", "address", SETTING_ADDRESS, AT(platform), 0, 0, "none",
	    "IPv4 address and port of the platform's object API in one "
	    "string; required unless ip and port are given" },
	{ NULL, "peers", SETTING_PEERS, AT(peer), 0, SETTINGS_PEERS_MAX, "[]",
	    "other daemons as {\"ip\",\"port\"} with their peer ports, asked for "
	    "members and configuration while the platform is down" },
	{ NULL, "fleet_keys", SETTING_KEYS, AT(fleet_key), 1, SETTINGS_KEYS_MAX,
	    "none",
	    "keys of 64 hex digits; the first signs, each is accepted; this or "
	    "fleet_key_file is required" },
	{ NULL, "fleet_key_file", SETTING_KEY_FILE, AT(fleet_key_file), 0, 0,
	    "none", "file with one or two keys, one per line" },
	{ "limits", "head_bytes", SETTING_INT, AT(head_bytes), 1024, 1048576,
	    "16384", "largest start line and header fields of one message" },
	{ "limits", "body_in_flight_bytes", SETTING_INT64,
	    AT(body_in_flight_bytes), 65536, 1e12, "67108864",
	    "largest total of request bodies held in memory at once" },
	{ "limits", "call_bytes", SETTING_INT64, AT(call_bytes), 1048576, 1e12,
	    "67108864",
	    "largest total of bytes held for all calls, or that other daemons "
	    "may send for them; buffers can take twice that, so the default "
	    "is a quarter of a machine of 260 MB" },
	{ "limits", "connections", SETTING_INT, AT(connections), 1, 1000000,
	    "1024", "most caller connections open at once" },
	{ "limits", "idle_ms", SETTING_INT, AT(idle_ms), 1, 86400000, "60000",
	    "time without a byte after which a caller's connection is "
	    "closed" },
	{ "limits", "head_ms", SETTING_INT, AT(head_ms), 1, 600000, "5000",
	    "time that a caller has to send a complete request head" },
	{ "limits", "cold_slack", SETTING_INT, AT(cold_slack), 0, 1000000,
	    "none",
	    "requests in any second that a cold target can take beyond "
	    "its rate" },
	{ "limits", "cold_overshoot", SETTING_REAL, AT(cold_overshoot), 1, 100,
	    "1",
	    "multiple of its rate that a cold target can take in any "
	    "second, plus cold_slack" },
	{ "limits", "measure_per_s", SETTING_REAL, AT(measure_per_s), 0, 1000,
	    "2",
	    "health checks a second that a target can take, for services "
	    "without a service file" },
	{ "retries", "ratio", SETTING_REAL, AT(retry_ratio), 0, 1, "0.1",
	    "extra attempts that a success adds to the retry budget of a "
	    "service without a service file" },
	{ "retries", "slack", SETTING_INT, AT(retry_slack), 0, 1000000, "none",
	    "extra attempts beyond the share of ratio that the whole fleet "
	    "may make for one service in window_s; divided among the "
	    "daemons" },
	{ "retries", "window_s", SETTING_REAL, AT(retry_window_s), 0.1, 600,
	    "10", "length of the window of slack, seconds" },
	{ "crossing", "cost_ms", SETTING_REAL, AT(crossing_cost_ms), 0, 60000,
	    "none",
	    "price of sending a call to another data centre, as time that it "
	    "would rather wait in its own; without it or at 0, calls leave "
	    "above a utilization of 0.9 and return below 0.7" },
	{ "rollouts", "share", SETTING_REAL, AT(rollout_share), 0, 1, "none",
	    "share of the requests to a service that a version which turns "
	    "out to be bad may get; without it, roll-outs are ignored" },
	{ "rollouts", "slack", SETTING_INT, AT(rollout_slack), 0, 1000000,
	    "none",
	    "requests that such a version may get beyond share, in the whole "
	    "fleet" },
	{ "rollouts", "act_ms", SETTING_INT, AT(rollout_act_ms), 100, 600000,
	    "5000",
	    "longest time from the 50th bad answer of a version until it gets "
	    "no more requests" },
	{ "trace", "ip", SETTING_IP, AT(trace.ip), 0, 0, "none",
	    "IPv4 address of the collector of spans; requires port; "
	    "without both, traces are off" },
	{ "trace", "port", SETTING_INT, AT(trace.port), 1, PORT_MAX, "none",
	    "TCP port of the collector of spans" },
	{ "trace", "sample_ratio", SETTING_REAL, AT(trace_ratio), 0, 1, "0.01",
	    "share of requests without a trace context that are traced" },
	{ "log", "level", SETTING_LEVEL, AT(log_level), 0, 0, "info",
	    "least severe level logged: error, warning, info or debug" },
};

const int settings_table_count =
    (int)(sizeof settings_table / sizeof settings_table[0]);
