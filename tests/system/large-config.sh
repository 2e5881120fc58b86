#!/bin/sh
# A configuration of any size that the platform accepts reaches every daemon; most
# daemons get it from their peers.
# usage: large-config.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
daemons=9
failed=0
# write_config VERSION ROUTES HOST: writes a configuration with one route that requests
# use and ROUTES unused ones
write_config() {
	dialect_host=$3
	routes=$(dialect_route_json /p/ safe)
	for k in $(seq "$2"); do
		routes="$routes,$(dialect_route_json "/idle$k/" safe)"
	done
	dialect_config_json "$routes" | sed "s/\"version\":1/\"version\":$1/" >"$fleet_dir/configuration"
}
# Stores the configuration and prints the HTTP status.
store_config() { # METHOD PATH
	curl -s -m 5 -o "$fleet_dir/store" -w '%{http_code}' -X "$1" --data-binary "@$fleet_dir/configuration" \
		"http://$fleet_platform_at/v1/objects/$2"
}
# Prints the HTTP status of a request to each daemon.
send_to_all() { # HOST
	for n in $(seq $daemons); do
		curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code} ' -H "X-Attempt-Id: a$n" \
			-H 'X-Deadline-Ms: 1500' -H "Host: $1" "http://$fleet_net.1.$n:8400/p/x"
	done
}
expected=$(for n in $(seq $daemons); do printf '200 '; done)
# check_config NAME METHOD PATH VERSION ROUTES: stores a configuration, which every daemon
# must have in force within 20 tries, 0.3 s apart
check_config() {
	write_config "$4" "$5" "v$4.example"
	status=$(store_config "$2" "$3")
	for _ in $(seq 20); do
		got=$(send_to_all "v$4.example")
		[ "$got" = "$expected" ] && break
		sleep 0.3
	done
	if [ "$status" = 200 ] && [ "$got" = "$expected" ]; then
		echo "ok $1"
	else
		echo "FAILED $1: platform answered $status, daemons $got"
		failed=1
	fi
}
dialect_platform
for n in $(seq $daemons); do
	fleet_daemon 1 "$n"
	dialect_target 1 "$n"
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
check_config "few routes" POST config 1 10
check_config "200 routes" PUT config/main 2 200
check_config "2000 routes" PUT config/main 3 2000
exit $failed
