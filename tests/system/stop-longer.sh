#!/bin/sh
# Work takes longer than any before as its daemon stops. Callers of that daemon, and of
# another one that has no other target, whose requests come while earlier ones have long
# had no answer are refused, not run, in place of being ended at the end of the stop. Those of
# the other one have a deadline before the end, if they come before that.
# usage: stop-longer.sh BUILD-DIRECTORY [DAEMON-ASKED TARGETS]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=20
if [ $# = 1 ]; then
	code=0
	sh "$0" "$1" 1 "1 2" || code=1
	sh "$0" "$1" 2 1 || code=1
	exit $code
fi
asked_at=$2
targets=$3
first_ms=8500
[ "$asked_at" = 1 ] || first_ms=4800
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask_all NAME LEFT-MS: sends requests one after the other, without waiting for their answers
ask_all() {
	asked=
	for i in $(seq $REQUESTS); do
		curl -s -m 12 -X POST -o /dev/null -w '%{http_code}\n' -H "Host: h.example" -H "X-Attempt-Id: $1-$i" \
			-H "X-Deadline-Ms: $2" "http://$fleet_net.1.$asked_at:8400/n/1" >"$fleet_dir/$1-$i.code" &
		asked="$asked $!"
		sleep 0.02
	done
}
# count NAME CODE: answers with that status
count() { cat "$fleet_dir/$1"-*.code | grep -c "^$2\$"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
done
for n in $targets; do
	dialect_target 1 "$n" --service-us 200000 --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_first=$fleet_net.1.$asked_at:8400
fleet_targets "$(echo "$targets" | wc -w)" || fleet_fail "the targets are not known"
ask_all short 8500
# shellcheck disable=SC2086
wait $asked
for n in $targets; do
	curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$n:9001/fake/set?service_us=4500000"
done
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
ask_all first "$first_ms"
waited=$asked
sleep 1.6
ask_all late 8500
# shellcheck disable=SC2086
wait $waited $asked
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
for name in short first late; do
	echo "$name: served $(count $name 200), refused $(count $name 503), ended $(count $name 504) of $REQUESTS"
done
[ "$(count short 200)" = $REQUESTS ] || fleet_fail "short work was not served"
[ "$(count first 200)" = $REQUESTS ] || fleet_fail "work that fits was not served"
[ "$(count late 503)" = $REQUESTS ] || fleet_fail "late requests were not all refused"
exit $failed
