#!/bin/sh
# Daemons that are all killed and restarted at the same time find one another again,
# and the address of each is written to the platform's store only once.
# usage: meet.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1_1 1_2 1_3 2_1 2_2 2_3"

# expect_equal NAME EXPECTED ACTUAL
expect_equal() {
	if [ "$2" = "$3" ]; then
		echo "ok $1"
	else
		echo "FAILED $1: expected '$2', got '$3'"
		failed=1
	fi
}
start_all() {
	for n in $all; do
		fleet_daemon "${n%_*}" "${n#*_}"
	done
}
kill_all() {
	for n in $all; do
		eval "kill -9 \$fleet_daemon_$n"
	done
	for n in $all; do
		eval "wait \$fleet_daemon_$n" 2>/dev/null
	done
}
# Prints how many members each daemon knows as alive, one number for each daemon.
count_alive() {
	for n in $all; do
		curl -s -m 1 "http://$fleet_net.${n%_*}.${n#*_}:8420/v1/members" | grep -c '"state":"alive"'
	done | tr '\n' ' '
}
# Expects these numbers, after 50 tries at most, 0.1 s apart.
expect_alive() { # NAME EXPECTED
	for _ in $(seq 50); do
		got=$(count_alive)
		[ "$got" = "$2" ] && break
		sleep 0.1
	done
	expect_equal "$1" "$2" "$got"
}
# Prints a counter of the fake platform.
platform_count() { # NAME
	curl -s -m 2 "http://$fleet_platform_at/fake/counts" | awk -v n="$1" '$1 == n { print $2 }'
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
start_all
expect_alive "all find one another at the first start" "6 6 6 6 6 6 "
written=$(platform_count writes)
for round in 1 2 3; do
	kill_all
	start_all
	expect_alive "all find one another after restart $round" "6 6 6 6 6 6 "
done
expect_equal "restarts write no address again" "$written" "$(platform_count writes)"
exit $failed
