#!/bin/sh
# Requests with as many header fields as callers may send reach the target with the service
# in which they began, or are refused.
# usage: many-fields.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
FIELDS_MAX=64
fleet_open "$1"
trap fleet_close EXIT
failed=0

# send FIELDS [FIELD]...: sends a request with so many fields, some of them given, and prints
# status and signature
send() {
	send_left=$(($1 - $# - 2))
	shift
	for send_field in "$@"; do
		set -- "$@" -H "$send_field"
		shift
	done
	while [ $send_left -gt 0 ]; do
		set -- "$@" -H "X-Field-$send_left: $send_left"
		send_left=$((send_left - 1))
	done
	curl -s -m 3 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code} ' -H "User-Agent:" -H "Accept:" \
		-H "Host: h.example" -H "X-Attempt-Id: many$#" -H "X-Deadline-Ms: 900" "$@" "http://$fleet_first/p/1"
	tr -d '\r' <"$fleet_dir/head" | sed -n 's/^X-Server-Signature: [^.]*\.//p'
}
# expect NAME WANTED GOT
expect() {
	[ "$2" = "$3" ] || fleet_fail "$1: wanted $2, got $3"
}

dialect_fleet 1.1 || exit 1
is_served() { [ "$(send 10)" = "200 codebook" ]; }
fleet_wait_until 5 is_served || fleet_fail "no request is served"
for n in 62 63 $FIELDS_MAX; do
	expect "$n fields" "200 codebook" "$(send $n)"
	expect "$n fields, one of the connection" "200 codebook" "$(send $n "Connection: keep-alive")"
	expect "$n fields, one that the daemon replaces" "200 codebook" "$(send $n "X-Caller-Service: forged")"
done
expect "$((FIELDS_MAX + 1)) fields" 431 "$(send $((FIELDS_MAX + 1)) | tr -d ' ')"
exit $failed
