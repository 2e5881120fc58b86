#!/bin/sh
# A daemon that starts beside a target whose answers to health checks have no end, in the
# head or the body, ends each of these checks, and serves callers.
# usage: health-without-end.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
KINDS=8
SERVED_S=9
END_S=4 # all checks of a start have ended by then
MEMORY_MAX_KB=10000
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1

flooding() { curl -s -m 1 "http://$at:9001/fake/counts" | awk '$1 == "flooding" { print $2 }'; }
# Checks go on once a second, each for one second at most.
few_flooding() { [ "$(flooding)" -le 1 ]; }
memory_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
serves() {
	tried_ms=$(date +%s%3N)
	status=$(curl -s -m 2 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 1500' "http://$at:8400/p/x")
	[ "$status" = 200 ]
}
not_served() {
	fleet_fail "kind $kind: a request is not served: status $status, $(tr -d '\r' <"$fleet_dir/head" | grep -i '^Kumquatrock-Reason')"
	echo "last tried $(($(date +%s%3N) - tried_ms)) ms ago, at $(date -u -d "@$((tried_ms / 1000))" +%T); the daemon's log:"
	grep -v -E 'event=51[0-9]' "$fleet_dir/daemon-1-1.log"
}

dialect_health=/flood/health
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
dialect_target 1 1
for kind in $(seq $KINDS); do
	curl -s -m 1 -o "$fleet_dir/set" "http://$at:9001/fake/set?flood=1000000&flood_kind=$kind"
	fleet_daemon 1 1
	fleet_await "http://$at:8430/v1/readiness"
	fleet_wait_until $SERVED_S serves || not_served
	# shellcheck disable=SC2154
	before=$(memory_kb "$fleet_daemon_1_1")
	sleep $END_S
	grown=$(($(memory_kb "$fleet_daemon_1_1") - before))
	[ $grown -le $MEMORY_MAX_KB ] || fleet_fail "kind $kind: memory grew by $grown kB"
	fleet_wait_until 3 few_flooding || fleet_fail "kind $kind: $(flooding) connections still flooded"
	grep -q 'event=0 .*library' "$fleet_dir/daemon-1-1.log" && fleet_fail "kind $kind: $(grep -m1 'event=0 .*library' "$fleet_dir/daemon-1-1.log")"
	echo "kind $kind: $(flooding) connections flooded, memory grew by $grown kB"
	kill -KILL "$fleet_daemon_1_1"
	wait "$fleet_daemon_1_1" 2>/dev/null
done
[ $failed = 0 ] && echo ok
exit $failed
