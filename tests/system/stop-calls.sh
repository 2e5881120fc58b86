#!/bin/sh
# A request that runs at the target of a daemon that stops makes its own calls through that
# daemon as long as it runs, also after the time in which new callers are served; and where
# its deadline lies beyond the stop, as these calls have a sooner one.
# usage: stop-calls.sh BUILD-DIRECTORY [WORK-MS DEADLINE-MS]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=20
if [ $# = 1 ]; then
	code=0
	sh "$0" "$1" 1400 4500 || code=1
	sh "$0" "$1" 3600 8500 || code=1
	exit $code
fi
work=$2
deadline=$3
fleet_open "$1"
trap fleet_close EXIT
failed=0

ask() { # ID
	code=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: $deadline" "http://$fleet_net.1.2:8400/n/?work_ms=$work&calls=2")
	echo "$1 $code" >>"$fleet_dir/answers"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /check/ safe |
	sed 's/"service":"codebook"/"service":"ledger"/'),
$(echo '{"resource_kind":"services","metadata":{"name":"ledger"},"specification":{"health_path":"/health","max_connections":260,"cold_start_s":3.0,"cold_per_s":19.0}}')" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_settings 1 2 | sed 's/"service": "codebook"/"service": "ledger"/' >"$fleet_dir/dc1-2.json"
fleet_run daemon-1-2 "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc1-2.json"
dialect_target 1 1 --slots 100 --calls-to "$fleet_net.1.1:8400" --calls-host h.example
fleet_run target-1-2 "$fleet_build/fake-target" --users --ip "$fleet_net.1.2" --port 9001 --service ledger --dc dc1 \
	--announce "$fleet_net.1.2:8440" --history "$fleet_dir/target-1-2.history" --fixed 1
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$fleet_net.1.2:8400/check/?work_ms=1"
for i in $(seq $REQUESTS); do
	ask "n-$i" &
	asked="${asked-} $!"
done
all_run() { [ "$(grep -c ' run .* key=n-[0-9]* ' "$fleet_dir/target-1-1.history")" = $REQUESTS ]; }
fleet_wait_until 1 all_run || fleet_fail "not all requests run at the target of the daemon that stops"
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
# shellcheck disable=SC2086
wait $asked
ran=$(grep -c ' run .* key=n-[0-9]* ' "$fleet_dir/target-1-1.history")
echo "ran beside the daemon that stops: $ran"
cut -d ' ' -f 2 "$fleet_dir/answers" | sort | uniq -c
[ "$ran" = $REQUESTS ] || fleet_fail "not all requests ran there"
[ "$(grep -c ' 200$' "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "not all requests were served"
exit $failed
