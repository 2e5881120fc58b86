#!/bin/sh
# A target stands still for 2.3 s while long bodies are sent to it, also as its daemon
# stops: requests that have time left are answered. What a caller gave up is not held for
# a target that stands still, and what ended at its deadline does not run later.
# usage: still-target.sh BUILD-DIRECTORY [calm|stop|gone|over]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=3 # of each kind
BODY_BYTES=1000000
if [ $# = 1 ]; then
	code=0
	for when in calm stop gone over; do
		sh "$0" "$1" $when || code=1
	done
	exit $code
fi
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0
limit_s=12
deadline_ms=8500
[ "$2" != gone ] || limit_s=1.5

# ask ROUTE ID: sends a request and notes its status
ask() {
	ask_code=$(curl -s -m $limit_s -X POST -o /dev/null -w '%{http_code}' --data-binary @"$fleet_dir/body" -H 'Expect:' \
		-H "Host: h.example" -H "X-Attempt-Id: $2" -H "X-Deadline-Ms: $deadline_ms" "http://$fleet_net.1.1:8400/$1/1")
	echo "$1 $ask_code" >>"$fleet_dir/answers"
}
in_flight() { [ "$(fleet_metric 1 1 target_in_flight)" = "$1" ]; }

head -c $BODY_BYTES /dev/zero | tr '\0' x >"$fleet_dir/body"
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
dialect_target 1 1 --service-us 50000 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
for i in 1 2 3; do
	ask n "first-$i" # a target without answers takes few requests
done
[ "$(grep -c ' 200$' "$fleet_dir/answers")" = 3 ] || fleet_fail "the first requests were not answered"
rm "$fleet_dir/answers"
[ "$2" != over ] || deadline_ms=1500
# shellcheck disable=SC2154
kill -STOP "$fleet_target_1_1"
asked=
for i in $(seq $REQUESTS); do
	[ "$2" = gone ] || {
		ask n "n-$i" &
		asked="$asked $!"
	}
	ask s "s-$i" &
	asked="$asked $!"
	sleep 0.05
done
if [ "$2" = gone ]; then
	fleet_wait_until 1 in_flight $REQUESTS || fleet_fail "not all requests were passed on"
	# shellcheck disable=SC2086
	wait $asked
	fleet_wait_until 4 in_flight 0 || fleet_fail "$(fleet_metric 1 1 target_in_flight) requests are held"
elif [ "$2" = over ]; then
	# shellcheck disable=SC2086
	wait $asked
	fleet_wait_until 3 in_flight 0 || fleet_fail "$(fleet_metric 1 1 target_in_flight) requests are held"
	sleep 4
	kill -CONT "$fleet_target_1_1"
	sleep 1
	ran=$(grep -c ' run .* key=n-' "$fleet_dir/target-1-1.history")
	[ "$ran" = 0 ] || fleet_fail "$ran requests ran after they had ended"
else
	# shellcheck disable=SC2154
	[ "$2" = calm ] || kill "$fleet_daemon_1_1"
	sleep 2.3
	kill -CONT "$fleet_target_1_1"
	# shellcheck disable=SC2086
	wait $asked
	[ "$(grep -c ' 200$' "$fleet_dir/answers")" = $((2 * REQUESTS)) ] || fleet_fail "not all requests were answered"
fi
echo "$2:"
sort "$fleet_dir/answers" | uniq -c
[ $failed = 0 ] || grep -hE 'event=(501|102|106)' "$fleet_dir"/daemon-*.log
exit $failed
