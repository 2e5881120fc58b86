#!/bin/sh
# A daemon that stops takes a call whose body is too long to be sent to another target
# after a refusal, if its deadline comes before the end.
# usage: stop-body.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=30
BODY_BYTES=524288
fleet_open "$1"
trap fleet_close EXIT
failed=0
head -c $BODY_BYTES /dev/zero >"$fleet_dir/body"

# ask_all NAME LEFT-MS: sends requests to the daemon that goes on, one after the other, without
# waiting for their answers
ask_all() {
	asked=
	for i in $(seq $REQUESTS); do
		curl -s -m 12 -X POST --data-binary "@$fleet_dir/body" -H 'Expect:' -o /dev/null -w '%{http_code}\n' -H 'Host: h.example' \
			-H "X-Attempt-Id: $1-$i" -H "X-Deadline-Ms: $2" "http://$fleet_net.1.2:8400/n/1" >>"$fleet_dir/$1" &
		asked="$asked $!"
		sleep 0.05
	done
	# shellcheck disable=SC2086
	wait $asked
}
dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --service-us 200000 --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
ask_all before 8500
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
ask_all stop 3500
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
for phase in before stop; do
	echo "$phase: $(sort "$fleet_dir/$phase" | uniq -c | tr '\n' ' ')"
	[ "$(grep -c '^200$' "$fleet_dir/$phase")" = $REQUESTS ] || fleet_fail "not all requests were served: $phase"
done
exit $failed
