#!/bin/sh
# A target whose answers say that it leaves gets no request sent later than 2 s after the
# first such answer was passed on, also when its heartbeats still say ready, when its
# health check passes, and after the daemon beside it was killed.
# usage: target-leaving.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
DRAIN_S=2
fleet_open "$1"
trap fleet_close EXIT
failed=0

runs() { grep -c ' run ' "$fleet_dir/target-1-2.history"; }
# expect_no_runs WHAT SECONDS: checks that the target runs nothing for that time
expect_no_runs() {
	before=$(runs)
	sleep "$2"
	[ "$(runs)" = "$before" ] || fleet_fail "$1: $(($(runs) - before)) requests ran"
	echo "$1: $(($(runs) - before)) requests ran"
}

dialect_fleet 1.1,1.2,2.1 --service-us 20000 || fleet_fail "the daemon does not know all targets"
for n in 1.1 2.1 1.2; do
	"$fleet_build/bench-load" --to="$fleet_net.$n:8400" --dialect=platform --service=h.example \
		--call=GET:/p/x:1:repeat --rate=40 --seconds=18 --timeout-ms=1000 >"$fleet_dir/load-$n" 2>&1 &
	eval "load_${n%.*}_${n#*.}=$!"
done
sleep 2
[ "$(runs)" -gt 0 ] || fleet_fail "the target ran nothing before it left"
curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.1.2:9001/fake/set?says_leaving=1"
sleep $DRAIN_S
expect_no_runs "target says that it leaves" 4
# shellcheck disable=SC2154
kill -KILL "$fleet_daemon_1_2" "$load_1_2"
wait "$fleet_daemon_1_2" "$load_1_2" 2>/dev/null
fleet_daemon 1 2
expect_no_runs "daemon beside it killed" 6
# shellcheck disable=SC2154
wait "$load_1_1" "$load_2_1"
cat "$fleet_dir"/load-1.1 "$fleet_dir"/load-2.1
[ $failed = 0 ] && echo ok
exit $failed
