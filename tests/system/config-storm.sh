#!/bin/sh
# A storm of configurations: a change each 0.3 s for 5 s on top of 1,000 routes, while the
# store turns away five of thirteen daemons and four others are killed and restarted. No
# daemon goes back to an older version, and the last version is in force at all of them
# within 2 s of its acknowledgement. Pulls are coalesced.
# usage: config-storm.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
ROUTES=1000
CHANGES=16
BOUND_MS=2000
fleet_open "$1"
trap fleet_close EXIT
failed=0
all="1-1 1-2 1-3 1-4 1-5 2-1 2-2 2-3 2-4 3-1 3-2 3-3 3-4"
away="1-1 1-2 2-1 2-2 3-1"
killed="1-3 2-3 3-2 3-3"

version_of() { fleet_status "${1%-*}" "${1#*-}" complete; }
all_have() {
	for d in $all; do
		[ "$(version_of "$d")" -ge "$1" ] 2>/dev/null || return 1
	done
}
# change METHOD PATH N: stores a configuration whose last route depends on N; its version
# is in $version
change() {
	sed "s/ROUTE/r$3/" "$fleet_dir/template" >"$fleet_dir/configuration"
	curl -s -m 5 -o "$fleet_dir/store" -X "$1" --data-binary "@$fleet_dir/configuration" \
		"http://$fleet_platform_at/v1/objects/$2"
	version=$(head -c 200 "$fleet_dir/store" | sed -n 's/.*"revision":\([0-9]*\).*/\1/p')
}
start_daemon() {
	unset dialect_platform_at
	case " $away " in
	*" $1 "*) dialect_platform_at=$fleet_net.0.11:${fleet_platform_at#*:} ;;
	esac
	fleet_daemon "${1%-*}" "${1#*-}"
}

routes=$(dialect_route_json /p/ safe)
for k in $(seq $ROUTES); do
	routes="$routes,$(dialect_route_json "/idle$k/" safe)"
done
dialect_config_json "$routes,$(dialect_route_json /ROUTE/ safe)" >"$fleet_dir/template"
dialect_platform
change POST config 0
for d in $all; do
	start_daemon "$d"
done
fleet_wait_until 15 all_have "$version" || fleet_fail "the first configuration is not in force"
sleep 2
fleet_platform_mode "turn-away&how=silent"
for n in $(seq $CHANGES); do
	change PUT config/main "$n"
	acknowledged=$(date +%s%3N)
	if [ "$n" = 5 ]; then
		for d in $killed; do
			eval "kill -9 \$fleet_daemon_$(echo "$d" | tr - _)"
		done
	elif [ "$n" = 9 ]; then
		for d in $killed; do
			start_daemon "$d"
		done
	fi
	sleep 0.3
done
fleet_wait_until 9 all_have "$version" || fleet_fail "version $version is not in force after 9 s"
took=$(($(date +%s%3N) - acknowledged))
[ $took -le $BOUND_MS ] || fleet_fail "the last version is in force after $took ms"
echo "last version in force after $took ms"
for d in $all; do
	sed -n 's/.*event=\(100\|320\) .*complete=\([0-9]*\) .*/\1 \2/p; s/.*event=100 .*/100 0/p' "$fleet_dir/daemon-$d.log" |
		awk -v d="$d" '$1 == 100 { last = 0 }
			$1 == 320 { if ($2 < last) { print d " went back from " last " to " $2; bad = 1 } last = $2 }
			END { exit bad }' || fleet_fail "$d went back"
	pulls=$(fleet_metric "${d%-*}" "${d#*-}" pulls_total)
	[ "$pulls" -le $((3 * CHANGES)) ] || fleet_fail "$d pulled $pulls times for $CHANGES changes"
done
exit $failed
