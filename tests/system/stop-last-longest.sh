#!/bin/sh
# All targets of a service are beside daemons that stop, one for 1.6 s longer: work that only the
# other one can finish in its grace goes there.
# usage: stop-last-longest.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=10
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask NAME COUNT MS LEFT-MS: sends requests to the daemon that goes on, 50 ms apart, each with
# so much work and time, without waiting for their answers
ask() {
	for i in $(seq "$2"); do
		curl -s -m 12 -X POST -o /dev/null -w '%{http_code}\n' -H 'Host: h.example' -H "X-Attempt-Id: $1-$i" \
			-H "X-Deadline-Ms: $4" "http://$fleet_net.1.1:8400/n/1?work_ms=$3" >>"$fleet_dir/$1" &
		asked="$asked $!"
		sleep 0.05
	done
}
asked=
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2 3; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	[ $n = 1 ] || dialect_target 1 $n --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
ask before 40 20 8500
# shellcheck disable=SC2154
kill "$fleet_daemon_1_2"
ask one 30 20 8500
# shellcheck disable=SC2154
kill "$fleet_daemon_1_3"
ask both 2 20 3500
ask long $REQUESTS 4200 4700
# shellcheck disable=SC2086
wait $asked
for phase in before one both long; do
	echo "$phase: $(sort "$fleet_dir/$phase" | uniq -c | tr '\n' ' ')"
done
[ "$(grep -c '^200$' "$fleet_dir/long")" = $REQUESTS ] || fleet_fail "not all long requests were served"
exit $failed
