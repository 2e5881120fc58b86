#!/bin/sh
# A target becomes slow as its daemon gets SIGTERM; no other one is left. Requests whose
# usual time would fit are refused at once, not run, in place of being ended at the end of
# the stop, and those with their deadline before the end are served.
# usage: stop-slow-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
BEFORE=60   # requests before SIGTERM
REQUESTS=10 # of each kind, at each daemon
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ID DAEMON LEFT-MS WORK-MS
ask() {
	curl -s -m 12 -X POST -o /dev/null -w '%{http_code} %{time_total}\n' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: $3" "http://$fleet_net.1.$2:8400/n/?work_ms=$4" >"$fleet_dir/$1.code"
}
# count NAME CODE: answers with that status
count() { cat "$fleet_dir/$1"-*.code | grep -c "^$2 "; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g')" >"$fleet_dir/code"
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
	ask "before-1-$i" 1 8500 300 &
	asked="$asked $!"
	ask "before-2-$i" 2 8500 300 &
	asked="$asked $!"
	sleep 0.03
done
# shellcheck disable=SC2086
wait $asked
# shellcheck disable=SC2154
kill -9 "$fleet_target_1_2"
curl -s -m 1 -o /dev/null "http://$fleet_net.1.1:9001/fake/set?pace=800" || fleet_fail "the target is not slow"
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
sleep 1.2 # its daemon asks for its health once a second
asked=
for at in 1 2; do
	for i in $(seq $REQUESTS); do
		ask "long-$at-$i" $at 8500 700 &
		asked="$asked $!"
		ask "bound-$at-$i" $at 4000 100 &
		asked="$asked $!"
	done
done
# shellcheck disable=SC2086
wait $asked
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
for name in before-1 before-2 long-1 long-2 bound-1 bound-2; do
	echo "$name: served $(count $name 200), refused $(count $name 503), ended $(count $name 504) or $(count $name 502)"
done
ran=$(grep -c ' run .* key=long-' "$fleet_dir/target-1-1.history")
[ "$(count before 200)" = $((2 * BEFORE)) ] || fleet_fail "requests were not served before"
[ "$(count bound 200)" = $((2 * REQUESTS)) ] || fleet_fail "requests with a deadline before the end were not all served"
[ "$(count long 503)" = $((2 * REQUESTS)) ] && [ "$ran" = 0 ] || fleet_fail "long requests were not all refused: $ran ran"
[ "$(cat "$fleet_dir"/long-*.code | awk '$2 > 0.2' | wc -l)" = 0 ] || fleet_fail "long requests were refused late"
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
