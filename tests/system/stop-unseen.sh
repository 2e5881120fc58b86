#!/bin/sh
# A daemon that stops takes no call of another daemon's caller that may outlast the stop,
# while another target is left: work that takes longer than any seen before is finished
# there.
# usage: stop-unseen.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=40
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ROUTE ID: sends a request to the daemon that goes on
ask() {
	ask_code=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $2" \
		-H "X-Deadline-Ms: 8500" "http://$fleet_net.1.2:8400/$1/1")
	echo "$2 $ask_code" >>"$fleet_dir/$3"
}
# ask_all NAME: sends requests one after the other, without waiting for their answers
ask_all() {
	asked=
	for i in $(seq $REQUESTS); do
		ask n "n-$1-$i" "$1" &
		asked="$asked $!"
		ask s "s-$1-$i" "$1" &
		asked="$asked $!"
		sleep 0.05
	done
	# shellcheck disable=SC2086
	wait $asked
}
ran_at() { grep -c " run .* key=[ns]-$2-" "$fleet_dir/target-1-$1.history"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --service-us 200000 --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
ask_all short
[ "$(ran_at 1 short)" -gt 10 ] || fleet_fail "the target of the daemon that stops is not used"
for n in 1 2; do
	curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$n:9001/fake/set?service_us=4500000"
done
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
sleep 1
ask_all long
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
echo "short work: $(ran_at 1 short) ran at the daemon that stops; long work: $(ran_at 1 long)"
cut -d ' ' -f 2 "$fleet_dir/long" | sort | uniq -c
[ "$(grep -c ' 200$' "$fleet_dir/long")" = $((2 * REQUESTS)) ] || fleet_fail "not all requests were served"
exit $failed
