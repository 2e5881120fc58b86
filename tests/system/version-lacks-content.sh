#!/bin/sh
# The store shows the objects of 3 s ago under its present version in all lists, while all
# daemons start: once it stops that, they notice and get what their version lacks, also if it
# turns some of them away for a while.
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

# start DC.N: the store can turn those of dc2 away
start() {
	dialect_platform_at=$fleet_platform_at
	[ "${1%.*}" = 1 ] || dialect_platform_at=$fleet_net.0.11:${fleet_platform_at#*:}
	fleet_daemon "${1%.*}" "${1#*.}"
}
# configure METHOD VERSION PREFIX...
configure() {
	method=$1
	dialect_version=$2
	shift 2
	routes=$(dialect_route_json /p/ safe)
	for p in "$@"; do
		routes="$routes,$(dialect_route_json "$p" safe)"
	done
	object=config
	[ "$method" = POST ] || object=config/main
	dialect_store_request "$method" "$object" "$(dialect_config_json "$routes")" >"$fleet_dir/code"
}

dialect_platform
for d in $all; do
	start "$d"
	dialect_target "${d%.*}" "${d#*.}"
done
configure POST 1
for d in $all; do
	fleet_wait_until 15 all_answer 200 /p/x || fleet_fail "the first configuration is not in force"
done
sleep 4
[ "$(differs)" = 0 ] || fleet_fail "daemons differ before the fault"
v=1
for away in none 503; do
	v=$((v + 1))
	fleet_platform_mode "stale&ms=$STALE_MS&at=now&all=1"
	configure PUT $v "/a$v/"
	for d in $all; do
		eval "kill -KILL \$fleet_daemon_${d%.*}_${d#*.}"
	done
	for d in $all; do
		start "$d"
	done
	fleet_wait_until 2 all_answer 404 "/a$v/x" || fleet_fail "$away: the fault is not there: a daemon has the route"
	fleet_platform_mode "turn-away&how=$away"
	fleet_platform_mode "stale&ms=0"
	[ $away = none ] || sleep $CONTENT_S
	fleet_platform_mode "turn-away&how=none"
	fleet_wait_until $CONTENT_S all_answer 200 "/a$v/x" || fleet_fail "$away: a daemon lacks the route $CONTENT_S s after the fault"
	[ "$(differs)" -gt 0 ] || fleet_fail "$away: no daemon noticed"
	grep -q 'event=324' "$fleet_dir"/daemon-*.log || fleet_fail "$away: no line in the log"
done
[ $failed = 0 ] && echo ok
exit $failed
