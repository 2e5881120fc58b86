#!/bin/sh
# Twenty callers that read nothing until their daemon has ended get answers of 3.5 MB whole
# that were made before, as six of them do (stop-late-reader.sh), 70 MB in all.
# Skipped where the kernel takes no 4 MB for a socket.
# usage: stop-late-readers.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CALLERS=20
BYTES=3500000
GRACE_S=2
[ "$(cat /proc/sys/net/core/wmem_max)" -ge 4000000 ] || {
	echo "not run: the kernel's buffers are too small"
	exit 0
}
fleet_open "$1"
trap fleet_close EXIT
failed=0

read_late() { # ID
	curl -sS -m 20 --raw -D "$fleet_dir/$1.head" -H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 15000" \
		"http://$fleet_net.1.1:8400/s/1?digest=0" 2>"$fleet_dir/$1.err" | (
		sleep 4
		wc -c
	) >"$fleet_dir/$1.n"
	echo "$1 $(cat "$fleet_dir/$1.n") $(cat "$fleet_dir/$1.err")" >>"$fleet_dir/answers"
}

# Nobody looks at the digests, and the target would make these answers one after the other.
all_begun() { [ "$(cat "$fleet_dir"/r-*.head 2>/dev/null | grep -c '^HTTP/1.1 200')" = $CALLERS ]; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":16000/; s/"target_latency_ms":300/"target_latency_ms":6000/')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed "s/\"grace_s\": 6/\"grace_s\": $GRACE_S/" >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	[ $n = 2 ] || pid=$!
done
dialect_target 1 2 --service-us 20000 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || exit 1
curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.2:9001/fake/set?body_bytes=$BYTES"
callers=
for n in $(seq $CALLERS); do
	read_late "r-$n" &
	callers="$callers $!"
done
sleep 0.5
fleet_wait_until 2 all_begun || fleet_fail "not all answers have begun before the stop"
kill "$pid"
wait "$pid" || fleet_fail "the daemon ended with $?"
# shellcheck disable=SC2086
wait $callers
whole=$(grep -c "^r-[0-9]* $BYTES " "$fleet_dir/answers")
[ "$whole" = $CALLERS ] || {
	fleet_fail "answers that are whole: $whole of $CALLERS"
	cat "$fleet_dir/answers"
}
exit $failed
