#!/bin/sh
# Safe requests at a daemon that falls silent are sent again and at work when its connection
# closes: no third target gets them, where their route allows two.
# usage: silent-third-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=3
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ID: sends a request and notes its status
ask() {
	ask_code=$(curl -s -m 12 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.1:8400/s/1")
	echo "$ask_code" >>"$fleet_dir/answers"
}
runs() { grep -c ' run .* key=s-' "$fleet_dir/target-1-$1.history"; }
all_run() { [ "$(runs "$1")" = $REQUESTS ]; }
closed() { grep -q 'event=431' "$fleet_dir/daemon-1-1.log"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2 3 4; do
	fleet_daemon 1 $n
done
dialect_target 1 2 --service-us 4000000 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the first target is not known"
asked=
for i in $(seq $REQUESTS); do
	ask "s-$i" &
	asked="$asked $!"
done
fleet_wait_until 2 all_run 2 || fleet_fail "not all of $REQUESTS requests run"
dialect_target 1 3 --service-us 4000000 --slots 200
fleet_targets 2 || fleet_fail "the second target is not known"
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_2"
fleet_wait_until 2 all_run 3 || fleet_fail "not all requests were sent again"
dialect_target 1 4 --service-us 20000 --slots 200
fleet_targets 3 || fleet_fail "the third target is not known"
closed && fleet_fail "the silent connection was closed before the third target came"
# shellcheck disable=SC2086
wait $asked
closed || fleet_fail "the silent connection was not closed"
[ "$(runs 4)" = 0 ] || fleet_fail "requests at a third target: $(runs 4) of $REQUESTS"
[ "$(grep -c '^200$' "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "not all requests were answered"
[ $failed = 0 ] || grep -hE 'event=(43[0-3]|51[01])' "$fleet_dir/daemon-1-1.log"
exit $failed
