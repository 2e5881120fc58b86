#!/bin/sh
# Daemons start just after a change, while lists that may be stale show the objects of
# 3 s ago: no daemon lacks a change that its version names, or keeps what was removed.
# usage: stale-list.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
APPLY_S=2 # a change is in force this long after it was acknowledged
TOUCH_S=3 # a started daemon counts this long after its start
STALE_MS=3000
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1.1 1.2 2.1 2.2 3.1 3.2"

# status DC.N PATH: prints the status of a request to that daemon
status() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.$1:8400$2"
}
all_serve() {
	for d in $all; do
		[ "$(status "$d" "$1")" = 200 ] || return 1
	done
}
# expect_all NAME PATH STATUS: asks each daemon twice
expect_all() {
	bad=0
	asked=0
	for d in $all $all; do
		s=$(status "$d" "$2")
		asked=$((asked + 1))
		[ "$s" = "$3" ] || bad=$((bad + 1))
	done
	[ $bad = 0 ] || fleet_fail "$1: $bad of $asked requests to $2 not answered $3"
}
# configure METHOD VERSION PREFIX...: writes a configuration with these routes
configure() {
	method=$1
	dialect_version=$2
	shift 2
	routes=
	for p in "$@"; do
		routes="${routes:+$routes,}$(dialect_route_json "$p" safe)"
	done
	object=config
	[ "$method" = POST ] || object=config/main
	dialect_store_request "$method" "$object" "$(dialect_config_json "$routes")" >"$fleet_dir/code"
	[ "$(cat "$fleet_dir/code")" = 200 ] || fleet_fail "configuration $dialect_version was not written"
}
evacuate() {
	dialect_store_request POST evacuations '{"metadata":{"name":"dc3"},"specification":{}}' >"$fleet_dir/code"
}
end_evacuation() { dialect_store_request DELETE evacuations/dc3 >"$fleet_dir/code"; }
# restart DC.N...: kills these daemons and starts them again
restart() {
	for d in "$@"; do
		eval "kill -KILL \$fleet_daemon_${d%.*}_${d#*.}"
	done
	for d in "$@"; do
		fleet_daemon "${d%.*}" "${d#*.}"
	done
}
runs() { grep -c ' run ' "$fleet_dir/target-$1.history"; }
# one_content NAME: all daemons hold the same
one_content() {
	digests=$(for d in $all; do fleet_status "${d%.*}" "${d#*.}" digest; done | sort -u | wc -l)
	[ "$digests" = 1 ] || fleet_fail "$1: $digests digests"
}

dialect_platform
for d in $all; do
	fleet_daemon "${d%.*}" "${d#*.}"
	dialect_target "${d%.*}" "${d#*.}"
done
configure POST 1 /p/ /q/
fleet_wait_until 15 all_serve /p/x || fleet_fail "the first configuration is not in force"
v=1
for at in now then; do
	for which in all one added; do
		name="at of $at, $which started"
		v=$((v + 1))
		fleet_platform_mode "stale&ms=0"
		configure PUT $v /p/ /q/
		end_evacuation
		sleep 1
		evacuate
		sleep $((STALE_MS / 1000 + 1))
		fleet_platform_mode "stale&ms=$STALE_MS&at=$at"
		v=$((v + 1))
		configure PUT $v /p/ "/a$v/"
		end_evacuation
		case $which in
		all) restart $all ;;
		one) restart 2.1 ;;
		added)
			all="$all 3.3"
			fleet_daemon 3 3
			;;
		esac
		sleep $TOUCH_S
		expect_all "$name, a route that was added" "/a$v/x" 200
		expect_all "$name, a route that was dropped" /q/x 404
		one_content "$name"
		before=$(runs 3-1)
		for _ in 1 2 3 4 5 6 7 8; do
			expect_all "$name, traffic" /p/x 200
		done
		[ "$(runs 3-1)" -gt "$before" ] || fleet_fail "$name: a target is left out whose evacuation has ended"
		# shellcheck disable=SC2154
		[ "$which" != added ] || kill -KILL "$fleet_daemon_3_3"
		all="1.1 1.2 2.1 2.2 3.1 3.2"
	done
done
[ $failed = 0 ] && echo ok
exit $failed
