#!/bin/sh
# A request that was open when a daemon was killed is found by its id in the logs of both
# daemons that it touched; the next process at that address names who still sends to the
# killed one, and a daemon that ends by a fault of its own says so.
# usage: find-request.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=8
fleet_open "$1"
trap fleet_close EXIT
failed=0

incarnation() { sed -n 's/.*event=100 .*incarnation=\([0-9a-f]*\).*/\1/p' "$fleet_dir/daemon-1-$1.log" | tail -n 1; }
log_of() { cat "$fleet_dir/daemon-1-$1.log"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":4000/')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_daemon 1 $n
	dialect_target 1 $n --service-us 1500000
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 3900" "http://$fleet_net.1.2:8400/n/1"
killed=$(incarnation 1)
for i in $(seq $REQUESTS); do
	curl -s -m 4 -X POST -o /dev/null -w "open-$i %{http_code}\n" -H "Host: h.example" -H "X-Attempt-Id: open-$i" \
		-H "X-Deadline-Ms: 3900" "http://$fleet_net.1.2:8400/n/1" >>"$fleet_dir/answers" &
	asked="${asked-} $!"
done
sleep 0.5
# shellcheck disable=SC2154
kill -9 "$fleet_daemon_1_1"
sleep 0.1
cp "$fleet_dir/daemon-1-1.log" "$fleet_dir/killed.log"
fleet_daemon 1 1
# shellcheck disable=SC2086
wait $asked
sleep 1
open=$(grep -c ' 504$' "$fleet_dir/answers")
echo "requests at the killed daemon's target: $open"
[ "$open" -gt 0 ] || fleet_fail "no request was open there"
for id in $(sed -n 's/ 504$//p' "$fleet_dir/answers"); do
	grep 'event=516 ' "$fleet_dir/killed.log" | grep -q "[=,]$id\b" || fleet_fail "$id isn't in the log of the killed daemon"
	log_of 2 | grep "event=511 .*request=$id " | grep -q "instance=$killed outcome=lost" ||
		fleet_fail "the caller's daemon doesn't say that $id was lost at $killed"
done
log_of 1 | grep "event=420 .*reason=other sender=$fleet_net.1.2:8410 .*to=$killed" | tail -n 1 | grep -q . ||
	fleet_fail "the next process doesn't say that 1.2 still sends to $killed"
kill -ABRT "$fleet_daemon_1_1"
sleep 0.3
log_of 1 | tail -n 1 | grep -q 'event=107 .*signal=6' || fleet_fail "the end by a signal isn't in the log"
# The sanitizers handle SIGSEGV themselves.
if ! ldd "$fleet_build/kumquatrockd" | grep -qE 'lib[at]san'; then
	# shellcheck disable=SC2154
	kill -SEGV "$fleet_daemon_1_2"
	sleep 0.3
	log_of 2 | tail -n 1 | grep -q 'event=107 .*signal=11' || fleet_fail "the end by SIGSEGV isn't in the log"
fi
exit $failed
