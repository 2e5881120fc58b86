#!/bin/sh
# Many callers at once that do not read their answers, large and endless ones, or send
# bodies without end, also to a target that reads nothing, or heads that do not end:
# memory of each daemon stays under half of a small machine's, and other requests of the
# same daemon stay whole and fast.
# usage: many-endless.sh BUILD-DIRECTORY [CALLERS [PHASE]]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CALLERS=${2:-900} # of the 1,024 connections that a daemon accepts
# A machine has 260 MB. The other half is for the process itself, its configuration and
# what the kernel holds for its sockets.
GROWTH_MAX_KB=133120
P99_MAX_MS=250
HOLD_S=9
OPEN_PER_S=250
LARGE_BYTES=250000
HEAD_BYTES=15000 # below limits.head_bytes
BODIES='endless request bodies'
# The address sanitizer keeps freed memory in a quarantine, which must not count as
# growth.
export ASAN_OPTIONS="${ASAN_OPTIONS-}:quarantine_size_mb=1"
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1

set_targets() {
	for target in 1.1 1.2; do
		curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.$target:9001/fake/set?$1"
	done
}
peak_kb() { awk '/VmHWM/ { print $2 }' "/proc/$1/status"; }
# play NAME PATH CALLER-OPTION...: callers at the first daemon, and other requests to it
# once these have come
play() {
	name=$1
	path=$2
	shift 2
	"$fleet_build/fake-caller" --to "$at:8400" --host h.example --path "$path" --seconds $HOLD_S \
		--slow "$CALLERS" --open-per-s $OPEN_PER_S --deadline-ms 5000 "$@" >"$fleet_dir/callers.log" 2>&1 &
	callers=$!
	fleet_pids="$callers $fleet_pids"
	sleep 4
	rm -f "$fleet_dir/load.history"
	"$fleet_build/bench-load" --dialect platform --service h.example --rate 30 --fixed --seconds 3 --timeout-ms 900 \
		--call GET:/s/1:1:repeat --to "$at:8400" --history "$fleet_dir/load.history" >"$fleet_dir/load.log" 2>&1
	wait "$callers"
	for daemon in 1 2; do
		eval "pid=\$fleet_daemon_1_$daemon before=\$before_$daemon"
		kill -0 "$pid" 2>/dev/null || fleet_fail "$name: daemon $daemon ended"
		grown=$(($(peak_kb "$pid") - before))
		echo "$name: daemon $daemon has grown by $grown kB"
		[ $grown -le $GROWTH_MAX_KB ] || fleet_fail "$name: memory of daemon $daemon grew by $grown kB"
	done
	tr '\n' ' ' <"$fleet_dir/callers.log"
	echo
	case $name in "$BODIES"*) ;; *) others_served ;; esac
}

# Whether the other requests were whole and fast. Requests that are still being sent
# take the places of others at the targets, so this is not asked beside those.
others_served() {
	awk '
	function field(name, i) {
		for (i = 3; i <= NF; i++)
			if (index($i, name "=") == 1)
				return substr($i, length(name) + 2)
	}
	$3 == "answer" { n++; bad += field("outcome") != "whole"; print field("us") | "sort -n >'"$fleet_dir"'/us" }
	END {
		print "other requests", n, "not whole", bad + 0
		exit bad > 0 || n < 80
	}' "$fleet_dir/load.history" || fleet_fail "$name: other requests were not answered"
	p99=$(awk '{ a[NR] = $1 } END { print int(a[int(NR * 0.99)] / 1000) }' "$fleet_dir/us")
	echo "$name: p99 of the other requests $p99 ms"
	[ "$p99" -le $P99_MAX_MS ] || fleet_fail "$name: p99 of the other requests is $p99 ms"
}

dialect_fleet 1.1,1.2 --slots 1000 --connections 1200 --queue 1000 || fleet_fail "the targets are not known"
dialect_version=2
dialect_store_request PUT config/main "$(dialect_config_json \
	"$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)" | sed 's/"timeout_ms":900/"timeout_ms":5000/;s/"max_connections":260/"max_connections":1200/')" >"$fleet_dir/code"
usable() {
	[ "$(curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$at:8400/s/x")" = 200 ]
}
fleet_wait_until 10 usable || fleet_fail "requests are not served"
# shellcheck disable=SC2154
before_1=$(peak_kb "$fleet_daemon_1_1") before_2=$(peak_kb "$fleet_daemon_1_2")
sleep 4 # the targets are warm then
for phase in ${3:-bodies heads large requests unfinished suspended}; do
	set_targets "flood=0&body_bytes=128"
	case $phase in
	bodies)
		set_targets "flood=1000000&flood_kind=4"
		play "endless bodies" /s/flood/
		;;
	heads)
		set_targets "flood=1000000&flood_kind=1"
		play "endless heads" /s/flood/
		;;
	large)
		set_targets "body_bytes=$LARGE_BYTES"
		# Nobody reads these bodies, and 900 digests of them would keep the targets from other
		# requests where processors are few.
		play "large answers" '/s/large?digest=0'
		;;
	requests) play "$BODIES" /s/send --body ;;
	unfinished) play "request heads that do not end" /s/send --head-bytes $HEAD_BYTES ;;
	suspended)
		kill -STOP "$fleet_target_1_1"
		play "$BODIES to a target that reads nothing" /s/send --body
		kill -CONT "$fleet_target_1_1"
		;;
	esac
done
# With the limit reached, requests are refused before they are passed on, until it is
# free again.
set_targets "flood=1000000&flood_kind=4"
sed -i 's/"measure_per_s"/"call_bytes": 1048576, "measure_per_s"/' "$fleet_dir/dc1-1.json"
kill -HUP "$fleet_daemon_1_1"
sleep 0.5
fleet_run limit "$fleet_build/fake-caller" --to "$at:8400" --host h.example --path /s/flood/ --seconds 4 --slow 400 \
	--open-per-s 100 --deadline-ms 5000
callers=$!
refused() {
	refused_id=limit$(date +%N)
	[ "$(curl -s -m 2 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: $refused_id" \
		-H 'X-Deadline-Ms: 900' "http://$at:8400/s/x")" = 503 ]
}
fleet_wait_until 3 refused || fleet_fail "with the limit reached no request is refused"
if ! grep -q 'Kumquatrock-Reason: bytes-in-flight' "$fleet_dir/head" || ! grep -qi '^Retry-After' "$fleet_dir/head"; then
	fleet_fail "the refusal names no reason or time"
fi
grep -qs " run .*$refused_id" "$fleet_dir"/target-*.history && fleet_fail "the refused request ran"
wait "$callers"
fleet_wait_until 3 usable || fleet_fail "requests are still refused"
for event in 505 506; do
	grep -q "event=$event" "$fleet_dir/daemon-1-1.log" || fleet_fail "event $event is not in the log"
done
# What was taken from the limit was given back.
none_held() { [ "$(fleet_metric 1 1 call_bytes)$(fleet_metric 1 2 call_bytes)" = 00 ]; }
fleet_wait_until 10 none_held ||
	fleet_fail "bytes are still counted: $(fleet_metric 1 1 call_bytes) and $(fleet_metric 1 2 call_bytes)"
exit $failed
