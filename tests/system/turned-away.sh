#!/bin/sh
# The platform's store turns away eight of thirteen daemons, and the three watchers with
# them: each change is in force at all daemons within 2 s of its acknowledgement, however
# the daemons are turned away, and the calls to the store stay few.
# usage: turned-away.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
BOUND_MS=2000
REST_S=4
REST_CALLS_MAX=12 # 3 a second: what three readers made before
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1-1 1-2 1-3 1-4 1-5 2-1 2-2 2-3 2-4 3-1 3-2 3-3 3-4"
TURNED_AWAY=8

# version_of DAEMON: prints the version that it has in force
version_of() { fleet_status "${1%-*}" "${1#*-}" complete; }
all_have() {
	for d in $all; do
		[ "$(version_of "$d")" -ge "$1" ] 2>/dev/null || return 1
	done
}
# calls_of DAEMON: prints how many calls to the store it has made
calls_of() { fleet_metric "${1%-*}" "${1#*-}" platform_calls_total; }
# change N: writes a configuration with another route; prints the store's version of it
change() {
	dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json "/p$1/" safe)")" >"$fleet_dir/code"
	sed -n 's/.*"revision":\([0-9]*\).*/\1/p' "$fleet_dir/store"
}
reads() { echo $(($(fleet_platform_count reads) + $(fleet_platform_count watches))); }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe)")" >"$fleet_dir/code"
for d in $all; do
	fleet_daemon "${d%-*}" "${d#*-}"
done
fleet_wait_until 15 all_have "$(fleet_platform_count version)" || fleet_fail "the first configuration is not in force"
sleep 2
before=$(reads)
for d in $all; do
	calls_of "$d" >"$fleet_dir/calls-$d"
done
sleep $REST_S
calls=$(($(reads) - before))
[ "$calls" -le $REST_CALLS_MAX ] || fleet_fail "$calls calls to the store in $REST_S s at rest"
echo "calls to the store in $REST_S s at rest: $calls"

# The daemons that watch or read the store come first among those that it turns away.
first=
rest=
for d in $all; do
	if [ "$(calls_of "$d")" != "$(cat "$fleet_dir/calls-$d")" ] ||
		[ "$(fleet_status "${d%-*}" "${d#*-}" watching)" = true ]; then
		first="$first $d"
	else
		rest="$rest $d"
	fi
done
dialect_platform_at=$fleet_net.0.11:${fleet_platform_at#*:}
# shellcheck disable=SC2086
for d in $(printf '%s\n' $first $rest | head -n $TURNED_AWAY); do
	fleet_settings "${d%-*}" "${d#*-}" >"$fleet_dir/dc$d.json"
	eval "kill -HUP \$fleet_daemon_$(echo "$d" | tr - _)"
done
echo "watchers and readers:$first"
sleep 0.5
# Ends the watches that were opened at the first address.
fleet_wait_until 9 all_have "$(change 0)" || fleet_fail "the change after SIGHUP is not in force"

n=0
for how in silent 503 429 reset; do
	fleet_platform_mode "turn-away&how=$how"
	for pause in 0.1 2 0.7; do
		n=$((n + 1))
		sleep $pause
		version=$(change $n)
		start=$(date +%s%3N)
		fleet_wait_until 9 all_have "$version" || fleet_fail "$how: version $version is not in force after 9 s"
		took=$(($(date +%s%3N) - start))
		[ $took -le $BOUND_MS ] || fleet_fail "$how: version $version in force after $took ms"
		echo "$how $pause: $took ms"
	done
	fleet_platform_mode ok
	sleep 1
done
[ $failed = 0 ] && echo "ok"
exit $failed
