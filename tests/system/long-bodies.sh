#!/bin/sh
# Bodies without end on the ports for operators and targets, and bytes that are no record
# on the peer port, are cut off: the daemon's memory stays flat and it goes on serving.
# usage: long-bodies.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
GROWTH_MAX_KB=16384
SECONDS_MAX=3
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1

# shellcheck disable=SC2154
peak_kb() { awk '/VmHWM/ { print $2 }' "/proc/$fleet_daemon_1_1/status"; }
# expect_cut NAME URL METHOD: sends a body without end; the daemon is to close the
# connection, and not to be stopped by the time limit
expect_cut() {
	start=$(date +%s%3N)
	head -c 400000000 /dev/zero | curl -s -m 20 -o /dev/null -X "$3" -H 'Expect:' -H 'Transfer-Encoding: chunked' -T - "$2"
	took=$(($(date +%s%3N) - start))
	grown=$(($(peak_kb) - before))
	echo "$1: $took ms, memory $grown KB"
	[ $took -le $((SECONDS_MAX * 1000)) ] || fleet_fail "$1: closed after $took ms"
	[ $grown -le $GROWTH_MAX_KB ] || fleet_fail "$1: memory grew by $grown KB"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)")" >"$fleet_dir/code"
fleet_daemon 1 1
dialect_target 1 1
fleet_await "http://$at:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
before=$(peak_kb)
expect_cut "heartbeat" "http://$at:8440/v1/rpc?call=instances.heartbeat&of=x" POST
expect_cut "operator" "http://$at:8420/v1/target" PUT
expect_cut "peer" "http://$at:8410/" POST
status=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: last" -H "X-Deadline-Ms: 900" "http://$at:8400/s/1")
[ "$status" = 200 ] || fleet_fail "a request afterwards got $status"
exit $failed
