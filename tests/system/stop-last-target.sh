#!/bin/sh
# A daemon that stops takes a call whose other target ended, if its deadline comes before the
# end: no request is refused for a target that is not there. One that it might have to end is
# refused at once, not run.
# usage: stop-last-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=30
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask NAME ID LEFT-MS
ask() {
	curl -s -m 12 -X POST -o /dev/null -w '%{http_code} %{time_total}\n' -H 'Host: h.example' -H "X-Attempt-Id: $2" \
		-H "X-Deadline-Ms: $3" "http://$fleet_net.1.2:8400/n/1" >>"$fleet_dir/$1"
}
# ask_all NAME LEFT-MS [NAME LEFT-MS]: sends requests to the daemon that goes on, one after
# the other, without waiting for their answers
ask_all() {
	asked=
	for i in $(seq $REQUESTS); do
		ask "$1" "$1-$i" "$2" &
		asked="$asked $!"
		[ $# = 2 ] || ask "$3" "$3-$i" "$4" &
		asked="$asked $!"
		sleep 0.05
	done
	# shellcheck disable=SC2086
	wait $asked
}
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --service-us 200000 --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
ask_all before 8500
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
# shellcheck disable=SC2154
kill -9 "$fleet_target_1_2"
sleep 0.2
ask_all stop 3500 beyond 8500
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
for phase in before stop beyond; do
	echo "$phase: $(cut -c1-3 "$fleet_dir/$phase" | sort | uniq -c | tr '\n' ' ')"
done
for phase in before stop; do
	[ "$(grep -c '^200 ' "$fleet_dir/$phase")" = $REQUESTS ] || fleet_fail "not all requests were served: $phase"
done
[ "$(grep -c '^503 ' "$fleet_dir/beyond")" = $REQUESTS ] || fleet_fail "requests that the stop might have to end were not all refused"
[ "$(awk '$2 > 0.2' "$fleet_dir/beyond" | wc -l)" = 0 ] || fleet_fail "requests were refused late"
ran=$(cat "$fleet_dir"/target-1-*.history | grep -c ' run .* key=beyond-')
[ "$ran" = 0 ] || fleet_fail "$ran refused requests ran"
exit $failed
