#!/bin/sh
# Daemons restart in turn while their targets break answers off, reset connections, send
# second answers late and answers without end, drawn by a seed: no daemon ends by itself,
# no unsafe request runs twice, none is refused after it ran, no caller gets an answer to
# another request.
# usage: stop-faulty-targets.sh BUILD-DIRECTORY [SEED]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
SECONDS_OF_RUN=16
NODES='1 2 3 4'
build=$1
seed=${2-41}
random_state=$((seed * 7919 + 12345))
fleet_open "$build"
failed=0
keepers=

clean_up() {
	: >"$fleet_dir/ending"
	for n in $NODES; do
		[ -z "$keepers" ] || kill -9 "$(cat "$fleet_dir/pid-$n")" 2>/dev/null
	done
	fleet_close
}
trap clean_up EXIT

# Sets $random to the next number of the seeded sequence, from 0 to $1 - 1.
random() {
	random_state=$((random_state * 48271 % 2147483647))
	random=$((random_state / 7 % $1))
}
note() { echo "$(dialect_now_us) plan $*" >>"$fleet_dir/plan.history"; }
route() { # NAME KIND
	dialect_route_json "/$1/" "$2" | sed "s/\"name\":\"$2\"/\"name\":\"$1\"/;s/\"timeout_ms\":900/\"timeout_ms\":4000/"
}
# Runs a daemon and starts it again each time it ends, until the file `ending` exists.
keep_daemon() { # N
	while [ ! -e "$fleet_dir/ending" ]; do
		note "start at=$fleet_net.1.$1:8400"
		"$build/kumquatrockd" --settings "$fleet_dir/dc1-$1.json" >>"$fleet_dir/daemon-1-$1.log" 2>&1 &
		echo $! >"$fleet_dir/pid-$1"
		wait $!
		note "end at=$fleet_net.1.$1:8400 status=$?"
	done
}
# Stops a daemon, unless the system still loads it: no program handles a signal then.
restart() { # N
	curl -s -m 1 -o /dev/null "http://$fleet_net.1.$1:8430/v1/readiness" || return
	pid=$(cat "$fleet_dir/pid-$1")
	kill -0 "$pid" 2>/dev/null || return # between two processes
	note "term at=$fleet_net.1.$1:8400"
	kill "$pid" 2>/dev/null
}
# Sets the next fault of a target.
spoil() { # N
	random 9
	case $random in
	0) fault='cut=2' ;;
	1) fault='reset_after_read=2' ;;
	2) fault='stop_next=2&stop_at=40&stop_reset=0' ;;
	3) fault='stop_next=2&stop_at=150&stop_reset=1' ;;
	4) fault='other_id=2' ;;
	5)
		random 8
		fault="flood=1&flood_kind=$((random + 1))"
		curl -s -m 1 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: flood-$1.$random_state" -H "X-Deadline-Ms: 900" \
			"http://$fleet_net.1.$1:8400/flood/1" &
		asked="${asked-} $!"
		;;
	*)
		random 7
		fault="second=3&second_kind=$((random + 1))"
		;;
	esac
	note "fault at=$fleet_net.1.$1:9001 $fault"
	curl -s -m 1 -o /dev/null -X POST "http://$fleet_net.1.$1:9001/fake/set?$fault" && faults=$((faults + 1))
}

dialect_platform
routes="$(route flood safe),$(route once0 non_idempotent),$(route once1 non_idempotent)"
for n in 0 1 2 3; do
	routes="$routes,$(route safe$n safe),$(route extra$n safe)"
done
dialect_store_request POST config "$(dialect_config_json "$routes")" >"$fleet_dir/code"
for n in $NODES; do
	fleet_settings 1 "$n" >"$fleet_dir/dc1-$n.json"
	keep_daemon "$n" &
	keepers="$keepers $!"
	dialect_target 1 "$n" --slots 80 --queue 20 --seed "$seed"
done
for n in $NODES; do
	fleet_await "http://$fleet_net.1.$n:8430/v1/readiness" || fleet_fail "daemon $n is not ready"
done
fleet_targets 4 || fleet_fail "the targets are not known"
for n in $NODES; do
	fleet_run "caller-$n" "$build/fake-planned" --to "$fleet_net.1.$n:8400" --host h.example --name "c$n" \
		--history "$fleet_dir/caller-$n.history" --seconds $SECONDS_OF_RUN --threads 8 --seed $((seed * 100 + n))
	callers="${callers-} $!"
done
end=$(($(date +%s) + SECONDS_OF_RUN - 1)) faults=0 restarts=0 next=1
while [ "$(date +%s)" -lt $end ]; do
	for step in 1 2 3 4; do
		random 4
		spoil $((random + 1))
		sleep 0.1
	done
	random 3
	[ "$random" != 0 ] || continue
	restart $next && restarts=$((restarts + 1))
	next=$((next % 4 + 1))
done
for p in $callers ${asked-}; do
	wait "$p"
done
: >"$fleet_dir/ending"
for n in $NODES; do
	fleet_wait_until 5 restart "$n" || kill -9 "$(cat "$fleet_dir/pid-$n")"
done
for p in $keepers; do
	wait "$p"
done
keepers=
sort -s -n -k 1,1 "$fleet_dir"/*.history | awk -f tests/history/planned.awk "$fleet_dir"/daemon-*.log - >"$fleet_dir/judged"
grep -E '^(requests|refused) ' "$fleet_dir/judged"
echo "seed $seed: $faults faults, $restarts restarts"
[ $faults -ge 20 ] || fleet_fail "only $faults faults were set"
[ $restarts -ge 4 ] || fleet_fail "only $restarts restarts"
for rule in TWICE REFUSED MIXED ENDED; do
	grep -q "^$rule 0" "$fleet_dir/judged" || {
		fleet_fail "$rule"
		grep -A 30 "^$rule " "$fleet_dir/judged" | head -n 60
	}
done
if grep -hE 'event=107|ERROR:|runtime error|WARNING: ThreadSanitizer' "$fleet_dir"/daemon-*.log | head -n 5 | grep .; then
	fleet_fail "a daemon failed"
fi
[ -z "${PLANNED_KEEP-}" ] || cp -r "$fleet_dir" "$PLANNED_KEEP/faulty-$seed"
exit $failed
