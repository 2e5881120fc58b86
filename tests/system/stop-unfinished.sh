#!/bin/sh
# A daemon whose longest wait ends while requests of its own callers run, and requests of
# another daemon's callers run at its target, ends by itself with status 0. Each request
# gets an answer; also if leave_ms is longer than grace_s. A second SIGTERM and a reload
# with a longer grace_s change nothing.
# usage: stop-unfinished.sh BUILD-DIRECTORY [GRACE-S LEAVE-MS]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CALLERS=20
ROUND=5 # callers of each kind at once: so few requests fit in the queue of one target
ROUND_S=4
WORK_S=$((CALLERS / ROUND * ROUND_S + 4)) # longer than all rounds and the longest grace together
DEADLINE_MS=$((3 * WORK_S * 1000))
if [ $# = 1 ]; then
	code=0
	sh "$0" "$1" 2 500 || code=1
	sh "$0" "$1" 1 2600 || code=1
	exit $code
fi
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ROUTE ID DAEMON: sends a request and notes the status and reason that it gets
ask() {
	ask_result=$(curl -s -m $((3 * WORK_S + 5)) -X POST -o /dev/null -w '%{http_code} reason=%header{kumquatrock-reason}' -H "Host: h.example" \
		-H "X-Attempt-Id: $2" -H "X-Deadline-Ms: $DEADLINE_MS" "http://$fleet_net.1.$3:8400/$1/1")
	echo "$2 daemon=$3 status=$ask_result" >>"$fleet_dir/answers"
}

long() { sed "s/\"timeout_ms\":900/\"timeout_ms\":$((DEADLINE_MS + 1000))/; s/\"target_latency_ms\":300/\"target_latency_ms\":$((WORK_S * 1000))/"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" | long)" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed "s/\"grace_s\": 6/\"grace_s\": $2/; s/\"leave_ms\": 500/\"leave_ms\": $3/" >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --service-us $((WORK_S * 1000000)) --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || exit 1
all_run() { [ "$(cat "$fleet_dir"/target-1-*.history | grep -c ' run .* key=[ns][12]-')" = $((4 * n)) ]; }
for n in $(seq $CALLERS); do
	ask n "n1-$n" 1 &
	ask s "s1-$n" 1 &
	ask n "n2-$n" 2 &
	ask s "s2-$n" 2 &
	[ $((n % ROUND)) = 0 ] || continue
	fleet_wait_until $ROUND_S all_run && continue
	fleet_fail "not all of $((4 * n)) requests run"
	cat "$fleet_dir/answers"
	exit 1
done
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
start=$(date +%s%3N)
sed -i "s/\"grace_s\": $2/\"grace_s\": 60/" "$fleet_dir/dc1-1.json"
sleep 0.1
kill -HUP "$fleet_daemon_1_1"
kill "$fleet_daemon_1_1"
wait "$fleet_daemon_1_1"
code=$?
took=$(($(date +%s%3N) - start))
grep -q 'event=105 .*grace_s' "$fleet_dir/daemon-1-1.log" || fleet_fail "the settings were not reloaded"
[ $code = 0 ] && [ $took -le $(($2 * 1000)) ] || fleet_fail "the daemon ended with $code after $took ms"
all_answered() { [ "$(grep -c status= "$fleet_dir/answers")" = $((4 * CALLERS)) ]; }
fleet_wait_until $((WORK_S + 3)) all_answered
at_target() { grep -c ' run .* key=[ns]2-' "$fleet_dir/target-1-1.history"; } # of the other daemon's callers
count() { grep -c "$1" "$fleet_dir/answers"; }
[ "$(count daemon=1.status=504.reason=draining)" = $((2 * CALLERS)) ] || fleet_fail "not all own callers got 504"
[ "$(count daemon=2.status=)" = $((2 * CALLERS)) ] || fleet_fail "requests to the other daemon have no result"
[ "$(count status=000)" = 0 ] || fleet_fail "$(count status=000) requests were cut"
[ "$(count s2.*status=504)" = 0 ] || fleet_fail "safe requests of the other daemon were not tried elsewhere"
sed "s/-[0-9]* / /" "$fleet_dir/answers" | sort | uniq -c
grep -q "event=106 .* refused=0 refused_peers=0 ended=$((2 * CALLERS)) ended_peers=$(at_target) ended_taken_by_usual=0\$" "$fleet_dir/daemon-1-1.log" ||
	fleet_fail "event 106 has other numbers: $(grep event=106 "$fleet_dir/daemon-1-1.log")"
exit $failed
