#!/bin/sh
# Callers send two safe requests at once and read the first answer for longer than the time
# limit of its route: neither is lost, and they take no place at a target from others.
# usage: slow-answer-shared.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
CALLERS=8
SLOTS=4 # of the target of `narrow`
LARGE=3000000 # bytes, more than sockets take
KB_PER_S=500
OTHERS=16
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
failed=0
fleet_platform || exit 1
for s in first second narrow; do
	sed "s/\"codebook\"/\"$s\"/; s/\"timeout_ms\": [0-9]*/\"timeout_ms\": 2000/; s/\"hedge\": true/\"hedge\": false/" \
		examples/codebook.json >"$fleet_dir/$s.json"
	fleet_tool publish "$fleet_dir/$s.json" >"$fleet_dir/publish.log" 2>&1 || {
		cat "$fleet_dir/publish.log"
		exit 1
	}
done
fleet_instance 1 1 first --body-bytes 128 --service-us 50000 --fixed 1 --slots 100
fleet_instance 1 2 second --body-bytes 128 --service-us 5000 --fixed 1
fleet_instance 1 3 narrow --body-bytes 128 --service-us 50000 --fixed 1 --slots $SLOTS
fleet_ready first second narrow || exit 1

# set_bytes N BYTES [CHUNKED]: of the answers of the target 1.N
set_bytes() { curl -s -o /dev/null -X POST "http://$fleet_net.1.$1:9001/fake/set?body_bytes=$2&chunked=${3-0}"; }
# start_callers FIRST KB_PER_S: callers that send a request to FIRST and one to second at once
start_callers() {
	rm -f "$fleet_dir"/caller-*.log
	callers=
	for n in $(seq $CALLERS); do
		fleet_run "caller-$n" "$fleet_build/fake-caller" --to "$fleet_first" --host "$1" --path /x --seconds 1 \
			--second-host second --kb-per-s "$2" --batches 1
		callers="$callers $!"
	done
}
total() { cat "$fleet_dir"/caller-*.log | awk -v row="$1" '$1 == row { for (i = 2; i < NF; i++) if ($i == "whole") n += $(i + 1) } END { print n + 0 }'; }
ask() { curl -s -m 5 -o /dev/null -w '%{http_code} %{time_total}\n' -H "Host: narrow" "http://$fleet_first/x" >>"$fleet_dir/others"; }

for chunked in 0 1; do
	set_bytes 1 $LARGE "$chunked"
	start_callers first $KB_PER_S
	# shellcheck disable=SC2086
	wait $callers
	echo "chunked $chunked: first answers that are whole: $(total first:), second: $(total second:) of $CALLERS"
	[ "$(total second:)" = $CALLERS ] || fleet_fail "second answers that are whole: $(total second:) of $CALLERS"
	[ "$(total first:)" = $CALLERS ] || fleet_fail "first answers that are whole: $(total first:) of $CALLERS"
done

# These take minutes to read an answer; others don't wait for their time limit, 1.2 s later.
set_bytes 3 $LARGE
start_callers narrow 10
sleep 0.8
set_bytes 3 128
asked=
for n in $(seq $OTHERS); do
	ask &
	asked="$asked $!"
done
# shellcheck disable=SC2086
wait $asked
sort "$fleet_dir/others" | tr '\n' ' '
served=$(grep -c '^200' "$fleet_dir/others")
echo "other requests beside callers that barely read: $served of $OTHERS served"
[ "$served" = $OTHERS ] || fleet_fail "other requests that are served: $served of $OTHERS"
late=$(awk '$2 > 1' "$fleet_dir/others" | wc -l)
[ "$late" = 0 ] || fleet_fail "other requests that waited for longer than 1 s: $late"
exit $failed
