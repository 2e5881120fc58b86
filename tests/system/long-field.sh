#!/bin/sh
# Requests with a field or a path that no record between daemons holds, although the limits on
# callers let it in, are refused as too large, not run, and the connection goes on.
# usage: long-field.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
HEAD_BYTES=65536
SERVED_BYTES=15000
STRING_BYTES=16384 # with what ends it, the longest that a record holds
ROUNDS=6
fleet_open "$1"
trap fleet_close EXIT
failed=0

# bytes N: prints so many bytes
bytes() { head -c "$1" /dev/zero | tr '\0' b; }
# ask ARGUMENT...: sends a request and prints its status and outcome
ask() {
	curl -s -m 3 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' -H "Host: h.example" \
		-H "X-Attempt-Id: long$#" -H "X-Deadline-Ms: 900" "$@"
	tr -d '\r' <"$fleet_dir/head" | sed -n 's/^Kumquatrock-Outcome: / /p'
}
# field N URL: asks with a field of so many bytes
field() {
	{
		printf 'X-Long: '
		bytes "$1"
	} >"$fleet_dir/field"
	ask -H "@$fleet_dir/field" "$2"
}
runs() {
	curl -s -m 2 "http://$fleet_net.1.1:9001/fake/counts" | sed -n 's/^runs //p'
}
expect() {
	[ "$2" = "$3" ] || fleet_fail "$1: wanted $2, got $3"
}

dialect_platform
fleet_daemon 1 1
dialect_target 1 1
limits="{\"resource_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},
\"specification\":{\"max_header_bytes\":$HEAD_BYTES}}"
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe),$limits")" >"$fleet_dir/code"
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1
url=http://$fleet_first/p/1
is_served() { [ "$(field $SERVED_BYTES "$url")" = 200 ]; }
fleet_wait_until 5 is_served || fleet_fail "no request is served"
before=$(runs)
i=0
while [ $i -lt $ROUNDS ]; do
	for n in $STRING_BYTES 20000; do
		expect "a field of $n bytes" "431 not-run" "$(field $n "$url")"
		expect "a path of $n bytes" "431 not-run" "$(ask "$url$(bytes $n)")"
	done
	i=$((i + 1))
done
expect "requests that ran" "$before" "$(runs)"
{
	printf 'X-Long: '
	bytes $STRING_BYTES
} >"$fleet_dir/field"
expect "statuses and connections of two requests" "431 1 200 0" "$(curl -s -m 5 -H "Host: h.example" -H "X-Attempt-Id: one" \
	-H "X-Deadline-Ms: 900" -H "@$fleet_dir/field" -o "$fleet_dir/body" -w '%{http_code} %{num_connects} ' "$url" \
	--next -s -H "Host: h.example" -H "X-Attempt-Id: two" -H "X-Deadline-Ms: 900" -o "$fleet_dir/body" \
	-w '%{http_code} %{num_connects}' "$url")"
exit $failed
