#!/bin/sh
# Planned stops under load cut no requests: a daemon is stopped, then a daemon and its
# target at the same time by two SIGTERM each, while their data centre is taken out of
# service and back in.
# usage: stop.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_tool publish examples/codebook.json >"$fleet_dir/operators.log" 2>&1 || exit 1
for dc in 1 2; do
	fleet_tool dc in dc$dc --region r1 --ramp-ms 500 >>"$fleet_dir/operators.log" 2>&1
	for n in 1 2 3; do
		fleet_instance $dc $n codebook --service-us 20000
	done
done
fleet_ready codebook && fleet_targets 6 || exit 1
# The load tool sends to none of the daemons that are stopped.
fleet_run load "$1/bench-load" --service codebook --seed 5 --rate 150 --seconds 9 \
	--timeout-ms 2000 --history "$fleet_dir/load.history" --call GET:/codes/1:1:repeat \
	--call POST:/pairing:1:once --to $fleet_net.1.1:8400 --to $fleet_net.2.1:8400
load=$!
failed=0
# expect_ended NAME PID: waits for a planned stop, adds it to the history and expects exit
# code 0
expect_ended() {
	wait "$2"
	code=$?
	awk -v n="$1" '{ printf "%.0f %s stop\n", $1 * 1000000, n }' /proc/uptime |
		sed 's/ \([a-z]*\) \([0-9-]*\) stop/ \1-\2 stop/' >>"$fleet_dir/stop.history"
	[ $code = 0 ] || {
		echo "$1 ended with $code"
		failed=1
	}
}
sleep 2
# shellcheck disable=SC2154
kill "$fleet_daemon_1_2"
expect_ended "daemon 1-2" "$fleet_daemon_1_2"
fleet_tool dc out dc2 --region r1 >>"$fleet_dir/operators.log" 2>&1
# shellcheck disable=SC2154
kill "$fleet_daemon_2_2" "$fleet_target_2_2"
kill "$fleet_daemon_2_2" "$fleet_target_2_2"
expect_ended "daemon 2-2" "$fleet_daemon_2_2"
expect_ended "target 2-2" "$fleet_target_2_2"
fleet_tool dc in dc2 --region r1 --ramp-ms 500 >>"$fleet_dir/operators.log" 2>&1
wait $load || failed=1
fleet_config_history
"$1/history-check" --planned --timeout-ms 2000 --measure codebook=2 --cold codebook=4 \
	--grace-ms 4000 "$fleet_dir"/*.history || failed=1
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
