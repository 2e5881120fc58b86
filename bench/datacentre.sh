#!/bin/sh
# Outcomes and latencies of calls while a data centre leaves and returns, once
# planned by the operator and once by killing its daemons and targets, at the
# sizes of both users: three data centres and 13 workers.
# usage: datacentre.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/.."
. scripts/fleet.sh
build=$1
RATE=60 # calls a second of each service
BEFORE_S=5 # of which the first 2 s warm up the targets
OUT_S=8
BACK_S=9
GRACE_MS=4000

service_file() { # NAME
	cat <<END
{
	"service": "$1",
	"requests": [
		{ "method": "GET", "path": "/*", "idempotent": true },
		{ "method": "POST", "path": "/*", "idempotent": false }
	],
	"timeout_ms": 1000, "measure_per_s": 2,
	"cold": { "limit": 4, "good_ms": 50 },
	"retry_ratio": 0.1, "hedge": true
}
END
}
# for_each_worker DC COMMAND...: runs COMMAND... DC N SERVICE for each worker of
# the data centre
for_each_worker() {
	want=$1
	shift
	i=0
	for service in $workers; do
		dc=$((i % 3 + 1))
		[ $dc != "$want" ] || "$@" $dc $((i / 3 + 1)) "$service"
		i=$((i + 1))
	done
}
start() { # DC N SERVICE
	# shellcheck disable=SC2086
	fleet_instance "$1" "$2" "$3" $sizes --cold 1 --cold-limit 4 --cold-calls 20
}
kill_instance() { # DC N SERVICE
	eval "pids=\"\$fleet_daemon_$1_$2 \$fleet_target_$1_$2\""
	# shellcheck disable=SC2154
	kill -9 $pids
}
# mark NAME: stores the time of an event by the clock of the histories, taken
# from a read that the fake platform records
mark() {
	curl -s -o "$fleet_dir/read" "http://$fleet_platform_at/v1/objects/mark/$1"
	sed -n "s,^\([0-9]*\) platform read name=mark/$1\$,\1,p" "$fleet_dir/platform.history" >"$fleet_dir/$1"
}
leave() {
	if [ "$mode" = planned ]; then
		fleet_tool dc out dc2 --region r1 >>"$fleet_dir/operators.log" 2>&1
	else
		for_each_worker 2 kill_instance
	fi
}
come_back() {
	if [ "$mode" = planned ]; then
		fleet_tool dc in dc2 --region r1 --ramp-ms 2000 >>"$fleet_dir/operators.log" 2>&1
	else
		for_each_worker 2 start
	fi
}
# Prints counts of the answers to all load tools in the phases before, out, back
print_figures() {
	cat "$fleet_dir"/load*.history | awk -v name="datacentre.$user.$mode" \
		-v out="$(cat "$fleet_dir/out")" -v back="$(cat "$fleet_dir/back")" '
		function of(field,  m) {
			return match($0, " " field "=[^ ]*") ? substr($0, RSTART + length(field) + 2, RLENGTH - length(field) - 2) : ""
		}
		$3 != "answer" { next }
		$1 < out - 3000000 { next }
		{ n++; at[n] = $1; what[n] = of("outcome"); us[n] = of("us") + 0
		  if ($1 < out) before[++nb] = us[n] }
		END {
			# p99 before the leave, by a histogram of 10 us steps
			for (i = 1; i <= nb; i++) { b = int(before[i] / 10); h[b]++; if (b > top) top = b }
			for (b = 0; b <= top && seen < nb * .99; b++) seen += h[b]
			p99 = b * 10
			printf "%s.p99_before %.3f ms\n", name, p99 / 1000
			last["out"] = out; last["back"] = back
			for (i = 1; i <= n; i++) {
				p = at[i] < out ? "before" : at[i] < back ? "out" : "back"
				calls[p]++
				slow = us[i] > 2 * p99
				c[p, what[i]]++
				s[p] += slow
				if (p != "before" && what[i] != "whole" && at[i] > last[p]) last[p] = at[i]
			}
			split("before out back", phases)
			split("failed not-run unknown broken bad", kinds)
			for (k = 1; k <= 3; k++) {
				p = phases[k]
				printf "%s.%s.calls %d calls\n", name, p, calls[p]
				for (j = 1; j <= 5; j++)
					printf "%s.%s.%s %d calls\n", name, p, kinds[j], c[p, kinds[j]]
				printf "%s.%s.slowed %d calls\n", name, p, s[p]
			}
			printf "%s.out.last_not_whole %.0f ms\n", name, (last["out"] - out) / 1000
			printf "%s.back.last_not_whole %.0f ms\n", name, (last["back"] - back) / 1000
		}'
}
# Prints the time from the leave to the last run that began in the data centre
# while it was out, 0 if none did
print_quiet_after() {
	cat "$fleet_dir"/target-2-*.history | awk -v name="datacentre.$user.$mode" \
		-v out="$(cat "$fleet_dir/out")" -v back="$(cat "$fleet_dir/back")" '
		$3 == "run" && $1 >= out && $1 < back && $1 > last { last = $1 }
		END { printf "%s.quiet_after %.0f ms\n", name, last ? (last - out) / 1000 : 0 }'
}

# run USER MODE SIZES SERVICE...: MODE is planned or cut, SIZES are options of
# the fake targets
run() {
	user=$1 mode=$2 sizes=$3
	shift 3
	workers="$1 $1 $1 $1 $2 $2 $2 $3 $3 $3 $4 $4 $4"
	fleet_open "$build"
	trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
	fleet_platform
	for service in "$@"; do
		service_file "$service" >"$fleet_dir/service-$service.json"
		fleet_tool publish "$fleet_dir/service-$service.json" >>"$fleet_dir/operators.log" 2>&1
	done
	for dc in 1 2 3; do
		fleet_tool dc in dc$dc --region r1 --ramp-ms 500 >>"$fleet_dir/operators.log" 2>&1
		for_each_worker $dc start
	done
	fleet_ready "$@" && fleet_targets 13 || exit 1
	seed=0 loads=
	for service in "$@"; do
		seed=$((seed + 1))
		fleet_run load$seed "$build/bench-load" --service "$service" --seed $seed --rate $RATE \
			--seconds $((BEFORE_S + OUT_S + BACK_S)) --timeout-ms 1000 \
			--history "$fleet_dir/load$seed.history" --call GET:/a:3:repeat --call POST:/b:1:once \
			--to $fleet_net.1.1:8400 --to $fleet_net.2.1:8400 --to $fleet_net.3.1:8400
		loads="$loads $!"
	done
	sleep $BEFORE_S
	mark out
	leave
	sleep $OUT_S
	mark back
	come_back
	for p in $loads; do
		wait "$p" || echo "datacentre.$user.$mode.load_failed 1 runs"
	done
	print_figures
	cat "$fleet_dir"/load*.log | awk -v name="datacentre.$user.$mode" \
		'$1 == "moved" { n += $2 } END { printf "%s.moved %d calls\n", name, n }'
	print_quiet_after
	"$build/history-check" --timeout-ms 1000 --grace-ms $GRACE_MS "$fleet_dir"/*.history \
		>"$fleet_dir/verdict" || cat "$fleet_dir/verdict" >&2
	fleet_signal KILL "$fleet_pids"
	wait
	rm -rf "$fleet_dir"
	trap - EXIT
}

for mode in planned cut; do
	run bantay $mode "--slots 18 --connections 260 --connect-us 1000" codebook cloner checkout archive
	run elagage $mode "--slots 12 --connections 220 --connect-us 1000" registre planif caisse arbres
done
