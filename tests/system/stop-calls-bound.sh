#!/bin/sh
# A request that runs at the target of a daemon that stops makes its own calls through that
# daemon as long as it runs, also after the time in which new callers are served, and also
# if its deadline comes after the end of the stop, which it was taken before.
# usage: stop-calls-bound.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=20
BEFORE=100 # requests before SIGTERM, with two calls each
fleet_open "$1"
trap fleet_close EXIT
failed=0

ask() { # ID
	code=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.2:8400/n/?work_ms=$2&calls=2&call_limit_ms=9000")
	echo "$1 $code" >>"$fleet_dir/answers"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /check/ safe |
	sed 's/"service":"codebook"/"service":"ledger"/'),
$(echo '{"resource_kind":"services","metadata":{"name":"ledger"},"specification":{"health_path":"/health","max_connections":260,"cold_start_s":3.0,"cold_per_s":19.0}}')" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_settings 1 2 | sed 's/"service": "codebook"/"service": "ledger"/' >"$fleet_dir/dc1-2.json"
fleet_run daemon-1-2 "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc1-2.json"
dialect_target 1 1 --slots 100 --calls-to "$fleet_net.1.1:8400" --calls-host h.example
fleet_run target-1-2 "$fleet_build/fake-target" --users --ip "$fleet_net.1.2" --port 9001 --service ledger --dc dc1 \
	--announce "$fleet_net.1.2:8440" --history "$fleet_dir/target-1-2.history" --fixed 1
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$fleet_net.1.2:8400/check/?work_ms=1"
for i in $(seq $BEFORE); do
	ask "before-$i" 50 &
	asked="${asked-} $!"
	sleep 0.03
done
# shellcheck disable=SC2086
wait $asked
[ "$(grep -c '^before-.* 200$' "$fleet_dir/answers")" = $BEFORE ] || fleet_fail "not all requests were served before"
asked=
for i in $(seq $REQUESTS); do
	ask "n-$i" 1400 &
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
grep '^n-' "$fleet_dir/answers" | cut -d ' ' -f 2 | sort | uniq -c
[ "$ran" = $REQUESTS ] || fleet_fail "not all requests ran there"
[ "$(grep -c '^n-.* 200$' "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "not all requests were served"
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
