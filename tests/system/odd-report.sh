#!/bin/sh
# Reports of another writer that lack fields, hold odd values or name a start in the
# future: the requests in flight and the target's own reports are not affected.
# usage: odd-report.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1
now=$(($(date +%s) * 1000))

# report ID MEMBERS: sends a heartbeat with these members besides the valid ones
report() {
	curl -s -m 2 -o "$fleet_dir/report" -w '%{http_code}' -X POST \
		-d "{\"service\":\"codebook\",\"address\":\"$at:9001\",\"state\":\"ready\",$2}" \
		"http://$at:8440/v1/rpc?call=instances.heartbeat&of=$1"
}
# refused MEMBERS: a heartbeat under another id is answered with 400
refused() {
	code=$(report i-other "$1")
	[ "$code" = 400 ] || fleet_fail "report $1 was answered with $code"
}
request() {
	curl -s -m 3 -o "$fleet_dir/body-$1" -w '%{http_code}\n' -H 'Host: h.example' -H "X-Attempt-Id: $1" \
		-H 'X-Deadline-Ms: 2500' "http://$at:8400/p/x"
}
serves() { [ "$(request "first-$(date +%N)")" = 200 ]; }
in_flight() { [ "$(fleet_metric 1 1 target_in_flight)" = 6 ]; }
metric_at_least() { [ "$(fleet_metric 1 1 "$1")" -ge "$2" ] 2>/dev/null; }

dialect_platform
route="$(dialect_route_json /p/ safe | sed 's/"timeout_ms":900/"timeout_ms":2400/')"
dialect_store_request POST config "$(dialect_config_json "$route")" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_await "http://$at:8430/v1/readiness"
dialect_target 1 1
fleet_wait_until 9 serves || fleet_fail "a request is not served"
# Until the target's first own report it is known by its health check only.
sleep 2
curl -s -m 1 -o "$fleet_dir/set" "http://$at:9001/fake/set?service_us=1800000"
for i in 1 2 3 4 5 6; do
	request "long-$i" >"$fleet_dir/code-$i" &
	pids="${pids-} $!"
done
fleet_wait_until 3 in_flight || fleet_fail "six requests are not at the target"
counts='"slots":4,"cold_remaining_ms":0,"sequence":9'
refused "$counts"
refused "$counts,\"zone\":\"dc1\",\"version\":\"v1\""
refused "$counts,\"zone\":\"dc1\",\"born\":$now"
refused "$counts,\"version\":\"v1\",\"born\":$now"
refused "$counts,\"zone\":\"dc1\",\"version\":\"v1\",\"born\":\"$now\""
refused "$counts,\"zone\":\"dc1\",\"version\":\"v1\",\"born\":$((now * 1000))"
refused "\"slots\":4,\"cold_remaining_ms\":9000000000000,\"sequence\":9,\"zone\":\"dc1\",\"version\":\"v1\",\"born\":$now"
sleep 2
# shellcheck disable=SC2086
wait $pids
answered=$(cat "$fleet_dir"/code-? | grep -c 200)
[ "$answered" = 6 ] || fleet_fail "$answered of 6 requests in flight were answered"
curl -s -m 1 -o "$fleet_dir/set" "http://$at:9001/fake/set?service_us=2000"
fleet_wait_until 3 serves || fleet_fail "a request is not served afterwards"
metric_at_least target_reports_refused_total 7 || fleet_fail "the counter of refused reports is too low"
# shellcheck disable=SC2154
kill -0 "$fleet_daemon_1_1" || fleet_fail "the daemon ended"
[ $failed = 0 ] && echo ok
exit $failed
