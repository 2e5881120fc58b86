#!/bin/sh
# The daemon of a target stands still for a while, or runs in turns, while the daemon that
# passed requests on to it stops, and it may have been told to stop first, or alone. Work
# that ends in time is answered by its target's answer.
# usage: stop-silent.sh BUILD-DIRECTORY [WHO-STOPS STILL]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=5 # of each kind
WORK_US=3000000
if [ $# = 1 ]; then
	code=0
	sh "$0" "$1" caller long || code=1
	sh "$0" "$1" both long || code=1
	sh "$0" "$1" both turns || code=1
	sh "$0" "$1" target long || code=1
	exit $code
fi
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ROUTE ID: sends a request and notes its status
ask() {
	ask_code=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $2" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.1:8400/$1/1")
	echo "$1 $ask_code" >>"$fleet_dir/answers"
}
runs() { [ "$(grep -c ' run .* key=[ns]-' "$fleet_dir/target-1-2.history")" = "$1" ]; }
# stand_still SECONDS: suspends the target's daemon for that time
stand_still() {
	# shellcheck disable=SC2154
	kill -STOP "$fleet_daemon_1_2"
	sleep "$1"
	kill -CONT "$fleet_daemon_1_2"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --service-us $WORK_US --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
asked=
for i in $(seq $REQUESTS); do
	ask n "n-$i" &
	asked="$asked $!"
	ask s "s-$i" &
	asked="$asked $!"
	fleet_wait_until 2 runs $((2 * i)) || fleet_fail "not all of $((2 * i)) requests run"
done
[ "$2" = caller ] || kill "$fleet_daemon_1_2"
if [ "$2" = target ]; then
	left() { grep -q 'event=404' "$fleet_dir/daemon-1-1.log"; }
	fleet_wait_until 2 left || fleet_fail "the daemon of the target did not say that it leaves"
else
	sleep 0.1
	# shellcheck disable=SC2154
	kill "$fleet_daemon_1_1"
fi
if [ "$3" = long ]; then
	stand_still 2.3
else
	for i in $(seq 6); do
		stand_still 0.35
		sleep 0.03
	done
fi
# shellcheck disable=SC2086
wait $asked
[ "$2" = target ] || wait "$fleet_daemon_1_1" || fleet_fail "the daemon of the callers ended with $?"
[ "$3" != long ] || grep -q 'event=432' "$fleet_dir/daemon-1-1.log" || fleet_fail "the other daemon was not silent"
echo "$2 told to stop, still $3:"
sort "$fleet_dir/answers" | uniq -c
[ "$(grep -c ' 200$' "$fleet_dir/answers")" = $((2 * REQUESTS)) ] || {
	fleet_fail "not all requests got their target's answer"
	grep -hE 'event=(43[0-3]|40[1-5]|106|10[0-9])' "$fleet_dir"/daemon-*.log
}
exit $failed
