#!/bin/sh
# The time limit of a route counts from the last byte of a request: one whose body takes
# most of it to come is still answered by its target, and the limit holds from there on.
# usage: slow-body.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=6
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ID WORK-MS: sends a request whose body comes 0.6 s after its head
ask() {
	result=$({ printf a; sleep 0.6; printf b; } | curl -s -m 6 -X POST -T - -o /dev/null -w '%{http_code} %{time_total}' \
		-H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 4000" "http://$fleet_net.1.1:8400/n/?work_ms=$2")
	echo "$1 $result" >>"$fleet_dir/answers"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)")" >"$fleet_dir/code"
fleet_daemon 1 1
dialect_target 1 1
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$fleet_net.1.1:8400/n/?work_ms=1"
for i in $(seq $REQUESTS); do
	ask "short-$i" 450 &
	asked="${asked-} $!"
	ask "long-$i" 2500 &
	asked="$asked $!"
done
# shellcheck disable=SC2086
wait $asked
sort "$fleet_dir/answers"
[ "$(grep -c '^short-.* 200 ' "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "not all were answered by the target"
[ "$(grep '^long-.* 504 ' "$fleet_dir/answers" | awk '$3 > 1.2 && $3 < 2.2' | wc -l)" = $REQUESTS ] ||
	fleet_fail "the time limit of the route isn't kept"
exit $failed
