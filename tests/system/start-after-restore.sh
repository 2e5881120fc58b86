#!/bin/sh
# A daemon that starts just after a restore of the store keeps what its members hold and
# the copy lacks, also if the store turns these away: a data centre that is out gets no
# work until it is written again.
# usage: start-after-restore.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
LOST_MS=1500 # operators write again within about 2 s
fleet_open "$1"
trap fleet_close EXIT
failed=0
n=0
all="1.1 2.1 3.1"

# status DC.N PATH: prints the status of a request to that daemon
status() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.$1:8400$2"
}
is() { [ "$(status "$1" "$2")" = "$3" ]; }
runs() { grep -c ' run ' "$fleet_dir/target-$1.history"; }
evacuate() { dialect_store_request POST evacuations "{\"metadata\":{\"name\":\"$1\"},\"specification\":{}}" >"$fleet_dir/code"; }

# start_daemon DC.N: all but the first are those that the store can turn away
start_daemon() {
	dialect_platform_at=$fleet_net.0.11:${fleet_platform_at#*:}
	[ "$1" != 1.1 ] || dialect_platform_at=$fleet_platform_at
	fleet_daemon "${1%.*}" "${1#*.}"
}
# round NAME MODE
round() {
	kept=$(fleet_platform_count version)
	evacuate dc2
	sleep 2
	before=$(runs 2-1)
	# shellcheck disable=SC2154
	kill -KILL "$fleet_daemon_1_1"
	fleet_platform_mode "$2"
	fleet_platform_mode "restore&by=$(($(fleet_platform_count version) - kept))"
	start_daemon 1.1
	end=$(($(date +%s%3N) + LOST_MS))
	served=0
	while [ "$(date +%s%3N)" -lt $end ]; do
		n=$((n + 1))
		is 1.1 /p/x 200 && served=$((served + 1))
		# other writes go on
		[ $((n % 4)) != 0 ] || evacuate "other-$n"
		sleep 0.02
	done
	out=$(($(runs 2-1) - before))
	echo "$1: $out of $served requests at a data centre that is out"
	sleep 0.4
	digests=$(for d in $all; do fleet_status "${d%.*}" "${d#*.}" digest; done | sort -u)
	[ "$(echo "$digests" | wc -l)" = 1 ] || fleet_fail "$1: several digests of what is in force"
	[ $served -ge 10 ] || fleet_fail "$1: only $served requests were served"
	[ $out = 0 ] || fleet_fail "$1: a data centre that is out got $out of $served requests"
	fleet_platform_mode ok
}

dialect_platform
for d in $all; do
	start_daemon "$d"
done
dialect_target 2 1
dialect_target 3 1
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
for d in $all; do
	fleet_wait_until 15 is "$d" /p/x 200 || fleet_fail "the configuration is not in force at $d"
done
sleep 3
round "all are served" ok
sleep 4
evacuate last
sleep 2
round "members are turned away" "turn-away&how=silent"
[ $failed = 0 ] && echo ok
exit $failed
