#!/bin/sh
# A target's answer ends at any byte, by close or reset, with a length or in chunks, after
# the request has run: the caller never gets it as a complete success; work that may run
# once is not run again, and its caller is not told that it did not run.
# usage: broken-answer.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
BYTES_MAX=760 # of an answer with its head
STEP=23
BODY_BYTES=128
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1:8400

set_targets() {
	for n in 1 2; do
		curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$n:9001/fake/set?$1"
	done
}
ran() { cat "$fleet_dir"/target-1-?.history | grep -c "run .*key=$1 "; }
digest() { tr -d '\r' <"$fleet_dir/head" | sed -n 's/^Body-Digest: //Ip'; }
is_whole() {
	[ "$(wc -c <"$fleet_dir/body")" = $BODY_BYTES ] &&
		[ "$(sha256sum <"$fleet_dir/body" | cut -d' ' -f1)" = "$(digest)" ]
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json \
	"$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)")" >"$fleet_dir/code"
for n in 1 2; do
	fleet_daemon 1 $n
	dialect_target 1 $n --body-bytes $BODY_BYTES --service-us 500
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$at/s/1"
calls=0 whole=0 lost=0 safe=0
for chunked in 0 1; do
	for reset in 0 1; do
		set_targets "chunked=$chunked&stop_reset=$reset"
		for stop in $(seq 0 $STEP $BYTES_MAX); do
			for route in s n; do
				# A safe request may be sent to the other target, whose answer is whole.
				set_targets "stop_next=0"
				[ $route = s ] || set_targets "stop_next=1&stop_at=$stop"
				[ $route = n ] || curl -s -m 2 -o /dev/null -X POST \
					"http://$fleet_net.1.1:9001/fake/set?stop_next=1&stop_at=$stop"
				id=$route$chunked$reset.$stop
				method=GET
				[ $route = s ] || method=POST
				status=$(curl -s -m 3 -X $method -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' \
					-H "Host: h.example" -H "X-Attempt-Id: $id" -H "X-Deadline-Ms: 900" "http://$at/$route/1")
				code=$?
				calls=$((calls + 1))
				if [ "$status" = 200 ] && [ $code = 0 ]; then
					whole=$((whole + 1))
					is_whole || fleet_fail "$id: a complete success with another body"
					[ $route = n ] || safe=$((safe + 1))
				elif [ $route = n ]; then
					lost=$((lost + 1))
					case $status in
					408 | 421 | 429 | 503) [ "$(ran "$id")" = 0 ] || fleet_fail "$id: ran and was refused with $status" ;;
					esac
				fi
				[ $route = s ] || [ "$(ran "$id")" -le 1 ] || fleet_fail "$id: ran $(ran "$id") times"
				rm -f "$fleet_dir/body" "$fleet_dir/head"
				: >"$fleet_dir/body"
			done
		done
	done
done
echo "calls $calls, whole $whole, of these safe $safe, non-idempotent without success $lost"
[ $lost -gt 50 ] || fleet_fail "only $lost answers were lost"
exit $failed
