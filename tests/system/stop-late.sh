#!/bin/sh
# A daemon gets SIGTERM in calm, with work that the rest of its grace time can't hold if
# it comes late, and with short work. No request that was read is cut; what can't be
# finished is refused at once, "not run"; what can be finished is served. Once callers had
# the time to turn elsewhere, only a deadline tells what can be finished.
# The same with two of three daemons that stop, 0 and 1 s apart.
# usage: stop-late.sh BUILD-DIRECTORY [WORK-MS[:APART-S]]...
set -u
. scripts/fleet.sh
. scripts/dialect.sh
LEAVE_MS=2600
GRACE_MS=6000
REFUSED_MS=200 # longest time of a refusal
BEFORE_MS=1500 # of requests before SIGTERM
EACH_MS=100 # between requests of one kind
build=$1
shift
[ $# -gt 0 ] || set -- 4500 1000 4500:0 4500:1
failed=0

fleet_settings() {
	cat <<EOF
{
	"name": "dc$1-$2", "ip": "$fleet_net.$1.$2", "datacentre": "dc$1", "region": "r1",
	"dialect": "platform", "service": "codebook", "target": "$fleet_net.$1.$2:9001",
	"caller_port": "$fleet_net.$1.$2:8400", "peer_port": 8410, "operator_port": 8420,
	"ready_port": "$fleet_net.$1.$2:8430", "heartbeat_port": "$fleet_net.$1.$2:8440",
	"platform": { "address": "$fleet_platform_at" }, "leave_ms": $LEAVE_MS, "grace_s": $((GRACE_MS / 1000)),
	"limits": { "measure_per_s": 60, "cold_slack": 5 }, "retries": { "ratio": 0.15, "slack": 58 },
	"log": { "level": "info" }, "fleet_keys": [ $fleet_keys ]
}
EOF
}

now_ms() { date +%s%3N; }

# ask ROUTE ID DAEMON [CURL-OPTION]...: sends a request and notes its result
ask() {
	ask_route=$1
	ask_id=$2
	ask_at=$3
	shift 3
	ask_method=GET
	case $ask_route in n*) ask_method=POST ;; esac
	ask_sent=$(($(now_ms) - start))
	ask_result=$(curl -s -m 12 -X $ask_method -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: $ask_id" \
		-H "X-Deadline-Ms: ${ask_left-8500}" "$@" \
		-w '%{exitcode} %{http_code} %{time_total} %header{kumquatrock-outcome} %header{kumquatrock-reason}\n' \
		"http://$fleet_net.1.$ask_at:8400/$ask_route/1${ask_query-}" 2>"$fleet_dir/curl.log" | tail -1)
	echo "$ask_id $ask_at $ask_sent $ask_result" >>"$fleet_dir/results"
}

# The same on a connection with a request that was answered some seconds before.
ask_kept() {
	kept_s=$4
	set -- "$1" "$2" "$3" --rate $((60 / kept_s))/m "http://$fleet_net.1.$3:8400/none" -o /dev/null
	start=$((start - 1000 * kept_s))
	ask "$@"
}

# The same with a body whose end comes late.
ask_slow() {
	{
		printf x
		sleep 1.$EACH_MS
		printf y
	} | ask "$@" -H Expect: -T .
}

# Sends requests of all kinds until the ports are closed.
send_all() {
	i=0
	# These come after the time for callers, on connections that are idle since before SIGTERM.
	for at in 3 2; do
		(
			sleep 1.$at
			ask_kept s "idle-s-$at" 1 3 &
			ask_kept n "idle-n-$at" 1 3 &
			ask_left=2500 ask_query='?work_ms=600'
			ask_kept sb "bound-s-$at" 1 3 &
			ask_kept nb "bound-n-$at" 1 3
			wait
		) &
	done
	while [ $i -lt $(((BEFORE_MS + LEAVE_MS + 400) / EACH_MS)) ]; do
		for r in n s; do
			ask $r "own-$r-$i" 1 &
			ask_kept $r "kept-$r-$i" 1 1 &
			ask_slow $r "slow-$r-$i" 1 &
			ask $r "other-$r-$i" 3 &
		done
		i=$((i + 1))
		sleep 0.$EACH_MS
	done
	wait
}

# judge WORK-MS TEXT: prints what is wrong with the results, then their numbers
judge() {
	cat "$fleet_dir"/target-1-*.history | awk -v work="$1" -v term="$term" -v leave=$LEAVE_MS -v grace=$GRACE_MS \
		-v refused_ms=$REFUSED_MS -v how="$2" '
	FILENAME == "-" {
		if ($3 == "run" && match($0, / key=[^ ]+/))
			runs[substr($0, RSTART + 5, RLENGTH - 5)]++
		next
	}
	function bad(why) { print "FAILED " why ": " $0; nbad++ }
	{
		id = $1; after = $3 - term; code = $5
		if (id ~ /^bound/ && code != 200) bad("not served, though its deadline comes before the end")
		if (id ~ /^idle/ && code != 503) bad("not refused, though it may not be finished")
		if ($4 == 7) { closed++; next }
		if (code == 200 && $4 == 0) whole++
		else if (code == 503 && $7 == "not-run") {
			refused++
			if (runs[id]) bad("refused but has run")
			if (id ~ /^slow/) next
			if ($6 * 1000 > refused_ms) bad("refused late")
			if ($2 != 1) bad("another daemon refused")
			else if (after < 0) bad("refused before SIGTERM")
			else if (after + 1.25 * work + 150 < grace - 500 && after < leave - 200) bad("refused though it could be finished")
		} else bad("neither whole nor refused")
		if (id ~ /-n-/ && runs[id] > 1) bad("ran twice")
	}
	END {
		printf "work of %d ms%s: %d whole, %d refused, %d found the port closed, %d wrong\n", work, how, whole, refused, closed, nbad
		exit nbad > 0
	}' - "$fleet_dir/results"
}

# expect_end S PID: a daemon that got SIGTERM S seconds after the first must end with
# status 0 in its grace time
expect_end() {
	wait "$2"
	code=$?
	took=$(($(now_ms) - start - term))
	[ $code = 0 ] && [ $took -le $((GRACE_MS + 1000 * $1)) ] && return
	fleet_fail "the daemon ended with $code after $took ms"
	grep -h 'event=10[126] ' "$fleet_dir"/daemon-1-*.log
}

for run in "$@"; do
	work=${run%:*}
	apart=${run#"$work"}
	apart=${apart#:}
	fleet_open "$build"
	trap fleet_close EXIT
	dialect_platform
	dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe),
$(dialect_route_json /nb/ non_idempotent),$(dialect_route_json /sb/ safe)" |
		sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
	for n in 1 2 3; do
		fleet_daemon 1 $n
		dialect_target 1 $n --service-us ${work}000 --slots 200
	done
	fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
	fleet_targets 3 || exit 1
	start=$(now_ms)
	for i in $(seq 30); do
		ask n "warm-n-$i" $((i % 2 * 2 + 1)) &
		ask s "warm-s-$i" $((i % 2 * 2 + 1)) &
		warm="${warm-} $!"
		sleep 0.02
	done
	sleep $((work / 1000 + 1))
	rm "$fleet_dir/results"
	start=$(now_ms)
	send_all &
	sender=$!
	sleep $((BEFORE_MS / 1000)).$((BEFORE_MS % 1000))
	term=$(($(now_ms) - start))
	# shellcheck disable=SC2154
	kill "$fleet_daemon_1_1"
	if [ -n "$apart" ]; then
		sleep "$apart"
		# shellcheck disable=SC2154
		kill "$fleet_daemon_1_2"
	fi
	expect_end 0 "$fleet_daemon_1_1"
	[ -z "$apart" ] || expect_end "$apart" "$fleet_daemon_1_2"
	wait $sender
	judge "$work" "${apart:+, two daemons $apart s apart}" || failed=1
	[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP-$work-$apart"
	fleet_close
done
trap - EXIT
exit $failed
