#!/bin/sh
# A target whose slots change and change back, or that starts again, while it runs requests:
# these are answered, the daemon does not end, and requests are served afterwards.
# usage: busy-target.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
export MALLOC_PERTURB_=165 # a use of freed memory ends the daemon
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1
born=$(($(date +%s) * 1000 + 60000))

# report SLOTS SEQUENCE BORN: sends a heartbeat of the target
report() {
	curl -s -m 2 -o "$fleet_dir/report" -X POST -d "{\"service\":\"codebook\",\"address\":\"$at:9001\",\"zone\":\"dc1\",\"version\":\"v1\",\"slots\":$1,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":$2,\"born\":$3}" \
		"http://$at:8440/v1/rpc?call=instances.heartbeat&of=$id"
}
# request NAME: prints the status of an answer
request() {
	curl -s -m 3 -o "$fleet_dir/body-$1" -w '%{http_code}\n' -H 'Host: h.example' -H "X-Attempt-Id: $1" \
		-H 'X-Deadline-Ms: 2500' "http://$at:8400/p/x"
}
serves() { [ "$(request "first-$(date +%N)")" = 200 ]; }
slow() { curl -s -m 1 -o "$fleet_dir/set" "http://$at:9001/fake/set?service_us=$1"; }
in_flight() { [ "$(fleet_metric 1 1 target_in_flight)" = 6 ]; }
# while_busy NAME COMMAND...: runs the command while six requests run at the target, which are all to be answered
while_busy() {
	name=$1
	shift
	slow 700000
	pids=
	for i in 1 2 3 4 5 6; do
		request "$name-$i" >"$fleet_dir/code-$name-$i" &
		pids="$pids $!"
	done
	fleet_wait_until 3 in_flight || fleet_fail "$name: six requests are not at the target"
	"$@"
	# shellcheck disable=SC2086
	wait $pids
	slow 2000
	answered=$(cat "$fleet_dir/code-$name"-* | grep -c 200)
	[ "$answered" = 6 ] || fleet_fail "$name: $answered of 6 requests in flight were answered"
	fleet_wait_until 3 serves || fleet_fail "$name: a request is not served afterwards"
	# shellcheck disable=SC2154
	kill -0 "$fleet_daemon_1_1" || fleet_fail "$name: the daemon ended"
}
slots_there_and_back() {
	report 12 2 "$born"
	report 18 3 "$born"
}
slots_there_back_and_there() {
	report 12 4 "$born"
	report 18 5 "$born"
	report 12 6 "$born"
}
start_again() {
	report 18 7 "$born"
	report 18 1 $((born + 1))
}

dialect_platform
# shellcheck disable=SC2089
route="$(dialect_route_json /p/ safe | sed 's/"timeout_ms":900/"timeout_ms":2400/')"
dialect_store_request POST config "$(dialect_config_json "$route")" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_await "http://$at:8430/v1/readiness"
dialect_target 1 1
fleet_wait_until 9 serves || fleet_fail "a request is not served"
id=$(curl -s -m 1 -D - -o "$fleet_dir/body" "http://$at:9001/health" | sed -n 's/^X-Instance-Id: \(.*\)\r$/\1/p')
report 18 1 "$born"
while_busy slots slots_there_and_back
while_busy slots-again slots_there_back_and_there
while_busy start start_again
[ $failed = 0 ] && echo ok
exit $failed
