#!/bin/sh
# Two daemons stand still, the one that waits for the other's answers a moment after it
# asked whether that one is there. The time in which it did not run itself tells nothing
# about the other one: requests between them are answered.
# usage: silent-together.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=5
WORK_US=3000000
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ID: sends a request and notes its status
ask() {
	ask_code=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.1:8400/n/1")
	echo "$ask_code" >>"$fleet_dir/answers"
}
runs() { [ "$(grep -c ' run .* key=n-' "$fleet_dir/target-1-2.history")" = "$1" ]; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --service-us $WORK_US --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
asked=
for i in $(seq $REQUESTS); do
	ask "n-$i" &
	asked="$asked $!"
	fleet_wait_until 2 runs "$i" || fleet_fail "not all of $i requests run"
done
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_2"
sleep 0.8
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_1"
sleep 1.2
kill -CONT "$fleet_daemon_1_1"
sleep 0.15
kill -CONT "$fleet_daemon_1_2"
# shellcheck disable=SC2086
wait $asked
grep -q 'event=432' "$fleet_dir/daemon-1-1.log" || fleet_fail "no question was open as the daemon stood still"
sort "$fleet_dir/answers" | uniq -c
[ "$(grep -c '^200$' "$fleet_dir/answers")" = $REQUESTS ] || {
	fleet_fail "not all requests got their target's answer"
	grep -hE 'event=43[0-3]' "$fleet_dir"/daemon-*.log
}
exit $failed
