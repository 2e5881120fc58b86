#!/bin/sh
# A daemon gets SIGTERM while callers open connections and send requests to it: whole, in
# halves, late, with a body, several at once. No request that it took a connection for is
# cut off without an answer, and it ends within its grace time.
# usage: stop-accepted.sh BUILD-DIRECTORY [ROUNDS]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
rounds=${2-4}
GRACE_S=6
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1:8400

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe)")" >"$fleet_dir/code"
for n in 1 2 3; do
	fleet_daemon 1 $n
	dialect_target 1 $n --service-us 30000 --slots 40
done
for round in $(seq "$rounds"); do
	fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
	fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first$round" \
		-H "X-Deadline-Ms: 900" "http://$at/s/1"
	fleet_run "caller-$round" "$1/fake-caller" --to "$at" --host h.example --path /s/1 --seconds 6
	caller=$!
	sleep "1.$((round * 2))"
	start=$(date +%s%3N)
	# shellcheck disable=SC2154
	kill "$fleet_daemon_1_1"
	wait "$fleet_daemon_1_1"
	code=$?
	took=$(($(date +%s%3N) - start))
	[ $code = 0 ] && [ $took -le $((GRACE_S * 1000)) ] || {
		echo "FAILED round $round: the daemon ended with $code after $took ms"
		failed=1
	}
	wait $caller || failed=1
	sed "s/^/round $round: /" "$fleet_dir/caller-$round.log"
	fleet_daemon 1 1
done
exit $failed
