#!/bin/sh
# Callers send two safe requests at once on a connection and read slowly. The first is
# answered whole, with 400 kB; the target of the second breaks its answer off midway. All
# first answers arrive whole, and what came of each second one is seen to be cut. The
# other way round each first request is answered with an error, and all second answers
# arrive whole.
# usage: shared-connection.sh BUILD-DIRECTORY [PAIRS]
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
pairs=${2-12}
LARGE=3000000 # bytes
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

# play FIRST SECOND KB_PER_S [THIRD]: callers send requests at once to these services
play() {
	rm -f "$fleet_dir"/caller-*.log
	callers=
	for n in 1 2 3 4; do
		fleet_run "caller-$n" "$fleet_build/fake-caller" --to "$fleet_first" --host "$1" --path /x --seconds 1 \
			--second-host "$2" --kb-per-s "$3" --batches "$pairs" ${4+--third-host "$4"}
		callers="$callers $!"
	done
	for c in $callers; do
		wait "$c" || fleet_fail "a caller ended with $?"
	done
}
# total ROW COLUMN: sum over the callers
total() { cat "$fleet_dir"/caller-*.log | awk -v row="$1" -v column="$2" '$1 == row { for (i = 2; i < NF; i++) if ($i == column) n += $(i + 1) } END { print n + 0 }'; }
all=$((4 * pairs))

play first second 500
echo "first: whole $(total first: whole) of $all; second, broken: error $(total second: error) cut $(total second: cut)"
[ "$(total first: whole)" = $all ] || fleet_fail "first answers that are whole: $(total first: whole) of $all"
broken=$(($(total second: error) + $(total second: cut)))
[ $broken = $all ] || fleet_fail "second answers that came in part or as an error: $broken of $all"
cut=$(fleet_metric 1 1 connections_cut_total)
[ "$cut" = "$(total second: cut)" ] || fleet_fail "connections cut: $cut, second answers cut: $(total second: cut)"

play second first 500
echo "first, broken: error $(total first: error) cut $(total first: cut); second: whole $(total second: whole) of $all"
[ "$(total first: error)" = $all ] || fleet_fail "first requests answered with an error: $(total first: error) of $all"
[ "$(total second: whole)" = $all ] || fleet_fail "second answers that are whole: $(total second: whole) of $all"

# Its end comes a while after its bytes, which have no length.
curl -s -o /dev/null -X POST "http://$fleet_net.1.2:9001/fake/set?chunked=1&cut_ms=250"
play second first 5000
echo "first, broken late: error $(total first: error) cut $(total first: cut); second: whole $(total second: whole) of $all"
[ "$(total second: whole)" = $all ] || fleet_fail "second answers that are whole: $(total second: whole) of $all"
[ "$(total first: error)" = $all ] || fleet_fail "first requests answered with an error: $(total first: error) of $all"

# Larger than what is held of one answer, with a length and without.
for chunked in 0 1; do
	curl -s -o /dev/null -X POST "http://$fleet_net.1.2:9001/fake/set?cut=0&cut_ms=0&body_bytes=$LARGE&chunked=$chunked"
	pairs=3
	play second first 5000
	echo "first, large, chunked $chunked: whole $(total first: whole); second: whole $(total second: whole) of 12"
	[ "$(total second: whole)" = 12 ] || fleet_fail "second answers behind a large one that are whole: $(total second: whole) of 12"
done
# The second answer is larger than what is sent without credit, and held as its turn comes.
curl -s -o /dev/null -X POST "http://$fleet_net.1.2:9001/fake/set?body_bytes=128&chunked=0"
play second first 5000 second
echo "second, held as its turn comes: whole $(total second: whole); third: whole $(total third: whole) of 12"
[ "$(total second: whole)" = 12 ] && [ "$(total third: whole)" = 12 ] || fleet_fail "not all second and third answers are whole"
[ "$(fleet_metric 1 1 answer_bytes_held)" = 0 ] || fleet_fail "bytes held at the end: $(fleet_metric 1 1 answer_bytes_held)"
exit $failed
