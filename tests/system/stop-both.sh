#!/bin/sh
# The daemon beside a target is told to stop, a moment after it took requests with up to 5.2 s
# of work, and the daemon that passed them on a while later; one of them runs in turns
# meanwhile, or stands still. Work that ends within the grace of both is answered.
# usage: stop-both.sh BUILD-DIRECTORY [HELD-UP HOW]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
WORK_MS='1000 1700 2600 3300 4100 5200'
if [ $# = 1 ]; then
	code=0
	sh "$0" "$1" none - || code=1
	for how in turns still; do
		sh "$0" "$1" target $how || code=1
		sh "$0" "$1" caller $how || code=1
		sh "$0" "$1" both $how || code=1
	done
	exit $code
fi
fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

# ask ROUTE WORK: sends a request on a new connection, and one on a connection that was used
# before; notes their statuses
ask() {
	ask_url="http://$fleet_net.1.1:8400/$1/1"
	curl -s -m 12 -X POST -o /dev/null -w "$1 $2 new %{http_code}\n" -H "Host: h.example" -H "X-Attempt-Id: $1-$2" \
		-H "X-Deadline-Ms: 8500" "$ask_url?work_ms=$2" >>"$fleet_dir/answers" &
	curl -s -m 12 -X POST -o /dev/null -w "$1 first %{http_code}\n" -H "Host: h.example" -H "X-Attempt-Id: $1-$2-first" \
		-H "X-Deadline-Ms: 8500" "$ask_url?work_ms=$FIRST_MS" \
		--next -s -m 12 -X POST -o /dev/null -w "$1 $2 kept %{http_code}\n" -H "Host: h.example" -H "X-Attempt-Id: $1-$2-kept" \
		-H "X-Deadline-Ms: 8500" "$ask_url?work_ms=$2" >>"$fleet_dir/answers" &
	wait
}
FIRST_MS=100
runs() { [ "$(grep -c " run .* key=[ns]-" "$fleet_dir/target-1-2.history")" = "$1" ]; }
# hold_up PID: until the last work ends
hold_up() {
	if [ "$how" = still ]; then
		kill -STOP "$1"
		sleep 2.4
		kill -CONT "$1"
		return
	fi
	for _ in $(seq 12); do
		kill -STOP "$1"
		sleep 0.3
		kill -CONT "$1" || return
		sleep 0.1
	done 2>/dev/null
}

held_up=$2
how=$3
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
done
dialect_target 1 2 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
for i in 1 2 3 4 5; do
	curl -s -m 2 -X POST -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: warm-$i" -H "X-Deadline-Ms: 1500" \
		"http://$fleet_net.1.1:8400/n/1?work_ms=20"
done
asked=
for work in $WORK_MS; do
	ask n "$work" &
	asked="$asked $!"
	ask s "$work" &
	asked="$asked $!"
done
fleet_wait_until 2 runs $((6 * $(echo "$WORK_MS" | wc -w))) || fleet_fail "not all requests run"
# shellcheck disable=SC2154
kill "$fleet_daemon_1_2"
sleep 0.1
case $held_up in target | both) hold_up "$fleet_daemon_1_2" & esac
# shellcheck disable=SC2154
case $held_up in caller | both) hold_up "$fleet_daemon_1_1" & esac
sleep 0.7
kill "$fleet_daemon_1_1"
# shellcheck disable=SC2086
wait $asked
echo "$held_up held up, $how: $(grep -c ' 200$' "$fleet_dir/answers") of $(grep -c . "$fleet_dir/answers") answered"
[ "$(grep -c ' 200$' "$fleet_dir/answers")" = $((6 * $(echo "$WORK_MS" | wc -w))) ] || {
	fleet_fail "not all requests got their target's answer"
	grep -v ' 200$' "$fleet_dir/answers"
	grep -hE 'event=(43[0-3]|10[0-9])' "$fleet_dir"/daemon-*.log
}
exit $failed
