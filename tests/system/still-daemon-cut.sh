#!/bin/sh
# A daemon that stood still beyond a request's time limit cuts no answer that came meanwhile.
# usage: still-daemon-cut.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
ROUNDS=6
BODY_BYTES=200000
fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)")" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --body-bytes $BODY_BYTES --service-us 250000
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"

call() { # ID
	curl -s -m 4 -o "$fleet_dir/$1.body" -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 3000" "http://$fleet_first/s/1"
	echo " $?"
}
whole_first() { [ "$(call first)" = "200 0" ]; }
fleet_wait_until 5 whole_first || fleet_fail "no whole answer before the first standstill"
for n in $(seq $ROUNDS); do
	call "still$n" >"$fleet_dir/still$n" &
	caller=$!
	sleep 0.1
	fleet_signal STOP "$fleet_daemon_1_1"
	sleep 0.85 # until some ms beyond the time limit of 900 ms
	fleet_signal CONT "$fleet_daemon_1_1"
	wait "$caller"
	echo "still$n: status and curl's result $(cat "$fleet_dir/still$n")"
	grep -q ' 0$' "$fleet_dir/still$n" || fleet_fail "still$n: cut"
	sleep 0.3
done
exit $failed
