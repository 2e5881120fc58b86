#!/bin/sh
# The daemon beside the only target falls silent, and another target comes after the time at
# which safe requests are sent again: it answers them once the silent connection is closed.
# usage: silent-late-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=5
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ID: sends a request and notes its status
ask() {
	ask_code=$(curl -s -m 12 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.1:8400/s/1")
	echo "$ask_code" >>"$fleet_dir/answers"
}
runs() { [ "$(grep -c ' run .* key=s-' "$fleet_dir/target-1-2.history")" = $REQUESTS ]; }
sent_again() { grep -q 'event=430' "$fleet_dir/daemon-1-1.log"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2 3; do
	fleet_daemon 1 $n
done
dialect_target 1 2 --service-us 4000000 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
asked=
for i in $(seq $REQUESTS); do
	ask "s-$i" &
	asked="$asked $!"
done
fleet_wait_until 2 runs || fleet_fail "not all of $REQUESTS requests run"
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_2"
fleet_wait_until 2 sent_again || fleet_fail "the other daemon was not silent"
dialect_target 1 3 --service-us 20000 --slots 200
# shellcheck disable=SC2086
wait $asked
grep -q 'event=430.* repeated=5' "$fleet_dir/daemon-1-1.log" || fleet_fail "not all requests were at the silent daemon"
sort "$fleet_dir/answers" | uniq -c
[ "$(grep -c '^200$' "$fleet_dir/answers")" = $REQUESTS ] || {
	fleet_fail "not all requests were answered by the target that came"
	grep -hE 'event=(43[0-3]|40[1-5]|20[0-9]|51[01])' "$fleet_dir/daemon-1-1.log"
}
exit $failed
