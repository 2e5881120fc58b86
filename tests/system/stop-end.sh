#!/bin/sh
# A daemon ends within its grace although its log is a pipe that nobody reads and a
# daemon whose call it took stands still.
# usage: stop-end.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
GRACE_S=2
fleet_open "$1"
trap fleet_close EXIT
failed=0

long() { sed 's/"timeout_ms":900/"timeout_ms":16000/; s/"target_latency_ms":300/"target_latency_ms":6000/'; }
ask() { # DAEMON ID
	ask_code=$(curl -s -m 20 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" \
		-H "X-Attempt-Id: $2" -H "X-Deadline-Ms: 15000" "http://$fleet_net.1.$1:8400/n/1")
	echo "$2 $ask_code" >>"$fleet_dir/answers"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" | long)" >"$fleet_dir/code"
mkfifo "$fleet_dir/log"
exec 4<>"$fleet_dir/log"
for n in 1 2; do
	fleet_settings 1 $n | sed "s/\"grace_s\": 6/\"grace_s\": $GRACE_S/" >"$fleet_dir/dc1-$n.json"
	if [ $n = 1 ]; then
		"$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json" >&4 2>"$fleet_dir/daemon-1-$n.err" &
		fleet_pids="$! $fleet_pids"
	else
		fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	fi
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --service-us 6000000 --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || exit 1
callers=
for n in 1 2 3 4 5 6; do
	ask 1 "a-$n" &
	callers="$callers $!"
	ask 2 "b-$n" &
done
sleep 0.5
# Which target the other daemon chooses is left to chance: it is asked until one of its
# calls runs at the target of the daemon that stops.
runs() { grep -c ' run .* key=b-' "$fleet_dir/target-1-1.history"; }
while [ "$(runs)" = 0 ] && [ $n -lt 40 ]; do
	n=$((n + 1))
	ask 2 "b-$n" &
	sleep 0.1
done
timeout 1 cat /dev/zero >&4 # fills the pipe
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
start=$(date +%s%3N)
sleep 1.2
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_2"
wait "$fleet_daemon_1_1"
code=$?
took=$(($(date +%s%3N) - start))
echo "the daemon ended after $took ms"
[ $code = 0 ] && [ $took -le $((GRACE_S * 1000)) ] || fleet_fail "the daemon ended with $code after $took ms of $GRACE_S s"
# shellcheck disable=SC2086
wait $callers
answered=$(grep -c '^a-.* 504' "$fleet_dir/answers")
[ "$answered" = 6 ] || fleet_fail "own callers that got 504: $answered of 6"
[ "$(runs)" -gt 0 ] || fleet_fail "no call of the other daemon ran"
exit $failed
