#!/bin/sh
# Entries of another writer in each kind of object, written before the daemons start and
# while they run: evacuations and configurations still come into force on every daemon.
# usage: odd-entries.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
nodes="1.1 1.2 1.3 2.1 2.2 2.3"

# odd KIND/NAME VALUE: stores a value as it is
odd() { curl -s -m 2 -o "$fleet_dir/odd" -X POST --data-binary "$2" "http://$fleet_platform_at/fake/raw?key=$1"; }
repeat() { head -c "$2" /dev/zero | tr '\0' "$1"; }
# odd_entries N: stores one entry of each sort in each kind
odd_entries() {
	for kind in evacuations kumquatrock-daemons config; do
		odd "$kind/text-$1" '{"by":"\ud800"}'
		odd "$kind/number-$1" '{"by":1e999}'
		odd "$kind/deep-$1" "{\"by\":$(repeat '[' 40)$(repeat ']' 40)}"
		odd "$kind/list-$1" '[1]'
		odd "$kind/bytes-$1" "$(printf '{"by":"\377\376"}')"
		odd "$kind/$(repeat n 300)-$1" '{}'
		odd "$kind/127.0.0.1-99999" '{"note":"hello"}'
		odd "$kind/127.0.0.1-7$1" '{"note":"hello","port":-1}'
	done
	odd "evacuations/notes-of-the-operators-about-the-zones-and-what-is-to-be-done-there-$1" '{}'
}
status() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 1500' "http://$fleet_net.$1:8400$2"
}
runs() { cat "$fleet_dir"/target-2-*.history | grep -c ' run '; }
# load: eight requests at each daemon
load() {
	for node in $nodes; do
		for _ in 1 2 3 4 5 6 7 8; do
			status "$node" /p/x >"$fleet_dir/load"
		done
	done
}
# out_in_time NAME: the evacuation of dc2 is in force at each daemon
out_in_time() {
	sleep 4
	before=$(runs)
	load
	[ "$(runs)" = "$before" ] || fleet_fail "$1: $(($(runs) - before)) requests ran in the evacuated data centre"
}
# config_in_time NAME VERSION: a configuration with another route is in force at each daemon
config_in_time() {
	dialect_version=$2
	dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json "/$2/" safe)")" >"$fleet_dir/code"
	sleep 2
	for node in $nodes; do
		code=$(status "$node" "/$2/x")
		[ "$code" = 200 ] || fleet_fail "$1: $node answered $code for a route that was added"
	done
}

dialect_platform
odd_entries 1
for node in $nodes; do
	fleet_daemon "${node%.*}" "${node#*.}"
	dialect_target "${node%.*}" "${node#*.}"
done
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 6 || fleet_fail "daemons do not find each other beside odd entries"
load
[ "$(runs)" -gt 0 ] || fleet_fail "no request ran in the data centre that is to be evacuated"
config_in_time "after the start" 2
odd_entries 2
dialect_store_request POST evacuations '{"metadata":{"name":"dc2"},"specification":{}}' >"$fleet_dir/code"
out_in_time "after odd entries"
config_in_time "after odd entries" 3
odd evacuations/dc2 '{"by":"\ud800"}'
out_in_time "after an odd version of the evacuation"
config_in_time "after an odd version of the evacuation" 4
dialect_store_request DELETE evacuations/dc2 >"$fleet_dir/code"
sleep 4
before=$(runs)
load
[ "$(runs)" -gt "$before" ] || fleet_fail "the data centre is not used again"
counted=0
for node in $nodes; do
	counted=$((counted + $(fleet_metric "${node%.*}" "${node#*.}" objects_invalid_total)))
done
[ $counted -gt 0 ] || fleet_fail "odd entries are not counted"
for pid in $fleet_daemons; do
	kill -0 "$pid" || fleet_fail "a daemon ended"
done
[ $failed = 0 ] && echo ok
exit $failed
