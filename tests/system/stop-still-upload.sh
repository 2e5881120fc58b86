#!/bin/sh
# The daemon of a target stands still while long bodies are passed on to it by a daemon that
# stops. Requests that end in time are answered.
# usage: stop-still-upload.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=15
BODY_BYTES=1000000
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ID: sends a request, its body within 1.4 s, and notes its status
ask() {
	ask_code=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code}' --limit-rate 700k --data-binary @"$fleet_dir/body" -H 'Expect:' \
		-H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 8500" "http://$fleet_net.1.1:8400/n/1?work_ms=300")
	echo "$ask_code" >>"$fleet_dir/answers"
}
answered() { [ "$(grep -c '^200$' "$fleet_dir/answers")" = "$1" ]; }

: >"$fleet_dir/answers"
head -c $BODY_BYTES /dev/zero | tr '\0' x >"$fleet_dir/body"
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
for i in 1 2 3; do
	ask "first-$i" & # a target without answers takes few requests
done
fleet_wait_until 5 answered 3 || fleet_fail "the first requests were not answered"
: >"$fleet_dir/answers"
asked=
for i in $(seq $REQUESTS); do
	ask "n-$i" &
	asked="$asked $!"
done
sleep 0.4
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_2"
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
sleep 2.3
kill -CONT "$fleet_daemon_1_2"
# shellcheck disable=SC2086
wait $asked
sort "$fleet_dir/answers" | uniq -c
answered $REQUESTS || {
	fleet_fail "not all requests got their target's answer"
	grep -hE 'event=(43[0-3]|106)' "$fleet_dir"/daemon-*.log
}
exit $failed
