#!/bin/sh
# A daemon that is suspended as SIGTERM comes ends within the grace of the signal, with an
# answer to each request; one suspended for longer still finishes what is soon done.
# usage: stop-suspended.sh BUILD-DIRECTORY [TERM-AT-S PAUSE-S WORK-US ANSWER]...
set -u
. scripts/fleet.sh
. scripts/dialect.sh
GRACE_S=4
if [ $# = 1 ]; then
	code=0
	sh "$0" "$1" 0.1 2 2100000 200 2800000 200 9000000 504 || code=1
	sh "$0" "$1" 4.9 5 4900000 200 5400000 200 15000000 504 || code=1
	exit $code
fi
fleet_open "$1"
trap fleet_close EXIT
failed=0

ask() { # WORK-US
	ask_code=$(curl -s -m 20 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" \
		-H "X-Attempt-Id: w-$1" -H "X-Deadline-Ms: 18000" "http://$fleet_net.1.1:8400/n/1")
	echo "w-$1 $ask_code" >>"$fleet_dir/answers"
}
long() { sed 's/"timeout_ms":900/"timeout_ms":18000/; s/"target_latency_ms":300/"target_latency_ms":6000/'; }
runs() { grep -q " run .* key=w-$work" "$fleet_dir/target-1-1.history"; }
running() { grep -q '^State:[[:space:]]*[^Z[:space:]]' "/proc/$pid/status" 2>/dev/null; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" | long)" >"$fleet_dir/code"
fleet_settings 1 1 | sed "s/\"grace_s\": 6/\"grace_s\": $GRACE_S/" >"$fleet_dir/dc1-1.json"
fleet_run daemon-1-1 "$1/kumquatrockd" --settings "$fleet_dir/dc1-1.json"
pid=$!
dialect_target 1 1 --slots 20
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || exit 1
term_at=$2
pause=$3
shift 3
callers=
expected=
while [ $# -gt 0 ]; do
	work=$1
	curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.1:9001/fake/set?service_us=$work"
	ask "$work" &
	callers="$callers $!"
	fleet_wait_until 4 runs || fleet_fail "w-$work does not run"
	expected="$expected w-$work=$2"
	shift 2
done
kill -STOP $pid
sleep "$term_at"
kill $pid
start=$(date +%s%3N)
sleep "$(echo "$pause $term_at" | awk '{ print $1 - $2 }')"
kill -CONT $pid
while running && [ $(($(date +%s%3N) - start)) -lt $((GRACE_S * 1000)) ]; do
	sleep 0.02
done
took=$(($(date +%s%3N) - start))
echo "suspended for $pause s, SIGTERM after $term_at s: ended $took ms after it"
running && fleet_fail "the daemon still runs at the end of its grace"
kill -KILL $pid 2>/dev/null
wait $pid
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
# shellcheck disable=SC2086
wait $callers
for work in $expected; do
	grep -q "^${work%=*} ${work#*=}" "$fleet_dir/answers" || fleet_fail "expected $work, was $(grep "^${work%=*} " "$fleet_dir/answers")"
done
exit $failed
