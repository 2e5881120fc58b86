#!/bin/sh
# An answer that breaks off after a part of it was passed on ends one attempt, not two.
# usage: broken-attempt-once.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
ROUNDS=5
BODY_BYTES=400000
fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)")" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --body-bytes $BODY_BYTES --service-us 1000
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"

call() { # ID
	curl -s -m 3 -o "$fleet_dir/body" -H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 900" "http://$fleet_first/s/1"
}
fleet_wait_until 5 call first || fleet_fail "no whole answer before any breaks off"
curl -s -m 2 -o "$fleet_dir/set" -X POST "http://$fleet_net.1.2:9001/fake/set?cut=$ROUNDS"
for n in $(seq $ROUNDS); do
	call "broken$n" && fleet_fail "broken$n: whole"
	[ -s "$fleet_dir/body" ] || fleet_fail "broken$n: no part of the answer"
	rm -f "$fleet_dir/body"
done
sleep 0.2
for n in $(seq $ROUNDS); do
	ends=$(grep "event=511 .*request=broken$n\b" "$fleet_dir/daemon-1-1.log" | grep -o 'outcome=[a-z-]*' | tr '\n' ' ')
	echo "broken$n: ends of its attempt: $ends"
	[ "$ends" = "outcome=lost " ] || fleet_fail "broken$n: not one end of its attempt"
done
exit $failed
