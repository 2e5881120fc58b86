#!/bin/sh
# A daemon stops and its target turns slow, while the two other targets are quick: requests of
# a fourth daemon's callers, with bodies longer than what is kept for another attempt, go to a
# target that stays and are answered, none runs where the stop would end it.
# usage: stop-long-bodies.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=20 # of each kind
BODY=100000
WORK_MS=700 # eight times as long beside the daemon that stops, as long beside the others
fleet_open "$1"
trap fleet_close EXIT
failed=0
head -c $BODY /dev/zero >"$fleet_dir/body"

# ask ROUTE ID: sends a request to the fourth daemon
ask() {
	curl -s -m 12 -X POST -o /dev/null -w '%{http_code}\n' -H 'Host: h.example' -H "X-Attempt-Id: $2" \
		-H 'X-Deadline-Ms: 8500' -H 'Expect:' --data-binary @"$fleet_dir/body" "http://$fleet_net.1.4:8400/$1/?work_ms=$WORK_MS" >"$fleet_dir/$2.code"
}
# ask_all NAME: sends requests one after the other, without waiting for their answers
ask_all() {
	asked=
	for i in $(seq $REQUESTS); do
		ask n "$1-n-$i" &
		asked="$asked $!"
		ask s "$1-s-$i" &
		asked="$asked $!"
		sleep 0.01
	done
}
set_target() { curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$1:9001/fake/set?$2"; }
# count NAME CODE: answers with that status
count() { cat "$fleet_dir/$1"-*.code | grep -c "^$2\$"; }
ran_at() { grep -c " run .* key=$2-" "$fleet_dir/target-1-$1.history"; }
# attempts REASON: attempts that ended so since the order to stop
attempts() { tail -n +$((lines + 1)) "$fleet_dir/daemon-1-4.log" | grep -c "event=511 .* outcome=not-run .* reason=$1 "; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2 3 4; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	[ $n = 4 ] || dialect_target 1 $n --slots 200
done
fleet_await "http://$fleet_net.1.4:8430/v1/readiness"
fleet_first=$fleet_net.1.4:8400
fleet_targets 3 || fleet_fail "the targets are not known"
for round in 1 2; do
	ask_all "short$round"
	# shellcheck disable=SC2086
	wait $asked
done
[ "$(ran_at 1 'short[12]-[ns]')" -gt 10 ] || fleet_fail "the target of the daemon that stops is not used"
lines=$(wc -l <"$fleet_dir/daemon-1-4.log")
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
set_target 1 straggle=8
sleep 0.1
ask_all late
# shellcheck disable=SC2086
wait $asked
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
echo "late: $(cat "$fleet_dir"/late-*.code | sort | uniq -c | tr '\n' ' ')"
echo "late: ran $(ran_at 1 late) at the daemon that stops, $(ran_at 2 late) and $(ran_at 3 late) at the others"
echo "late: attempts refused: slow $(attempts slow), draining $(attempts draining)"
for name in short1 short2 late; do
	[ "$(count $name 200)" = $((2 * REQUESTS)) ] || fleet_fail "not all requests were served: $name"
done
[ "$(ran_at 1 late)" = 0 ] || fleet_fail "requests ran where the stop ends them"
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
