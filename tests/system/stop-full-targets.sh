#!/bin/sh
# A daemon stops while requests of four kinds wait for targets that are full: each one is
# answered, by its target or "not run" before its time limit, and none that ran is refused.
# usage: stop-full-targets.sh BUILD-DIRECTORY [WORK-MS]...
set -u
. scripts/fleet.sh
. scripts/dialect.sh
SLOTS=4
LIMIT_MS=2000 # time limit of each route
EACH_MS=100 # between requests of one kind at one daemon
ROUNDS=45
TERM_AT=20 # round in which SIGTERM comes
GRACE_MS=6000
build=$1
shift
[ $# -gt 0 ] || set -- 200 640
failed=0

now_ms() { date +%s%3N; }

# ask ROUTE METHOD ID DAEMON [CURL-OPTION]...
ask() {
	ask_route=$1
	ask_method=$2
	ask_id=$3
	ask_at=$4
	shift 4
	ask_sent=$(now_ms)
	ask_result=$(curl -s -m 12 -X "$ask_method" -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: $ask_id" -H "X-Deadline-Ms: 4000" "$@" \
		-w '%{exitcode} %{http_code} %{time_total} %header{kumquatrock-outcome} %header{kumquatrock-reason}' \
		"http://$fleet_net.1.$ask_at:8400/$ask_route/1" 2>"$fleet_dir/curl.log")
	echo "$ask_id $ask_sent $ask_result" >>"$fleet_dir/results"
}

# route NAME KIND PRIORITY
route() {
	dialect_route_json "/$1/" "$2" |
		sed "s/\"name\":\"$2\"/\"name\":\"$1\"/; s/\"timeout_ms\":900/\"timeout_ms\":$LIMIT_MS/; s/\"priority\":1/\"priority\":$3/; s/\"target_latency_ms\":300/\"target_latency_ms\":1500/"
}

# judge WORK-MS
judge() {
	cat "$fleet_dir"/target-1-*.history | awk -v work="$1" -v term="$term" -v limit=$LIMIT_MS '
	FILENAME == "-" {
		if ($3 == "run" && match($0, / key=[^ ]+/))
			runs[substr($0, RSTART + 5, RLENGTH - 5)]++
		next
	}
	function bad(why) { print "FAILED " why ": " $0 " after=" $2 - term; nbad++ }
	{
		id = $1; code = $4; ms = $5 * 1000
		if ($3 == 7) { closed++; next }
		if (code == 200 && $3 == 0) whole++
		else if (code == 503 && $6 == "not-run") {
			refused++
			if (runs[id]) bad("refused but has run")
			if ($7 == "draining") draining++
			if (ms > longest) longest = ms
			if (ms > limit + 300) bad("refused after its time limit")
		} else if (code == 504 && ms >= limit - 50 && ms < limit + 300) late++
		else bad("neither whole nor refused")
		if (id ~ /^[up]/ && runs[id] > 1) bad("ran twice")
	}
	END {
		printf "work of %d ms: %d whole, %d refused (%d by the stop), the last after %d ms, %d at their time limit, %d found the port closed, %d wrong\n",
			work, whole, refused, draining, longest, late, closed, nbad
		exit nbad > 0 || whole < 50 || refused < 10
	}' - "$fleet_dir/results"
}

for work in "$@"; do
	fleet_open "$build"
	trap fleet_close EXIT
	dialect_platform
	dialect_store_request POST config "$(dialect_config_json "$(route s safe 2),$(route u non_idempotent 1),$(route p non_idempotent 0),$(route l safe 2)")" >"$fleet_dir/code"
	for n in 1 2; do
		fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 1600/' >"$fleet_dir/dc1-$n.json"
		fleet_run "daemon-1-$n" "$build/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
		eval "fleet_daemon_1_$n=$!"
		dialect_target 1 $n --service-us $((work * 1000)) --slots $SLOTS
	done
	fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
	fleet_targets 2 || exit 1
	term=0
	i=0
	while [ $i -lt $ROUNDS ]; do
		for at in 1 2; do
			ask s GET "s$at-$i" $at &
			ask l GET "l$at-$i" $at &
			ask u POST "u$at-$i" $at -d "$work" &
			ask p PUT "p$at-$i" $at -d "$work" &
		done
		if [ $i = $TERM_AT ]; then
			# shellcheck disable=SC2154
			kill "$fleet_daemon_1_1"
			term=$(now_ms)
			(
				while kill -0 "$fleet_daemon_1_1" 2>/dev/null; do sleep 0.05; done
				now_ms >"$fleet_dir/ended"
			) &
		fi
		i=$((i + 1))
		sleep 0.$EACH_MS
	done
	wait "$fleet_daemon_1_1"
	code=$?
	[ $code = 0 ] || fleet_fail "the daemon ended with $code"
	sleep 5
	took=$(($(cat "$fleet_dir/ended") - term))
	[ $took -le $GRACE_MS ] || fleet_fail "the daemon ended after $took ms"
	judge "$work" || failed=1
	grep -ho 'refused=.*' "$fleet_dir/daemon-1-1.log" | tail -1
	fleet_close
done
exit $failed
