#!/bin/sh
# Callers that read nothing until their daemon has ended at the end of its grace get the
# answers whole that were made before; so do callers of another daemon whose target's
# daemon ends.
# usage: stop-late-reader.sh BUILD-DIRECTORY [own|other [BYTES]...]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CALLERS=6
GRACE_S=2
build=$1
if [ $# = 1 ]; then
	code=0
	sh "$0" "$build" own || code=1
	sh "$0" "$build" other || code=1
	exit $code
fi
whose=$2
shift 2
caller_at=1 # daemon 1 ends
target_at=2
[ "$whose" = own ] || caller_at=2 target_at=1
[ $# -gt 0 ] || set -- 400000 1000000
fleet_open "$build"
trap fleet_close EXIT
failed=0

# read_late ID BYTES: sends a request and reads its answer 4 s later
read_late() {
	curl -sS -m 20 --raw -H "Host: h.example" -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 15000" \
		"http://$fleet_net.1.$caller_at:8400/s/1" 2>"$fleet_dir/$1.err" | (
		sleep 4
		wc -c
	) >"$fleet_dir/$1.n"
	echo "$1 read=$(cat "$fleet_dir/$1.n") of=$2 $(cat "$fleet_dir/$1.err")" >>"$fleet_dir/answers"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":16000/; s/"target_latency_ms":300/"target_latency_ms":6000/')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed "s/\"grace_s\": 6/\"grace_s\": $GRACE_S/" >"$fleet_dir/dc1-$n.json"
done
fleet_run "daemon-1-2" "$build/kumquatrockd" --settings "$fleet_dir/dc1-2.json"
dialect_target 1 $target_at --service-us 20000 --slots 200
fleet_first=$fleet_net.1.$caller_at:8400
for bytes in "$@"; do
	rm -f "$fleet_dir/answers"
	fleet_run "daemon-1-1" "$build/kumquatrockd" --settings "$fleet_dir/dc1-1.json"
	pid=$!
	fleet_await "http://$fleet_net.1.$caller_at:8430/v1/readiness"
	fleet_targets 1 || exit 1
	curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$target_at:9001/fake/set?body_bytes=$bytes"
	callers=
	for n in $(seq $CALLERS); do
		read_late "r$bytes-$n" "$bytes" &
		callers="$callers $!"
	done
	sleep 0.5
	start=$(date +%s%3N)
	kill "$pid"
	wait "$pid"
	code=$?
	took=$(($(date +%s%3N) - start))
	# shellcheck disable=SC2086
	wait $callers
	cat "$fleet_dir/answers"
	whole=$(awk '{ split($2, r, "="); split($3, o, "="); if (r[2] == o[2]) n++ } END { print n + 0 }' "$fleet_dir/answers")
	echo "$whose callers, answers of $bytes bytes that are whole: $whole of $CALLERS, the daemon ended after $took ms"
	[ $code = 0 ] && [ $took -le $((GRACE_S * 1000)) ] || fleet_fail "the daemon ended with $code after $took ms"
	[ "$whole" = $CALLERS ] || fleet_fail "answers of $bytes bytes that are whole: $whole of $CALLERS"
done
exit $failed
