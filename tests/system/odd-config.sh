#!/bin/sh
# A configuration with a split among nine services, long names and one invalid route comes
# into force on every daemon; only the invalid route is refused.
# usage: odd-config.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
nodes="1.1 1.2 2.1 2.2"

# status NODE HOST PATH: prints the status of an answer; its head is in $fleet_dir/head
status() {
	curl -s -m 2 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' -H "Host: $2" \
		-H "X-Attempt-Id: t$(date +%N)" -H 'X-Deadline-Ms: 1500' "http://$fleet_net.$1:8400$3"
}
is() { [ "$(status "$1" "$2" "$3")" = "$4" ]; }
repeat() { head -c "$2" /dev/zero | tr '\0' "$1"; }
# route NAME HOST PREFIX SERVICES: prints a route
route() {
	echo "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"$1\"},\"specification\":{\"host\":\"$2\",\"path_prefix\":\"$3\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":600,\"priority\":1,$4,\"max_attempts\":2}}"
}

dialect_fleet "$(echo $nodes | tr ' ' ,)" || fleet_fail "the fleet is not complete"
parts='{"service":"codebook","weight":1.5}'
for i in 1 2 3 4 5 6 7 8; do
	parts="$parts,{\"service\":\"other-$i\",\"weight\":0}"
done
long_host=$(repeat h 250).example
long_path=/$(repeat p 400)/
routes="$(route split split.example /p/ "\"traffic_split\":[$parts]")"
routes="$routes,$(route long "$long_host" "$long_path" '"service":"codebook"')"
routes="$routes,$(route whole odd.example / '"service":"codebook"')"
routes="$routes,$(route odd odd.example /odd/ '"traffic_split":[["codebook",1]]')"
dialect_version=2
code=$(dialect_store_request PUT config/main "$(dialect_config_json "$routes")")
[ "$code" = 200 ] || fleet_fail "the configuration was not stored: $code"
sleep 2
for node in $nodes; do
	is "$node" split.example /p/x 200 || fleet_fail "$node: the split route is not served"
	is "$node" "$long_host" "${long_path}x" 200 || fleet_fail "$node: the route with long names is not served"
	is "$node" odd.example /x 200 || fleet_fail "$node: the route beside the invalid one is not served"
	is "$node" odd.example /odd/x 503 || fleet_fail "$node: the invalid route is not refused"
	grep -q 'Kumquatrock-Reason: invalid-route' "$fleet_dir/head" || fleet_fail "$node: the refusal has another reason"
	is "$node" h.example /p/x 404 || fleet_fail "$node: the route that was removed is still there"
	[ "$(fleet_metric "${node%.*}" "${node#*.}" config_parts_invalid)" = 1 ] || fleet_fail "$node: invalid parts are not counted"
done
[ $failed = 0 ] && echo ok
exit $failed
