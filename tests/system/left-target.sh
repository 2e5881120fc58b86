#!/bin/sh
# A daemon is killed and restarted after its target has left. A late heartbeat of that
# target, sent before it left, does not bring it back; a running target is taken again.
# usage: left-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1

# report CALL ID SEQUENCE: sends a report of a target that nothing else answers for
report() {
	curl -s -m 2 -o /dev/null -X POST -H 'Content-Type: application/json' \
		-d "{\"service\":\"codebook\",\"address\":\"$at:9001\",\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":$3,\"born\":1760000000000}" \
		"http://$at:8440/v1/rpc?call=instances.$1&of=$2"
}
service() { fleet_status 1 1 service; }
has_target() { [ "$(service)" = codebook ]; }
has_none() { [ "$(service)" = "" ]; }
restart() {
	# shellcheck disable=SC2154
	kill -9 "$fleet_daemon_1_1"
	# shellcheck disable=SC2154
	wait "$fleet_daemon_1_1" 2>/dev/null
	fleet_daemon 1 1
	fleet_await "http://$at:8430/v1/readiness"
	fleet_wait_until 5 is_configured || fleet_fail "no configuration after the restart"
}
is_configured() { [ "$(fleet_status 1 1 complete)" -gt 0 ] 2>/dev/null; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)")" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_await "http://$at:8430/v1/readiness"
fleet_wait_until 5 is_configured || fleet_fail "no configuration"
report heartbeat i-1 5
report heartbeat i-1 6
fleet_wait_until 3 has_target || fleet_fail "the target is not taken"
report leave i-1 0
fleet_wait_until 3 has_none || fleet_fail "the target that left is still in use"
restart
report heartbeat i-1 4
for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15; do
	has_none || { fleet_fail "a late heartbeat brought back the target that left"; break; }
	sleep 0.1
done
restart
dialect_target 1 1
fleet_wait_until 4 has_target || fleet_fail "a running target is not taken after a restart"
[ $failed = 0 ] && echo ok
exit $failed
