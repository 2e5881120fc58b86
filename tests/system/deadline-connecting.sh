#!/bin/sh
# Requests whose deadline comes while they wait for the first connection to another daemon
# have not run, and are told so.
# usage: deadline-connecting.sh BUILD-DIRECTORY [TRY]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CALLERS=4
TRIES=5 # to suspend the other daemon before the connection exists
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ROUTE ID: sends a request and notes its result and when it came
ask() {
	ask_result=$(curl -s -m 12 -X POST -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: $2" -H "X-Deadline-Ms: 1000" \
		-w '%{http_code} %header{kumquatrock-outcome} %header{kumquatrock-reason}' "http://$fleet_net.1.1:8400/$1/1")
	echo "$2 $ask_result $(date +%s%3N)" >>"$fleet_dir/answers"
}

ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$fleet_net.1.$1:8430/v1/readiness")" = 200 ]; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"grace_s": 6/"grace_s": 2/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	fleet_wait_until 10 ready $n || fleet_fail "daemon $n is not ready"
done
dialect_target 1 2 --service-us 4500000 --slots 200
fleet_targets 1 || exit 1
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_2"
# The first daemon may have asked the other one for its configuration.
if [ -n "$(ss -tnH state established "dst $fleet_net.1.2 and dport = :8410")" ]; then
	[ "${2-1}" -lt $TRIES ] || fleet_fail "the connection was open before in each of $TRIES tries"
	fleet_close
	[ $failed = 0 ] || exit 1
	exec sh "$0" "$1" $((${2-1} + 1))
fi
for n in $(seq $CALLERS); do
	ask n "n-$n" &
	ask s "s-$n" &
done
sleep 1.5
kill -CONT "$fleet_daemon_1_2"
sleep 0.5
awk '
$2 != 503 || $3 != "not-run" || $4 != "deadline" { print "FAILED not refused: " $0; nbad++ }
END { print NR, "requests,", nbad + 0, "wrong"; exit nbad > 0 }' "$fleet_dir/answers" || failed=1
[ "$(wc -l <"$fleet_dir/answers")" = $((2 * CALLERS)) ] || fleet_fail "not all requests have a result"
grep -q ' run .* key=[ns]-' "$fleet_dir/target-1-2.history" && fleet_fail "requests were run"
exit $failed
