#!/bin/sh
# Daemons that are all killed and started again at one moment find each other, a
# newcomer finds them, each start costs the store a few calls, and an address is
# written once.
# usage: meet.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1_1 1_2 1_3 2_1 2_2 2_3"

same() {
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
# Alive members that each daemon knows, one word a daemon.
alive() {
	for n in $all; do
		curl -s -m 1 "http://$fleet_net.${n%_*}.${n#*_}:8420/v1/members" | grep -c '"state":"alive"'
	done | tr '\n' ' '
}
until_alive() { # NAME EXPECTED
	for _ in $(seq 50); do
		got=$(alive)
		[ "$got" = "$2" ] && break
		sleep 0.1
	done
	same "$1" "$2" "$got"
}
count() {
	curl -s -m 2 "http://$fleet_platform_at/fake/counts" | awk -v n="$1" '$1 == n { print $2 }'
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
start_all
until_alive "all meet at the first start" "6 6 6 6 6 6 "
written=$(count writes)
for round in 1 2 3; do
	kill_all
	start_all
	until_alive "all meet after round $round" "6 6 6 6 6 6 "
done
same "an address is written once" "$written" "$(count writes)"
exit $failed
