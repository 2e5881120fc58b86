#!/bin/sh
# A signal that comes before the daemon has read its settings waits until the daemon can
# handle it: SIGHUP does not end it, SIGTERM stops it as planned.
# usage: signal-at-start.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
pipe=$fleet_dir/settings

start() { # SIGNAL: starts a daemon that waits for its settings, and sends it a signal
	rm -f "$pipe"
	mkfifo "$pipe"
	fleet_run "daemon-$1" "$fleet_build/kumquatrockd" --settings "$pipe"
	pid=$!
	exec 3>"$pipe"
	kill "-$1" "$pid"
	rm "$pipe"
	fleet_settings 1 1 >"$pipe"
	cat "$pipe" >&3
	exec 3>&-
}

dialect_platform
start HUP
if fleet_await "http://$fleet_net.1.1:8420/v1/status"; then
	kill "$pid"
	wait "$pid"
	code=$?
	[ $code = 0 ] || fleet_fail "after SIGHUP the daemon ended with $code"
	grep -q 'event=10[34] ' "$fleet_dir/daemon-HUP.log" || fleet_fail "SIGHUP was not handled"
else
	fleet_fail "the daemon ended by SIGHUP"
fi
start TERM
wait "$pid"
code=$?
[ $code = 0 ] || fleet_fail "after SIGTERM the daemon ended with $code"
exit $failed
