#!/bin/sh
# A target stands still for 11 s while long bodies are sent to it. What ended at a deadline
# of 7 s, or was given up by its caller then, does not run as the target goes on 3 s later.
# usage: still-target-late.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=3 # of each kind
BODY_BYTES=1000000
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ROUTE ID LIMIT-S DEADLINE-MS: sends a request and notes its status
ask() {
	ask_code=$(curl -s -m "$3" -X POST -o /dev/null -w '%{http_code}' --data-binary @"$fleet_dir/body" -H 'Expect:' \
		-H "Host: h.example" -H "X-Attempt-Id: $2" -H "X-Deadline-Ms: $4" "http://$fleet_net.1.1:8400/$1/1")
	echo "$2 $ask_code" >>"$fleet_dir/answers"
}

head -c $BODY_BYTES /dev/zero | tr '\0' x >"$fleet_dir/body"
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
dialect_target 1 1 --service-us 50000 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
for i in 1 2 3; do
	ask n "first-$i" 9 8000 # a target without answers takes few requests
done
[ "$(grep -c ' 200$' "$fleet_dir/answers")" = 3 ] || fleet_fail "the first requests were not answered"
# shellcheck disable=SC2154
kill -STOP "$fleet_target_1_1"
asked=
for i in $(seq $REQUESTS); do
	ask n "over-$i" 12 7000 &
	asked="$asked $!"
	ask s "gone-$i" 7 8500 &
	asked="$asked $!"
	sleep 0.05
done
in_flight() { [ "$(fleet_metric 1 1 target_in_flight)" = "$1" ]; }
fleet_wait_until 2 in_flight $((2 * REQUESTS)) || fleet_fail "not all requests were passed on"
# shellcheck disable=SC2086
wait $asked
[ "$(grep -c '^over-.* 504$' "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "not all ended at their deadline"
sleep 3
kill -CONT "$fleet_target_1_1"
sleep 1
for what in over gone; do
	ran=$(grep -c " run .* key=$what-" "$fleet_dir/target-1-1.history")
	[ "$ran" = 0 ] || fleet_fail "$what: $ran requests ran 3 s after they had ended"
done
exit $failed
