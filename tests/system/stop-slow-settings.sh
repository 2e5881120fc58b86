#!/bin/sh
# A daemon that is told to stop while the disk holds up the reading of its settings ends
# within its grace, and serves its callers until then.
# usage: stop-slow-settings.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
GRACE_S=3
fleet_open "$1"
trap fleet_close EXIT
failed=0
file=$fleet_dir/dc1-1.json

ask() { # ID
	ask_code=$(curl -s -m 10 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" \
		-H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 9000" "http://$fleet_net.1.1:8400/n/1")
	echo "$1 $ask_code" >>"$fleet_dir/answers"
}

long() { sed 's/"timeout_ms":900/"timeout_ms":9000/; s/"target_latency_ms":300/"target_latency_ms":2000/'; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" | long)" >"$fleet_dir/code"
fleet_settings 1 1 | sed "s/\"grace_s\": 6/\"grace_s\": $GRACE_S/" >"$file"
fleet_run daemon-1-1 "$1/kumquatrockd" --settings "$file"
pid=$!
dialect_target 1 1 --service-us 1000000 --slots 20
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || exit 1
mkfifo "$fleet_dir/slow"
mv "$fleet_dir/slow" "$file" # reading it waits for a writer, which never comes
kill -HUP $pid
sleep 1.5
callers=
for n in 1 2 3; do
	ask "r-$n" &
	callers="$callers $!"
done
sleep 0.3
kill $pid
start=$(date +%s%3N)
running() { grep -q '^State:[[:space:]]*[^Z[:space:]]' "/proc/$pid/status" 2>/dev/null; }
while running && [ $(($(date +%s%3N) - start)) -lt $((GRACE_S * 1000 + 500)) ]; do
	sleep 0.05
done
took=$(($(date +%s%3N) - start))
echo "the daemon ended after $took ms"
[ $took -le $((GRACE_S * 1000)) ] || fleet_fail "the daemon still runs $took ms after SIGTERM"
kill -KILL $pid 2>/dev/null
wait $pid
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
# shellcheck disable=SC2086
wait $callers
[ "$(grep -c ' 200$' "$fleet_dir/answers")" = 3 ] || fleet_fail "not all requests were answered: $(tr '\n' ' ' <"$fleet_dir/answers")"
exit $failed
