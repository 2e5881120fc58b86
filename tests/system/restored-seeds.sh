#!/bin/sh
# The platform's store comes back from an older copy, and lists that may be stale show what
# was there before: the address of a daemon that the store lost is written again.
# usage: restored-seeds.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
ADDRESS_S=15
STALE_MS=9000
fleet_open "$1"
trap fleet_close EXIT
failed=0

address_stored() {
	dialect_store_request GET "kumquatrock-daemons/$fleet_net.2.2-8410" >"$fleet_dir/code"
	[ "$(cat "$fleet_dir/code")" = 200 ]
}

dialect_fleet 1.1,1.2,2.1 || fleet_fail "the targets are not known"
kept=$(fleet_platform_count version)
fleet_daemon 2 2
fleet_wait_until 9 address_stored || fleet_fail "the address is not in the store"
for at in now then; do
	fleet_platform_mode "stale&ms=$STALE_MS&at=$at"
	sleep $((STALE_MS / 1000))
	fleet_platform_mode "restore&by=$(($(fleet_platform_count version) - kept))"
	address_stored && fleet_fail "at of $at: the store has not lost the address"
	fleet_wait_until $ADDRESS_S address_stored || fleet_fail "at of $at: the address was not written again in $ADDRESS_S s"
done
[ $failed = 0 ] && echo ok
exit $failed
