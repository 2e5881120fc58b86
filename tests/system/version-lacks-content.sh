#!/bin/sh
# The store shows the objects of 3 s ago under its present version in all lists, while all
# daemons start: once it stops that, they notice and get what their version lacks.
# usage: version-lacks-content.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CONTENT_S=3 # a reading each second, then a list of each daemon that differs
STALE_MS=3000
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1.1 1.2 2.1 2.2"

status() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.$1:8400$2"
}
# all_answer STATUS PATH
all_answer() {
	for d in $all; do
		[ "$(status "$d" "$2")" = "$1" ] || return 1
	done
}
differs() {
	for d in $all; do
		fleet_metric "${d%.*}" "${d#*.}" config_differs_total
	done | awk '{ n += $1 } END { print n + 0 }'
}

dialect_fleet "$(echo "$all" | tr ' ' ,)" || fleet_fail "the targets are not known"
sleep 4
[ "$(differs)" = 0 ] || fleet_fail "daemons differ before the fault"
fleet_platform_mode "stale&ms=$STALE_MS&at=now&all=1"
dialect_version=2
dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json /added/ safe)")" >"$fleet_dir/code"
for d in $all; do
	eval "kill -KILL \$fleet_daemon_${d%.*}_${d#*.}"
done
for d in $all; do
	fleet_daemon "${d%.*}" "${d#*.}"
done
fleet_wait_until 2 all_answer 404 /added/x || fleet_fail "the fault is not there: a daemon has the route"
fleet_platform_mode "stale&ms=0"
fleet_wait_until $CONTENT_S all_answer 200 /added/x || fleet_fail "a daemon lacks the route $CONTENT_S s after the fault"
[ "$(differs)" -gt 0 ] || fleet_fail "no daemon noticed"
grep -q 'event=324' "$fleet_dir"/daemon-*.log || fleet_fail "no line in the log"
[ $failed = 0 ] && echo ok
exit $failed
