#!/bin/sh
# All daemons are killed and started just after a change, and a slow store serves only one
# of them, with lists that may be stale of 5 s ago: each has the change 3 s after its start.
# usage: all-start-watchers-turned-away.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
TOUCH_S=3 # a started daemon counts this long after its start
STALE_MS=5000
SLOW_MS=600
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1.1 1.2 1.3 1.4 1.5 1.6"
served=1.6 # seldom the one that watches

status() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.$1:8400$2"
}
all_serve() {
	for d in $all; do
		[ "$(status "$d" "$1")" = 200 ] || return 1
	done
}
# configure METHOD VERSION PREFIX
configure() {
	dialect_version=$2
	object=config
	[ "$1" = POST ] || object=config/main
	dialect_store_request "$1" "$object" "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json "$3" safe)")" >"$fleet_dir/code"
	[ "$(cat "$fleet_dir/code")" = 200 ] || fleet_fail "configuration $2 was not written"
}
start() {
	dialect_platform_at=$fleet_net.0.11:${fleet_platform_at#*:}
	[ "$1" != $served ] || dialect_platform_at=$fleet_platform_at
	fleet_daemon "${1%.*}" "${1#*.}"
}

dialect_platform
for d in $all; do
	start "$d"
	dialect_target "${d%.*}" "${d#*.}"
done
configure POST 1 /a1/
fleet_wait_until 15 all_serve /a1/x || fleet_fail "the first configuration is not in force"
sleep $((STALE_MS / 1000 + 1)) # the addresses are in lists that may be stale
v=1
for how in silent 503 reset; do
	for at in now then; do
		v=$((v + 1))
		fleet_platform_mode "stale&ms=$STALE_MS&at=$at"
		configure PUT $v "/a$v/"
		for d in $all; do
			eval "kill -KILL \$fleet_daemon_${d%.*}_${d#*.}"
		done
		fleet_platform_mode "turn-away&how=$how"
		fleet_platform_mode "slow&ms=$SLOW_MS"
		for d in $all; do
			start "$d"
		done
		sleep $TOUCH_S
		lacking=
		for d in $all; do
			[ "$(status "$d" "/a$v/x")" = 200 ] || lacking="$lacking $d"
		done
		[ -z "$lacking" ] || fleet_fail "$how, at of $at: no change in force at$lacking after $TOUCH_S s"
		fleet_platform_mode ok
		fleet_wait_until 9 all_serve "/a$v/x" || fleet_fail "$how, at of $at: the change is not in force"
	done
done
[ $failed = 0 ] && echo ok
exit $failed
