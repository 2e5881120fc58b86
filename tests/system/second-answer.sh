#!/bin/sh
# A target sends a second answer to a request, late, on a connection that is in use again:
# the next caller gets the answer to its own request, or none, and is never told that its
# request did not run, which it did.
# usage: second-answer.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
ROUNDS=12
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1:8400
target=$fleet_net.1.1:9001

set_target() { curl -s -m 2 -o /dev/null -X POST "http://$target/fake/set?$1"; }
# call ROUTE ID: sends a request; its status is in $status, its answer in head and body
call() {
	method=GET
	[ "$1" = s ] || method=POST
	status=$(curl -s -m 3 -X $method -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' \
		-H "Host: h.example" -H "X-Attempt-Id: $2" -H "X-Deadline-Ms: 900" "http://$at/$1/1")
}
ran() { grep -c "run .*key=$1 " "$fleet_dir/target-1-1.history"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json \
	"$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)")" >"$fleet_dir/code"
fleet_daemon 1 1
dialect_target 1 1
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$at/s/1"
for kind in 1 2 3 4 5 6 7; do
	whole=0
	for n in $(seq $ROUNDS); do
		set_target "second=1&second_kind=$kind"
		call s "a$kind.$n"
		route=s
		[ $((n % 3)) != 0 ] || route=n
		id="b$kind.$n"
		call $route "$id"
		if [ "$status" = 200 ]; then
			whole=$((whole + 1))
			grep -qi "^X-Attempt-Id: $id" "$fleet_dir/head" || fleet_fail "kind $kind: $id got another request's answer"
			grep -q "^$id" "$fleet_dir/body" || fleet_fail "kind $kind: $id got another body: $(head -c 40 "$fleet_dir/body")"
		elif [ "$status" = 500 ]; then
			grep -qi "^X-Attempt-Id: $id" "$fleet_dir/head" || fleet_fail "kind $kind: $id got the failure of another request"
		elif [ "$status" = 503 ] && [ "$(ran "$id")" != 0 ]; then
			fleet_fail "kind $kind: $id ran and was refused"
		fi
		[ "$(ran "$id")" -le 1 ] || [ $route = s ] || fleet_fail "kind $kind: $id ran $(ran "$id") times"
	done
	echo "kind $kind: $whole of $ROUNDS whole"
	[ $whole -ge $((ROUNDS / 2)) ] || fleet_fail "kind $kind: only $whole of $ROUNDS requests were served"
done
used=$(grep -c "event=502.*other-request" "$fleet_dir/daemon-1-1.log")
echo "second answers met by the next request: $used"
[ "$used" -gt 0 ] || fleet_fail "no second answer was met by a request"
exit $failed
