#!/bin/sh
# Daemons that get SIGTERM at nearly the same time all end by themselves, also when the
# leave of the others reaches them while they are stopping.
# usage: stop-together.sh BUILD-DIRECTORY [ROUNDS]
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
rounds=${2-20}
failed=0
# expect_ended N ROUND: the daemon must end with code 0 within 6 s, the grace_s of its
# settings
expect_ended() {
	eval "pid=\$fleet_daemon_1_$1"
	for _ in $(seq 60); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.1
	done
	if kill -0 "$pid" 2>/dev/null; then
		echo "daemon 1-$1 still runs after 6 s, round $2"
		failed=1
		kill -KILL "$pid"
		return
	fi
	wait "$pid"
	code=$?
	[ $code = 0 ] || {
		echo "daemon 1-$1 ended with $code, round $2"
		failed=1
	}
}
dialect_platform
for n in 1 2 3 4 5; do
	fleet_daemon 1 $n
	dialect_target 1 $n
done
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/status"
for n in 1 2 3 4 5; do
	fleet_await "http://$fleet_net.1.$n:8430/v1/readiness"
done
fleet_run load "$1/bench-load" --dialect platform --service codebook --seed 5 --rate 250 --seconds 600 \
	--timeout-ms 900 --call GET:/p/1:1:repeat --to "$fleet_net.1.1:8400" --history "$fleet_dir/load.history"
for round in $(seq "$rounds"); do
	for n in 2 3 4 5; do
		eval "kill \$fleet_daemon_1_$n"
		sleep 0.0$((round % 7))
	done
	for n in 2 3 4 5; do
		expect_ended $n "$round"
		fleet_daemon 1 $n
	done
	for n in 2 3 4 5; do
		fleet_await "http://$fleet_net.1.$n:8430/v1/readiness"
	done
done
[ $failed = 0 ] && echo "$((4 * rounds)) stops, each daemon ended by itself"
exit $failed
