#!/bin/sh
# Targets that send bytes without end, in any part of an answer, until the connection is
# closed: the caller gets an end within its deadline and never a complete success, the
# connection is closed soon after, the daemon's memory stays flat, and other requests
# stay fast.
# usage: endless.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
DEADLINE_MS=900
LATE_MS=500 # an answer at the deadline, and this much for the way
CLOSE_S=3 # from the caller's end until the target's connection is closed
GROWTH_MAX_KB=8192
P99_MAX_MS=100
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1:8400
target=$fleet_net.1.1:9001

set_target() { curl -s -m 2 -o /dev/null -X POST "http://$target/fake/set?$1"; }
target_count() { curl -s -m 2 "http://$target/fake/counts" | sed -n "s/^$1 //p"; }
# shellcheck disable=SC2154
peak_kb() { awk '/VmHWM/ { print $2 }' "/proc/$fleet_daemon_1_1/status"; }
no_flood() { [ "$(target_count flooding)" = 0 ]; }
host() { echo "Host: ${dialect_host-h.example}"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json \
	"$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)")" >"$fleet_dir/code"
fleet_daemon 1 1
dialect_target 1 1 --connections 100
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "$(host)" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$at/s/1"
fleet_run load "$1/bench-load" --dialect platform --service "${dialect_host-h.example}" --rate 50 --fixed --seconds 60 \
	--timeout-ms 900 --call GET:/s/1:1:repeat --to "$at" --history "$fleet_dir/load.history"
sleep 1
before=$(peak_kb)
for route in s n; do
	for kind in 1 2 3 4 5 6 7 8; do
		name="route $route, kind $kind"
		set_target "flood=2&flood_kind=$kind"
		method=GET
		[ $route = s ] || method=POST
		body=/dev/null # writing an endless one would take part of the time
		[ $kind != 8 ] || body=$fleet_dir/body
		start=$(date +%s%3N)
		status=$(curl -s -m 5 -X $method -o "$body" -w '%{http_code}' -H "$(host)" \
			-H "X-Attempt-Id: $route$kind" -H "X-Deadline-Ms: $DEADLINE_MS" "http://$at/$route/flood/")
		code=$?
		took=$(($(date +%s%3N) - start))
		if [ $kind = 8 ]; then
			[ "$status$code$(cat "$fleet_dir/body")" = 2000ok ] || fleet_fail "$name: whole answer, got $status, curl $code"
		elif [ "$status" -lt 300 ] && [ $code = 0 ]; then
			fleet_fail "$name: a complete success with status $status"
		fi
		[ $took -le $((DEADLINE_MS + LATE_MS)) ] || fleet_fail "$name: ended after $took ms"
		fleet_wait_until $CLOSE_S no_flood || fleet_fail "$name: $(target_count flooding) connections stay open"
		set_target "flood=0"
		grown=$(($(peak_kb) - before))
		[ $grown -le $GROWTH_MAX_KB ] || fleet_fail "$name: memory grew by $grown KB"
		echo "$name: status $status curl $code, $took ms, memory $grown KB"
	done
done
kill "$!" 2>/dev/null
awk '
	function field(name, i) {
		for (i = 3; i <= NF; i++)
			if (index($i, name "=") == 1)
				return substr($i, length(name) + 2)
	}
	$3 == "answer" { n++; bad += field("outcome") != "whole"; us[n] = field("us") }
	END {
		for (i = 1; i <= n; i++) print us[i] | "sort -n >'"$fleet_dir"'/us"
		close("sort -n >'"$fleet_dir"'/us")
		print "other requests", n, "not whole", bad + 0
		exit bad > 0 || n < 200
	}' "$fleet_dir/load.history" || fleet_fail "other requests were not answered"
p99=$(awk '{ a[NR] = $1 } END { print int(a[int(NR * 0.99)] / 1000) }' "$fleet_dir/us")
echo "p99 of the other requests: $p99 ms"
[ "$p99" -le $P99_MAX_MS ] || fleet_fail "p99 of the other requests is $p99 ms"
exit $failed
