#!/bin/sh
# A target that states a limit gets in any 4 s at most one and a half times that and 5
# requests from all daemons together, also after the daemon beside it was killed, stopped
# or paused; other targets serve the rest. Where all targets state one, each gets most of
# what it takes.
# usage: target-limit.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
LIMIT_PER_S=10
WINDOW_S=4
SETTLE_S=1 # from the first statement of a limit until it is held to
fleet_open "$1"
trap fleet_close EXIT
failed=0
bound=$((LIMIT_PER_S * WINDOW_S * 3 / 2 + 5))

# set_limit PER_S DC.N...: sets the limit that targets state
set_limit() {
	per_s=$1
	shift
	for n in "$@"; do
		curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.$n:9001/fake/set?limit_per_s=$per_s"
	done
}
# load SECONDS: sends calls to two daemons in the background
load() {
	for n in 1.1 2.1; do
		"$fleet_build/bench-load" --to="$fleet_net.$n:8400" --dialect=platform --service=h.example \
			--call=GET:/p/x:1:repeat --rate=60 --seconds="$1" --timeout-ms=1000 >"$fleet_dir/load-$n" 2>&1 &
		eval "load_${n%.*}=$!"
	done
}
# expect_bound WHAT FROM_US: checks the runs from then on against the limit
expect_bound() {
	most=$(dialect_most_runs 1-2 "$2" $WINDOW_S)
	echo "$1: $most runs in ${WINDOW_S} s, $bound allowed"
	[ "$most" -le $bound ] || fleet_fail "$1: $most runs in $WINDOW_S s, $bound allowed"
}
# restarted SECONDS SIGNAL: ends the daemon beside the limited target, starts it anew
restarted() {
	# shellcheck disable=SC2154
	kill "-$2" "$fleet_daemon_1_2"
	wait "$fleet_daemon_1_2" 2>/dev/null
	fleet_daemon 1 2
	sleep "$1"
}

dialect_fleet 1.1,1.2,2.1 --service-us 20000 || fleet_fail "the daemon does not know all targets"
load 26
sleep 3
set_limit $LIMIT_PER_S 1.2
stated=$(dialect_now_us)
sleep 7
expect_bound "limit stated" $((stated + SETTLE_S * 1000000))
restarted 4 KILL
expect_bound "daemon killed" $((stated + SETTLE_S * 1000000))
kill -STOP "$fleet_daemon_1_2"
sleep 2
kill -CONT "$fleet_daemon_1_2"
sleep 3
expect_bound "daemon paused" $((stated + SETTLE_S * 1000000))
restarted 3 TERM
expect_bound "daemon stopped" $((stated + SETTLE_S * 1000000))
# shellcheck disable=SC2154
wait "$load_1" "$load_2"
cat "$fleet_dir"/load-1.1 "$fleet_dir"/load-2.1
grep -hE '^(not-run|failed|unknown) ' "$fleet_dir"/load-* | awk '{ n += $2 } END { exit n > 0 }' ||
	fleet_fail "requests failed although other targets had room"
load 11
set_limit $LIMIT_PER_S 1.1 1.2 2.1
sleep 1
all=$(dialect_now_us)
sleep 9
least=$((LIMIT_PER_S * WINDOW_S * 3 / 4))
for t in 1-1 1-2 2-1; do
	most=$(dialect_most_runs $t "$all" $WINDOW_S)
	echo "all targets limited, $t: $most runs in $WINDOW_S s"
	[ "$most" -ge $least ] || fleet_fail "$t: fewer than $least runs in $WINDOW_S s"
	[ "$most" -le $bound ] || fleet_fail "$t: $most runs in $WINDOW_S s, $bound allowed"
done
wait "$load_1" "$load_2"
set_limit 0 1.1 1.2 2.1
load 6
sleep 2
lifted=$(dialect_now_us)
wait "$load_1" "$load_2"
all_runs=0
for t in 1-1 1-2 2-1; do
	grep 'event=206 ' "$fleet_dir/daemon-$t.log" | tail -n 1 | grep -q 'per_s=0.00 ' ||
		fleet_fail "$t: still limited after the limit was withdrawn"
	all_runs=$((all_runs + $(dialect_most_runs $t "$lifted" $WINDOW_S)))
done
[ $all_runs -gt $((3 * bound)) ] || fleet_fail "$all_runs runs in $WINDOW_S s after the limit was withdrawn"
[ $failed = 0 ] && echo ok
exit $failed
