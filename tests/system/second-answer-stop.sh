#!/bin/sh
# A late second answer meets the next request of its connection while the target is at work
# on that, and its daemon may be about to stop: the work goes on, its caller gets its answer.
# usage: second-answer-stop.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
ROUNDS=3
WORK_MS=600
LEAVE_MS=2600
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1:8400

# call ID WORK-MS: sends a request; its status is in the file status-ID
call() {
	curl -s -m 5 -o "$fleet_dir/body-$1" -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 2400" \
		"http://$at/s/1?work_ms=$2" >"$fleet_dir/status-$1"
}
served() {
	call ready 1
	[ "$(cat "$fleet_dir/status-ready")" = 200 ]
}
start_daemon() {
	fleet_settings 1 1 | sed "s/\"leave_ms\": [0-9]*/\"leave_ms\": $LEAVE_MS/" >"$fleet_dir/dc1-1.json"
	fleet_run daemon-1-1 "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc1-1.json"
	daemon=$!
	fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
	fleet_wait_until 9 served || fleet_fail "requests are not served"
}
# The target runs one request at a time: the second one waits for the first, and gets its
# connection and its second answer.
round() { # NAME STOPS
	curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.1:9001/fake/set?second=1&second_kind=$kind"
	call "first-$1" 1000 &
	first=$!
	sleep 0.2
	call "second-$1" $WORK_MS &
	second=$!
	sleep 0.3
	[ "$2" = 0 ] || kill -TERM "$daemon"
	wait $first $second
	for id in "first-$1" "second-$1"; do
		status=$(cat "$fleet_dir/status-$id")
		[ "$status" = 200 ] || fleet_fail "$id: status $status"
		grep -q "^$id" "$fleet_dir/body-$id" || fleet_fail "$id: another body: $(head -c 40 "$fleet_dir/body-$id")"
	done
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe | sed 's/900/3900/')")" >"$fleet_dir/code"
dialect_target 1 1 --slots 1
for kind in 1 2; do
	for stops in 0 1; do
		for n in $(seq $ROUNDS); do
			start_daemon
			round "$kind.$stops.$n" $stops
			kill -TERM "$daemon" 2>/dev/null
			wait "$daemon" || fleet_fail "$kind.$stops.$n: the daemon ended with $?"
			met=$(grep -c "event=502.*request=second-$kind.$stops.$n " "$fleet_dir/daemon-1-1.log")
			[ "$met" = 1 ] || fleet_fail "$kind.$stops.$n: the second answer was met $met times"
		done
	done
done
cut=$(grep -c " cut " "$fleet_dir/target-1-1.history")
[ "$cut" = 0 ] || fleet_fail "$cut requests were cut at the target"
[ $failed = 0 ] && echo ok
exit $failed
