#!/bin/sh
# A target whose slots change by its heartbeats while its answer to a health check is under
# way is served on, and the daemon goes on checking it.
# usage: replaced-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1
born=$(($(date +%s) * 1000 + 60000))

# report SLOTS SEQUENCE: sends a heartbeat of the target
report() {
	curl -s -m 2 -o "$fleet_dir/report" -X POST -d "{\"service\":\"codebook\",\"address\":\"$at:9001\",\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":$1,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":$2,\"born\":$born}" \
		"http://$at:8440/v1/rpc?call=instances.heartbeat&of=$id"
}
serves() {
	[ "$(curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 1500' "http://$at:8400/p/x")" = 200 ]
}
checks() { fleet_metric 1 1 measured_total; }

dialect_health=/flood/health
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_await "http://$at:8430/v1/readiness"
dialect_target 1 1
fleet_wait_until 9 serves || fleet_fail "a request is not served"
id=$(curl -s -m 1 -D - -o "$fleet_dir/body" "http://$at:9001/health" | sed -n 's/^X-Instance-Id: \(.*\)\r$/\1/p')
curl -s -m 1 -o "$fleet_dir/set" "http://$at:9001/fake/set?flood=1000000&flood_kind=4"
for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
	report $((18 + i % 2)) $i
	serves || fleet_fail "round $i: a request is not served"
	sleep 0.2
done
before=$(checks)
sleep 3
[ "$(checks)" -gt "$before" ] || fleet_fail "the target's health is not checked any more"
# shellcheck disable=SC2154
kill -0 "$fleet_daemon_1_1" || fleet_fail "the daemon ended"
[ $failed = 0 ] && echo ok
exit $failed
