#!/bin/sh
# A caller whose connection is not served finds nothing of it in the log of its daemon.
# usage: connections-refused.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
LIMIT=4
fleet_open "$1"
trap fleet_close EXIT
failed=0

# status: prints the status that a new connection gets
status() { curl -s -m 1 -o /dev/null -w '%{http_code}' -H "Host: none" "http://$fleet_net.1.1:8400/x"; }
is_refused() { [ "$(status)" = 503 ] && logged; }
logged() { grep -q "event=517 .*reason=limit open=$LIMIT limit=$LIMIT" "$fleet_dir/daemon-1-1.log"; }

dialect_platform
fleet_settings 1 1 | sed "s/\"limits\": {/& \"connections\": $LIMIT,/" >"$fleet_dir/dc1-1.json"
fleet_run daemon-1-1 "$1/kumquatrockd" --settings "$fleet_dir/dc1-1.json"
pid=$!
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
refused() { fleet_metric 1 1 'connections_refused_total{reason="limit"}'; }
status >/dev/null
[ "$(refused)" = 0 ] || fleet_fail "connections are counted as refused before the limit: $(refused)"
callers=
for _ in $(seq $LIMIT); do
	sleep 8 | curl -s -m 7 "telnet://$fleet_net.1.1:8400" >/dev/null 2>&1 &
	callers="$callers $!"
done
fleet_wait_until 5 is_refused || fleet_fail "a connection beyond the limit: status $(status), no event 517"
[ "$(refused)" -ge 1 ] 2>/dev/null || fleet_fail "connections_refused_total is $(refused)"
# shellcheck disable=SC2086
wait $callers
kill "$pid"
wait "$pid" || fleet_fail "the daemon ended with $?"
exit $failed
