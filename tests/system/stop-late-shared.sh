#!/bin/sh
# Callers that send two requests at once and barely read large answers leave others what
# these need: callers that read late get their answers whole as the daemon beside the
# target ends.
# usage: stop-late-shared.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
SLOW=16
SLOW_BYTES=3900000
SLOW_KB_PER_S=10
LATE=6
LATE_BYTES=1000000
LATE_S=4
GRACE_S=2
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
failed=0
fleet_platform || exit 1
for s in first second; do
	sed "s/\"codebook\"/\"$s\"/; s/\"timeout_ms\": [0-9]*/\"timeout_ms\": 16000/; s/\"hedge\": true/\"hedge\": false/; s/\"limit\": 4/\"limit\": 100/" \
		examples/codebook.json >"$fleet_dir/$s.json"
	fleet_tool publish "$fleet_dir/$s.json" >"$fleet_dir/publish.log" 2>&1 || {
		cat "$fleet_dir/publish.log"
		exit 1
	}
done
fleet_daemon 1 1
fleet_settings 1 2 | sed "s/\"datacentre\"/\"grace_s\": $GRACE_S, \"leave_ms\": 500, \"datacentre\"/" >"$fleet_dir/dc1-2.json"
fleet_run daemon-1-2 "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc1-2.json"
ends=$!
fleet_target 1 2 first --body-bytes 128 --service-us 1000 --slots 100 --fixed 1
fleet_instance 1 3 second --body-bytes 128 --service-us 1000 --slots 100 --fixed 1
fleet_ready first second || exit 1

set_bytes() { curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.2:9001/fake/set?body_bytes=$1"; }
read_late() { # N
	curl -sS -m 20 -H "Host: first" "http://$fleet_first/x" 2>"$fleet_dir/late-$1.err" | (
		sleep $LATE_S
		wc -c
	) >"$fleet_dir/late-$1.n"
	echo "$1 $(cat "$fleet_dir/late-$1.n") $(cat "$fleet_dir/late-$1.err")" >>"$fleet_dir/late"
}

set_bytes $SLOW_BYTES
for n in $(seq $SLOW); do
	fleet_run "slow-$n" "$fleet_build/fake-caller" --to "$fleet_first" --host first --path /x --seconds 1 \
		--second-host second --kb-per-s $SLOW_KB_PER_S --batches 1
done
sleep 1.5
set_bytes $LATE_BYTES
callers=
for n in $(seq $LATE); do
	read_late "$n" &
	callers="$callers $!"
done
sleep 0.5
echo "bytes of calls: $(fleet_metric 1 1 call_bytes), fetched ahead of slow callers: $(fleet_metric 1 1 call_bytes_ahead)"
kill "$ends"
wait "$ends" || fleet_fail "the daemon ended with $?"
# shellcheck disable=SC2086
wait $callers
whole=$(grep -c "^[0-9]* $LATE_BYTES " "$fleet_dir/late")
echo "answers of callers that read late that are whole: $whole of $LATE"
[ "$whole" = $LATE ] || {
	fleet_fail "answers of callers that read late that are whole: $whole of $LATE"
	cat "$fleet_dir/late"
}
exit $failed
