# Functions for scripts about roll-outs; to be sourced after fleet.sh and dialect.sh.
#
#   rollout_fleet                 start the platform, daemons and targets of version v1 at
#                                 1.1, 1.2, 2.1 and 2.2, with routes /p/ and /q/bad/; false if
#                                 not all targets become known
#   rollout_new [TARGET-OPTION]...
#                                 start daemons and targets of version v2 at 1.3, 1.4, 2.3
#                                 and 2.4
#   rollout_load SECONDS          send requests to both routes in the background
#   rollout_load_end              wait until these are answered; false if the load tool fails
#   rollout_order SECONDS         order the version v2
#   rollout_state                 print the state in the store
#   rollout_await STATE SECONDS   wait until the store shows the state; false if it does not
#   rollout_decider               print DC-N of the daemon that decides
#   rollout_runs FROM_US [TO_US]  print how many requests the old and the new targets ran in
#                                 that time
#   rollout_lost                  print how many requests the load made from the order on, and
#                                 how many of these were not answered whole
#   rollout_why                   print what the daemons wrote about the roll-out

rollout_heartbeat_s=2.5 # the fake targets' heartbeats, which tell versions, come every 2 s
rollout_old="1.1 1.2 2.1 2.2"
rollout_fresh="1.3 1.4 2.3 2.4"

fleet_settings() {
	cat <<EOF
{
	"name": "dc$1-$2", "ip": "$fleet_net.$1.$2", "datacentre": "dc$1", "region": "r1",
	"dialect": "platform", "service": "codebook", "target": "$fleet_net.$1.$2:9001",
	"caller_port": "$fleet_net.$1.$2:8400", "peer_port": 8410, "operator_port": 8420,
	"ready_port": "$fleet_net.$1.$2:8430", "heartbeat_port": "$fleet_net.$1.$2:8440",
	"platform": { "address": "$fleet_platform_at" }, "leave_ms": 500, "grace_s": 6,
	"limits": { "measure_per_s": 60, "cold_slack": 5 }, "retries": { "ratio": 0.15, "slack": 58 },
	"rollouts": { "share": 0.1, "slack": 50, "act_ms": 5000 },
	"log": { "level": "info" }, "fleet_keys": [ $fleet_keys ]
}
EOF
}

rollout_fleet() {
	dialect_platform
	for rollout_node in $rollout_old; do
		fleet_daemon "${rollout_node%.*}" "${rollout_node#*.}"
		dialect_target "${rollout_node%.*}" "${rollout_node#*.}" --service-us 20000
	done
	dialect_store_request POST config "$(dialect_config_json \
		"$(dialect_route_json /p/ safe),$(dialect_route_json /q/bad/ safe | sed 's/"name":"safe"/"name":"second"/')")" >"$fleet_dir/code"
	fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
	fleet_targets 4 && sleep "$rollout_heartbeat_s"
}

rollout_new() {
	for rollout_node in $rollout_fresh; do
		fleet_daemon "${rollout_node%.*}" "${rollout_node#*.}"
		dialect_target "${rollout_node%.*}" "${rollout_node#*.}" --service-us 20000 --version 2 "$@"
	done
	fleet_targets 8 && sleep "$rollout_heartbeat_s"
}

rollout_load() {
	fleet_run load "$fleet_build/bench-load" --dialect platform --service h.example --rate "${rollout_rate:-100}" --fixed \
		--seconds "$1" --timeout-ms 900 --history "$fleet_dir/load.history" \
		--call GET:/p/x:1:repeat --call GET:/q/bad/x:1:repeat \
		--to "$fleet_net.1.1:8400" --to "$fleet_net.1.2:8400" --to "$fleet_net.2.1:8400" --to "$fleet_net.2.2:8400"
	rollout_load_pid=$!
}

rollout_load_end() {
	wait "$rollout_load_pid"
	rollout_load_status=$?
	fleet_pids=$(echo " $fleet_pids " | sed "s/ $rollout_load_pid / /")
	return $rollout_load_status
}

rollout_order() {
	rollout_at=$(dialect_now_us)
	dialect_store_request POST rollouts '{"metadata":{"name":"codebook"},"specification":{"service":"codebook",
"target_version":"v2","duration_s":'"$1"'}}' >"$fleet_dir/code"
	[ "$(cat "$fleet_dir/code")" = 200 ]
}

rollout_state() {
	dialect_store_request GET rollouts/codebook >"$fleet_dir/code"
	sed -n 's/.*"status":{[^}]*"state":"\([a-z_]*\)".*/\1/p' "$fleet_dir/store"
}

rollout_is() { [ "$(rollout_state)" = "$1" ]; }

rollout_await() { fleet_wait_until "$2" rollout_is "$1"; }

rollout_decider() {
	grep -l 'event=603 ' "$fleet_dir"/daemon-*.log | head -1 | sed 's/.*daemon-\(.*\)\.log/\1/'
}

rollout_count() {
	rollout_n=0
	for rollout_node in $1; do
		rollout_n=$((rollout_n + $(awk -v from="$2" -v to="$3" '$3 == "run" && $1 >= from && $1 < to { n++ } END { print n + 0 }' \
			"$fleet_dir/target-$(echo "$rollout_node" | tr . -).history")))
	done
	echo $rollout_n
}

rollout_runs() {
	echo "$(rollout_count "$rollout_old" "$1" "${2-9e18}") $(rollout_count "$rollout_fresh" "$1" "${2-9e18}")"
}

rollout_lost() {
	awk -v from="$rollout_at" '
	function field(name, i) {
		for (i = 3; i <= NF; i++)
			if (index($i, name "=") == 1)
				return substr($i, length(name) + 2)
	}
	$3 == "call" { at[field("id")] = $1 }
	$3 == "answer" && at[field("id")] >= from {
		n++
		lost += field("outcome") != "whole"
	}
	END { print n + 0, lost + 0 }' "$fleet_dir/load.history"
}

rollout_why() { grep -h 'event=60[1-6] ' "$fleet_dir"/daemon-*.log | sort | cut -c1-400; }
