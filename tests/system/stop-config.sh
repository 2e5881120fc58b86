#!/bin/sh
# A daemon that has announced its leaving and still serves follows changes of time limits.
# usage: stop-config.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=10
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ROUTE ID DAEMON DEADLINE_MS FILE
ask() {
	ask_code=$(curl -s -m 15 -X POST -o /dev/null -w '%{http_code}' -H "Host: h.example" -H "X-Attempt-Id: $2" \
		-H "X-Deadline-Ms: $4" "http://$fleet_net.1.$3:8400/$1/1")
	echo "$2 $ask_code" >>"$fleet_dir/$5"
}
# publish METHOD KIND/NAME VERSION TIMEOUT_MS: the last is that of the route /n/
publish() {
	dialect_version=$3
	dialect_store_request "$1" "$2" "$(dialect_config_json \
		"$(dialect_route_json /hold/ safe | sed 's/:900/:15000/; s/:300/:12000/'),$(dialect_route_json /n/ non_idempotent |
			sed "s/:900/:$4/")")" >"$fleet_dir/code"
	revision=$(sed -n 's/.*"revision":\([0-9]*\).*/\1/p' "$fleet_dir/store")
}
in_force() { grep -q "event=320 .*complete=$revision " "$fleet_dir/daemon-1-$1.log"; }
set_work() { curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$1:9001/fake/set?service_us=$2"; }
hold_runs() { grep -q ' run .* key=hold-' "$fleet_dir/target-1-1.history"; }

dialect_platform
publish POST config 1 900
for n in 1 2 3; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 1000/; s/"grace_s": 6/"grace_s": 12/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	dialect_target 1 $n --service-us 9000000 --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 3 || fleet_fail "the targets are not known"
sleep 9 # members ask each other often while they start
for n in 1 2 3 4 5 6 7 8 9; do
	ask hold "hold-$n" 2 14000 hold &
done
fleet_wait_until 3 hold_runs || fleet_fail "no request runs at the target of the daemon that stops"
set_work 1 1500000
set_work 2 1500000
set_work 3 1500000
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
sleep 1.3
# a watch of the store that is open when the daemon leaves reports one change
publish PUT config/main 2 1000
sleep 0.2
publish PUT config/main 3 3000
fleet_wait_until 2 in_force 2 || fleet_fail "the other daemon has no version 3"
sleep 2
asked=
for n in $(seq $REQUESTS); do
	ask n "n-$n" 1 4000 short &
	asked="$asked $!"
done
# shellcheck disable=SC2086
wait $asked
cut -d ' ' -f 2 "$fleet_dir/short" | sort | uniq -c
[ "$(grep -c ' 200$' "$fleet_dir/short")" = $REQUESTS ] || fleet_fail "not all requests were served"
in_force 1 || fleet_fail "the daemon that stops has no version 3"
wait "$fleet_daemon_1_1"
code=$?
[ $code = 0 ] || fleet_fail "the daemon ended with $code"
exit $failed
