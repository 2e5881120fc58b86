# Functions to run a fleet in the users' dialect; to be sourced after fleet.sh.
#
#   dialect_platform           start the fake platform with the users' API; it also
#                              listens on NET.0.11, where the fault turn-away holds
#   fleet_settings DC N        print the settings of a daemon with this dialect
#                              (replaces the function of fleet.sh); the platform's
#                              address is $dialect_platform_at if that is set
#   dialect_target DC N [TARGET-OPTION]...
#                              start a target of codebook that sends heartbeats
#   dialect_most_runs DC-N FROM_US SECONDS
#                              print the most requests that a target ran in any
#                              window of so many seconds from then on
#   dialect_now_us             print the time of histories
#   dialect_fleet DC.N,... [TARGET-OPTION]...
#                              start the platform, daemons and targets there, the
#                              first at 1.1, with a route /p/; false if not all
#                              targets become known
#   dialect_store_request METHOD KIND[/NAME] [BODY]
#                              send a request to the platform's object store and
#                              print the HTTP status
#   dialect_route_json PREFIX KIND
#                              print a route to codebook; its host is
#                              $dialect_host, h.example if not set
#   dialect_config_json ROUTES print the configuration that operators store; its
#                              version is $dialect_version, 1 if not set

dialect_fleet() {
	dialect_nodes=$(echo "$1" | tr , ' ')
	shift
	dialect_platform
	for dialect_node in $dialect_nodes; do
		fleet_daemon "${dialect_node%.*}" "${dialect_node#*.}"
		dialect_target "${dialect_node%.*}" "${dialect_node#*.}" "$@"
	done
	dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
	fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
	fleet_targets "$(echo "$dialect_nodes" | wc -w)"
}

dialect_most_runs() {
	awk -v from="$2" -v window=$(($3 * 1000000)) 'BEGIN { first = n = 0 }
	$3 == "run" && $1 >= from {
		at[n++] = $1
		while (at[n - 1] - at[first] >= window)
			first++
		if (n - first > most)
			most = n - first
	} END { print most + 0 }' "$fleet_dir/target-$1.history"
}

dialect_now_us() { awk '{ printf "%.0f\n", $1 * 1000000 }' /proc/uptime; }

dialect_platform() {
	fleet_run platform "$fleet_build/fake-platform" --users --ip "${fleet_platform_at%:*}" \
		--second-ip "$fleet_net.0.11" --port "${fleet_platform_at#*:}" \
		--history "$fleet_dir/platform.history"
	fleet_await "http://$fleet_platform_at/fake/counts"
}

fleet_settings() {
	cat <<EOF
{
	"name": "dc$1-$2", "ip": "$fleet_net.$1.$2", "datacentre": "dc$1", "region": "r1",
	"dialect": "platform", "service": "codebook", "target": "$fleet_net.$1.$2:9001",
	"caller_port": "$fleet_net.$1.$2:8400", "peer_port": 8410, "operator_port": 8420,
	"ready_port": "$fleet_net.$1.$2:8430", "heartbeat_port": "$fleet_net.$1.$2:8440",
	"platform": { "address": "${dialect_platform_at-$fleet_platform_at}" }, "leave_ms": 500, "grace_s": 6,
	"limits": { "measure_per_s": 60, "cold_slack": 5 }, "retries": { "ratio": 0.15, "slack": 58 },
	"log": { "level": "info" }, "fleet_keys": [ $fleet_keys ]
}
EOF
}

dialect_target() {
	dialect_dc=$1
	dialect_n=$2
	shift 2
	fleet_run "target-$dialect_dc-$dialect_n" "$fleet_build/fake-target" --users --ip "$fleet_net.$dialect_dc.$dialect_n" \
		--port 9001 --service codebook --dc "dc$dialect_dc" \
		--announce "$fleet_net.$dialect_dc.$dialect_n:8440" --history \
		"$fleet_dir/target-$dialect_dc-$dialect_n.history" --fixed 1 "$@"
	eval "fleet_target_${dialect_dc}_$dialect_n=$!"
}

dialect_store_request() {
	curl -s -m 2 -o "$fleet_dir/store" -w '%{http_code}' -X "$1" ${3+-d "$3"} \
		"http://$fleet_platform_at/v1/objects/$2"
}

dialect_route_json() {
	cat <<EOF
{"resource_kind":"routes","metadata":{"name":"$2"},"specification":{"host":"${dialect_host-h.example}","path_prefix":"$1",
"kind":"$2","timeout_ms":900,"target_latency_ms":300,"priority":1,"service":"codebook","max_attempts":2}}
EOF
}

dialect_config_json() {
	cat <<EOF
{"metadata":{"name":"main"},"specification":{"version":${dialect_version-1},"resources":[$1,
{"resource_kind":"services","metadata":{"name":"codebook"},"specification":
{"health_path":"${dialect_health-/health}","max_connections":260,"cold_start_s":3.0,"cold_per_s":19.0}}]}}
EOF
}
