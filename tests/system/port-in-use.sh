#!/bin/sh
# A daemon that starts while another process still has one of its ports waits for it and
# then serves; one whose port stays in use ends with status 4, and SIGTERM ends its wait.
# usage: port-in-use.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
WAIT_MAX_S=8 # until a daemon gives up
fleet_open "$1"
trap fleet_close EXIT
failed=0
settings=$fleet_dir/dc1-1.json

# begin NAME: starts a daemon at 1.1
begin() {
	fleet_run "daemon-$1" "$fleet_build/kumquatrockd" --settings "$settings"
	pid=$!
}
# ended PID SECONDS: waits until a process has ended; its status is in $code
ended() {
	gone() { ! kill -0 "$1" 2>/dev/null || grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null; }
	fleet_wait_until "$2" gone "$1" || return 1
	wait "$1"
	code=$?
}

dialect_platform
fleet_settings 1 1 >"$settings"
begin former
former=$pid
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
begin next
next=$pid
sleep 1
kill "$former"
wait "$former"
if ended "$next" 1; then
	fleet_fail "the daemon ended with $code while the former one had its ports"
else
	fleet_await "http://$fleet_net.1.1:8420/v1/status" || fleet_fail "the next daemon does not serve"
	grep -q 'event=113 ' "$fleet_dir/daemon-next.log" || fleet_fail "nothing tells of the wait"
	[ "$(grep -c 'event=113 ' "$fleet_dir/daemon-next.log")" = 1 ] || fleet_fail "the wait is told more than once"
fi

# the last of the ports to be opened
fleet_run holder "$fleet_build/fake-target" --ip "$fleet_net.1.2" --port 8400 --service codebook --dc dc1
holder=$!
fleet_await "http://$fleet_net.1.2:8400/fake/counts"
fleet_settings 1 2 >"$fleet_dir/dc1-2.json"
fleet_run daemon-1-2 "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc1-2.json"
sleep 1
kill "$holder"
fleet_await "http://$fleet_net.1.2:8420/v1/status" || fleet_fail "the daemon whose caller port was in use does not serve"

begin waiting
sleep 0.5
kill "$pid"
ended "$pid" 1 || fleet_fail "SIGTERM does not end the wait"
[ "$code" = 0 ] || fleet_fail "after SIGTERM the waiting daemon ended with $code"

begin late
if ended "$pid" $WAIT_MAX_S; then
	[ "$code" = 4 ] || fleet_fail "a daemon whose port stays in use ended with $code"
	grep -q 'event=111 ' "$fleet_dir/daemon-late.log" || fleet_fail "nothing tells of the port"
else
	fleet_fail "a daemon whose port stays in use goes on"
fi
exit $failed
