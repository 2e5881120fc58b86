#!/bin/sh
# Callers send two safe requests at once on a connection and read slowly. The first is
# answered whole, with 400 kB; the target of the second breaks its answer off midway. All
# first answers arrive whole, and what came of each second one is seen to be cut.
# usage: shared-connection.sh BUILD-DIRECTORY [PAIRS]
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
pairs=${2-12}
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
failed=0
fleet_platform || exit 1
for s in first second; do
	sed "s/\"codebook\"/\"$s\"/; s/\"timeout_ms\": [0-9]*/\"timeout_ms\": 8000/; s/\"hedge\": true/\"hedge\": false/" \
		examples/codebook.json >"$fleet_dir/$s.json"
	fleet_tool publish "$fleet_dir/$s.json" >"$fleet_dir/publish.log" 2>&1 || {
		cat "$fleet_dir/publish.log"
		exit 1
	}
done
fleet_instance 1 1 first --body-bytes 400000 --service-us 1000 --fixed 1
fleet_instance 1 2 second --body-bytes 100000 --service-us 30000 --fixed 1
fleet_ready first second || exit 1
# Each answer to a second request breaks off, also those to its retries.
curl -s -o /dev/null -X POST "http://$fleet_net.1.2:9001/fake/set?cut=1000"
callers=
for n in 1 2 3 4; do
	fleet_run "caller-$n" "$1/fake-caller" --to "$fleet_first" --host first --path /x --seconds 1 \
		--second-host second --kb-per-s 500 --pairs "$pairs"
	callers="$callers $!"
done
for c in $callers; do
	wait "$c" || fleet_fail "a caller ended with $?"
done
# total ROW COLUMN: sum over the callers
total() { cat "$fleet_dir"/caller-*.log | awk -v row="$1" -v column="$2" '$1 == row { for (i = 2; i < NF; i++) if ($i == column) n += $(i + 1) } END { print n + 0 }'; }
all=$((4 * pairs))
echo "first: whole $(total first: whole) of $all; second: error $(total second: error) cut $(total second: cut)"
[ "$(total first: whole)" = $all ] || fleet_fail "first answers that are whole: $(total first: whole) of $all"
broken=$(($(total second: error) + $(total second: cut)))
[ $broken = $all ] || fleet_fail "second answers that came in part or as an error: $broken of $all"
cut=$(fleet_metric 1 1 connections_cut_total)
[ "$cut" = "$(total second: cut)" ] || fleet_fail "connections cut: $cut, second answers cut: $(total second: cut)"
exit $failed
