#!/bin/sh
# A daemon gets SIGTERM. Its callers still come on new connections 3 s later, while the ports
# are open for requests that run at its target. What may outlast the stop is refused at once,
# not run, however short the many answers of its route were; what has its deadline before the
# end is served.
# usage: stop-late-callers.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
BEFORE=200 # requests before SIGTERM
REQUESTS=10
OPEN=12 # requests of the other daemon's callers that run meanwhile, at both targets
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ROUTE ID DAEMON LEFT-MS WORK-MS
ask() {
	curl -s -m 12 -X POST -o /dev/null -w '%{http_code} %{time_total}\n' -H "Host: h.example" -H "X-Attempt-Id: $2" \
		-H "X-Deadline-Ms: $4" "http://$fleet_net.1.$3:8400/$1/?work_ms=$5" >"$fleet_dir/$2.code"
}
# count NAME CODE: answers with that status
count() { cat "$fleet_dir/$1"-*.code | grep -c "^$2 "; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
asked=
for i in $(seq $BEFORE); do
	ask n "before-$i" 1 8500 $((100 + i % 5 * 50)) &
	asked="$asked $!"
	sleep 0.02
done
# shellcheck disable=SC2086
wait $asked
asked=
for i in $(seq $OPEN); do
	ask s "open-$i" 2 6600 4700 &
	asked="$asked $!"
done
sleep 0.3
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
sleep 3
for i in $(seq $REQUESTS); do
	ask n "late-$i" 1 3800 3000 &
	asked="$asked $!"
	ask n "bound-$i" 1 2200 300 &
	asked="$asked $!"
done
# shellcheck disable=SC2086
wait $asked
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
for name in before open late bound; do
	echo "$name: served $(count $name 200), refused $(count $name 503), ended $(count $name 504)"
done
ran=$(cat "$fleet_dir"/target-1-[12].history | grep -c ' run .* key=late-')
[ "$(count before 200)" = $BEFORE ] || fleet_fail "short work was not served before"
[ "$(count open 200)" = $OPEN ] || fleet_fail "requests that run were not served"
grep -q ' run .* key=open-' "$fleet_dir/target-1-1.history" || fleet_fail "no request ran at the target meanwhile"
[ "$(count bound 200)" = $REQUESTS ] || fleet_fail "requests with a deadline before the end were not all served"
[ "$(count late 503)" = $REQUESTS ] && [ "$ran" = 0 ] || fleet_fail "late requests were not all refused: $ran ran"
[ "$(cat "$fleet_dir"/late-*.code | awk '$2 > 0.2' | wc -l)" = 0 ] || fleet_fail "late requests were refused late"
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
