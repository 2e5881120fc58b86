#!/bin/sh
# A daemon that starts anew beside a busy target with a low limit asks the target before it
# sends it requests: the limit holds in each 4 s with a restart in it. The target's answers
# take long, so that nothing else tells of the limit before many requests are sent.
# usage: target-limit-restart.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
LIMIT_PER_S=2
WINDOW_S=4
SERVICE_US=600000
fleet_open "$1"
trap fleet_close EXIT
failed=0
bound=$((LIMIT_PER_S * WINDOW_S * 3 / 2 + 5))


dialect_fleet 1.1,1.2 --service-us $SERVICE_US || fleet_fail "the daemon does not know all targets"
"$fleet_build/bench-load" --to="$fleet_net.1.1:8400" --dialect=platform --service=h.example \
	--call=GET:/p/x:1:repeat --rate=80 --seconds=30 --timeout-ms=900 >"$fleet_dir/load" 2>&1 &
load=$!
for n in 1.1 1.2; do
	curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.$n:9001/fake/set?limit_per_s=$LIMIT_PER_S"
done
sleep 2
from=$(dialect_now_us)
for signal in KILL KILL TERM KILL; do
	sleep 3
	# shellcheck disable=SC2154
	kill "-$signal" "$fleet_daemon_1_2"
	wait "$fleet_daemon_1_2" 2>/dev/null
	fleet_daemon 1 2
	fleet_await "http://$fleet_net.1.2:8430/v1/readiness"
done
wait $load
most=$(dialect_most_runs 1-2 "$from" $WINDOW_S)
echo "$most runs in $WINDOW_S s, $bound allowed"
[ "$most" -le $bound ] || fleet_fail "$most runs in $WINDOW_S s, $bound allowed"
[ "$most" -ge $LIMIT_PER_S ] || fleet_fail "the target got no requests"
[ $failed = 0 ] && echo ok
exit $failed
