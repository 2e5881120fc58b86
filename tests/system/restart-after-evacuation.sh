#!/bin/sh
# A daemon that starts after an evacuation has ended takes the calls of daemons that saw
# its end; it does not hold them as if it had an older configuration.
# usage: restart-after-evacuation.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=20
SLOWEST_MS=500
fleet_open "$1"
trap fleet_close EXIT
failed=0

dialect_fleet 1.1,1.2 || fleet_fail "the targets are not known"
in_force() { [ "$(grep -c 'event=320 ' "$fleet_dir/daemon-1-1.log")" -gt "$1" ]; }
before=$(grep -c 'event=320 ' "$fleet_dir/daemon-1-1.log")
dialect_store_request POST evacuations '{"metadata":{"name":"dc2"},"specification":{}}' >"$fleet_dir/code"
fleet_wait_until 4 in_force "$before" || fleet_fail "the evacuation is not in force"
sleep 1
before=$(grep -c 'event=320 ' "$fleet_dir/daemon-1-1.log")
dialect_store_request DELETE evacuations/dc2 >"$fleet_dir/code"
fleet_wait_until 4 in_force "$before" || fleet_fail "the end of the evacuation is not in force"
sleep 1
# shellcheck disable=SC2154
kill "$fleet_daemon_1_2"
wait "$fleet_daemon_1_2"
cp "$fleet_dir/daemon-1-2.log" "$fleet_dir/daemon-before.log"
fleet_daemon 1 2
# The target of the daemon that is asked ends, so that the calls go to the other one.
# shellcheck disable=SC2154
kill "$fleet_target_1_1"
found() { grep -q 'event=200 ' "$fleet_dir/daemon-1-2.log"; }
fleet_wait_until 5 found || fleet_fail "the daemon that started does not find its target"
sleep 3
for i in $(seq $REQUESTS); do
	curl -s -m 3 -o /dev/null -w '%{http_code} %{time_total}\n' -H 'Host: h.example' -H "X-Attempt-Id: r$i" \
		-H 'X-Deadline-Ms: 2500' "http://$fleet_net.1.1:8400/p/1" >>"$fleet_dir/results"
done
awk -v n=$REQUESTS -v slowest=$SLOWEST_MS '
$1 == 200 && $2 * 1000 <= slowest { served++ }
END { print served + 0 " of " n " requests served in time"; exit served < n }' "$fleet_dir/results" ||
	fleet_fail "requests are not served in time"
behind=$(grep -c 'event=512 .*reason=behind' "$fleet_dir/daemon-1-2.log")
[ "$behind" = 0 ] || fleet_fail "$behind calls were held for a newer configuration"
exit $failed
