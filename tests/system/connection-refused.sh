#!/bin/sh
# A request that may not be repeated and meets a target that accepts no connection has not
# run: it is served by another one.
# usage: connection-refused.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=10
fleet_open "$1"
trap fleet_close EXIT
failed=0

dialect_fleet 1.1,1.2 || fleet_fail "the targets are not known"
dialect_version=2
dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)")" >"$fleet_dir/code"
ask() {
	curl -s -m 2 -X POST -o /dev/null -w '%{http_code} %header{kumquatrock-outcome}\n' -H 'Host: h.example' -H "X-Attempt-Id: $1" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.1.2:8400/n/1"
}
usable() { [ "$(ask "usable$(date +%N)" | cut -d ' ' -f 1)" = 200 ]; }
fleet_wait_until 10 usable || fleet_fail "requests are not served"
# shellcheck disable=SC2154
kill -9 "$fleet_target_1_2"
sleep 0.2
for i in $(seq $REQUESTS); do
	ask "after-$i"
done >"$fleet_dir/answers"
sort "$fleet_dir/answers" | uniq -c
[ "$(grep -c '^200 ' "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "not all requests were served"
exit $failed
