#!/bin/sh
# The platform's store comes back from an older copy, twice: what is in force stays in
# force until it is written again, later changes are in force in time although their
# revisions were given out before, and the addresses of daemons are written again.
# usage: restored-store.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
APPLY_S=2 # a change is in force this long after it was acknowledged
ADDRESS_S=15
WRITE_AGAIN_S=1.5 # operators write again within about 2 s
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1.1 1.2 2.1"

# status DC.N PATH: prints the status of a request to that daemon
status() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.$1:8400$2"
}
# all_serve PATH: whether each daemon answers 200
all_serve() {
	for d in $all; do
		[ "$(status "$d" "$1")" = 200 ] || return 1
	done
}
# runs DC-N: prints how many requests a target ran
runs() { grep -c ' run ' "$fleet_dir/target-$1.history"; }
# configure METHOD VERSION PREFIX...: writes a configuration with these routes
configure() {
	method=$1
	dialect_version=$2
	shift 2
	routes=
	for p in "$@"; do
		routes="${routes:+$routes,}$(dialect_route_json "$p" safe)"
	done
	name=config
	[ "$method" = POST ] || name=config/main
	dialect_store_request "$method" "$name" "$(dialect_config_json "$routes")" >"$fleet_dir/code"
	[ "$(cat "$fleet_dir/code")" = 200 ] || fleet_fail "configuration $dialect_version was not written"
}
evacuate() {
	dialect_store_request POST evacuations '{"metadata":{"name":"dc2"},"specification":{}}' >"$fleet_dir/code"
}
address_stored() {
	dialect_store_request GET "kumquatrock-daemons/$fleet_net.2.2-8410" >"$fleet_dir/code"
	[ "$(cat "$fleet_dir/code")" = 200 ]
}
# write_again VERSION ROUND: writes what was lost, some time after the restore
write_again() {
	sleep $WRITE_AGAIN_S
	configure PUT "$1" /p/ "/a$2/"
	evacuate
}
# stays_out ROUND: checks that the target in dc2 runs nothing meanwhile
stays_out() {
	before=$(runs 2-1)
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		for d in $all; do
			[ "$(status "$d" /p/x)" = 200 ] || fleet_fail "round $1: a request was not served"
		done
		sleep 0.05
	done
	[ "$(runs 2-1)" = "$before" ] || fleet_fail "round $1: a data centre that is out got $(($(runs 2-1) - before)) requests"
}

dialect_platform
for d in $all; do
	fleet_daemon "${d%.*}" "${d#*.}"
	dialect_target "${d%.*}" "${d#*.}"
done
configure POST 1 /p/
fleet_wait_until 15 all_serve /p/x || fleet_fail "the first configuration is not in force"
sleep 3
for round in 1 2; do
	v=$((10 * round))
	kept=$(fleet_platform_count version)
	# What is written from here on is lost.
	configure PUT $v /p/ "/a$round/"
	fleet_wait_until $APPLY_S all_serve "/a$round/x" || fleet_fail "round $round: the change is not in force"
	evacuate
	fleet_daemon 2 2
	fleet_wait_until 9 address_stored || fleet_fail "round $round: the address is not in the store"
	sleep 1
	stays_out "$round"
	fleet_platform_mode "restore&by=$(($(fleet_platform_count version) - kept))"
	write_again $v "$round" &
	writing=$!
	checks=0
	before=$(runs 2-1)
	while kill -0 $writing 2>/dev/null; do
		all_serve "/a$round/x" || fleet_fail "round $round: what is in force went back"
		all_serve /p/x || fleet_fail "round $round: a request was not served"
		checks=$((checks + 1))
	done
	wait $writing
	[ "$(runs 2-1)" = "$before" ] || fleet_fail "round $round: a data centre that is out got $(($(runs 2-1) - before)) requests"
	echo "round $round: $checks checks before it was written again"
	configure PUT $((v + 1)) /p/ "/a$round/" "/b$round/"
	fleet_wait_until $APPLY_S all_serve "/b$round/x" || fleet_fail "round $round: a change after the restore is not in force"
	all_serve "/a$round/x" || fleet_fail "round $round: a route is not served"
	sleep 1
	configure PUT $((v + 2)) /p/ "/c$round/"
	fleet_wait_until $APPLY_S all_serve "/c$round/x" || fleet_fail "round $round: a later change is not in force"
	stays_out "$round"
	fleet_wait_until $ADDRESS_S address_stored || fleet_fail "round $round: the address was not written again"
	dialect_store_request DELETE evacuations/dc2 >"$fleet_dir/code"
	sleep 1
	# shellcheck disable=SC2154
	kill -KILL "$fleet_daemon_2_2"
	dialect_store_request DELETE "kumquatrock-daemons/$fleet_net.2.2-8410" >"$fleet_dir/code"
done
[ $failed = 0 ] && echo ok
exit $failed
