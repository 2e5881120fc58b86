#include "adapter/settings/table.h"

#define AT(field) offsetof(struct settings, field)
#define PORT_MAX 65535

const struct setting settings_table[] = {
	{ NULL, "name", SETTING_NAME, AT(name), 0, 0, NULL,
	    "name of this instance in logs and traces" },
	{ NULL, "ip", SETTING_IP, AT(ip), 0, 0, NULL,
	    "IPv4 number that other daemons reach this one at" },
	{ NULL, "datacentre", SETTING_NAME, AT(datacentre), 0, 0, NULL,
	    "data centre of this instance" },
	{ NULL, "region", SETTING_NAME, AT(region), 0, 0, "none",
	    "region of the data centre" },
	{ NULL, "caller_port", SETTING_INT, AT(caller_port), 1, PORT_MAX, NULL,
	    "TCP port for callers (HTTP)" },
	{ NULL, "peer_port", SETTING_INT, AT(peer_port), 1, PORT_MAX, NULL,
	    "TCP and UDP port for other daemons" },
	{ NULL, "operator_port", SETTING_INT, AT(operator_port), 1, PORT_MAX,
	    NULL, "TCP port for the target, operators and metrics (HTTP)" },
	{ "platform", "ip", SETTING_IP, AT(platform.ip), 0, 0, NULL,
	    "IPv4 number of the platform's object API" },
	{ "platform", "port", SETTING_INT, AT(platform.port), 1, PORT_MAX, NULL,
	    "its TCP port" },
	{ NULL, "peers", SETTING_PEERS, AT(peer), 0, SETTINGS_PEERS_MAX, "[]",
	    "other daemons as {\"ip\",\"port\"} with their peer ports, asked for "
	    "members and configuration while the platform is down" },
	{ NULL, "fleet_keys", SETTING_KEYS, AT(fleet_key), 1, SETTINGS_KEYS_MAX,
	    "none",
	    "keys of 64 hex digits; the first signs, each is accepted; this or "
	    "fleet_key_file is required" },
	{ NULL, "fleet_key_file", SETTING_KEY_FILE, AT(fleet_key_file), 0, 0,
	    "none", "file with one or two keys, one a line" },
	{ "limits", "head_bytes", SETTING_INT, AT(head_bytes), 1024, 1048576,
	    "16384", "start line and fields of one message" },
	{ "limits", "body_in_flight_bytes", SETTING_INT64,
	    AT(body_in_flight_bytes), 65536, 1e12, "67108864",
	    "bodies held in memory by all requests" },
	{ "limits", "connections", SETTING_INT, AT(connections), 1, 1000000,
	    "1024", "connections of callers open at once" },
	{ "limits", "idle_ms", SETTING_INT, AT(idle_ms), 1, 86400000, "60000",
	    "time without a byte before a caller's connection is closed" },
	{ "limits", "head_ms", SETTING_INT, AT(head_ms), 1, 600000, "5000",
	    "time a caller has to send a whole head" },
	{ "trace", "ip", SETTING_IP, AT(trace.ip), 0, 0, "none",
	    "IPv4 number of the collector of spans; with port, or traces are off" },
	{ "trace", "port", SETTING_INT, AT(trace.port), 1, PORT_MAX, "none",
	    "its TCP port" },
	{ "trace", "sample_ratio", SETTING_REAL, AT(trace_ratio), 0, 1, "0.01",
	    "share of requests that are traced" },
	{ "log", "level", SETTING_LEVEL, AT(log_level), 0, 0, "info",
	    "least severe level logged: error, warning, info or debug" },
};

const int settings_table_count =
    (int)(sizeof settings_table / sizeof settings_table[0]);
