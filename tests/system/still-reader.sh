#!/bin/sh
# A daemon stands still for 3 s, in calm and as it stops, while more answers to its callers
# come from another daemon than its socket holds. It has them once it goes on.
# usage: still-reader.sh BUILD-DIRECTORY [calm|stop]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=40
ANSWER_BYTES=100000
if [ $# = 1 ]; then
	code=0
	for when in calm stop; do
		sh "$0" "$1" $when || code=1
	done
	exit $code
fi
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ID: sends a request and notes status and length of its answer
ask() {
	ask_result=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code} %{size_download}' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.1:8400/n/1?work_ms=1500&bytes=$ANSWER_BYTES")
	echo "$ask_result" >>"$fleet_dir/answers"
}
runs() { [ "$(grep -c ' run .* key=n-' "$fleet_dir/target-1-2.history")" = "$1" ]; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
asked=
for i in $(seq $REQUESTS); do
	ask "n-$i" &
	asked="$asked $!"
	fleet_wait_until 2 runs "$i" || fleet_fail "not all of $i requests run"
done
# shellcheck disable=SC2154
[ "$2" = calm ] || kill "$fleet_daemon_1_1"
kill -STOP "$fleet_daemon_1_1"
sleep 3
kill -CONT "$fleet_daemon_1_1"
# shellcheck disable=SC2086
wait $asked
echo "$2:"
sort "$fleet_dir/answers" | uniq -c
[ "$(grep -c "^200 $ANSWER_BYTES\$" "$fleet_dir/answers")" = $REQUESTS ] || {
	fleet_fail "not all requests got their target's answer"
	grep -hE 'event=43[0-3]' "$fleet_dir"/daemon-*.log
}
exit $failed
