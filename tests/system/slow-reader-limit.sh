#!/bin/sh
# A caller that reads slowly gets its answer whole after the time limit of the route, up to its
# own deadline.
# usage: slow-reader-limit.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=3
BYTES=30000000 # beyond what sockets hold
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ID BYTES-PER-S DEADLINE-MS
ask() {
	result=$(curl -s -m 15 --limit-rate "$2" -o /dev/null -w '%{http_code} %{size_download} %{time_total}' -H "Host: h.example" \
		-H "X-Attempt-Id: $1" -H "X-Deadline-Ms: $3" "http://$fleet_net.1.1:8400/p/?work_ms=10&bytes=$BYTES")
	echo "$1 $result" >>"$fleet_dir/answers"
}
ask_all() { # NAME BYTES-PER-S DEADLINE-MS
	asked=
	for i in $(seq $REQUESTS); do
		ask "$1-$i" "$2" "$3" &
		asked="$asked $!"
	done
}

dialect_fleet 1.1,1.2 --slots 200 || fleet_fail "the targets are not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$fleet_net.1.1:8400/p/"
dialect_version=2
dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /p/ safe)" | sed 's/"timeout_ms":900/"timeout_ms":2000/')" >"$fleet_dir/code"
ask_all slow 5M 12000
# shellcheck disable=SC2086
wait $asked
ask_all late 3M 4000
# shellcheck disable=SC2086
wait $asked
sort "$fleet_dir/answers"
[ "$(grep -c "^slow-.* 200 $BYTES " "$fleet_dir/answers")" = $REQUESTS ] || fleet_fail "slow readers did not get their answers whole"
ends=$(sed -n 's/.*event=510 .*request=late-.* outcome=broken .* us=\([0-9]*\) .*/\1/p' "$fleet_dir"/daemon-1-1.log)
[ "$(echo "$ends" | awk '$1 >= 3900000 && $1 < 4500000' | wc -l)" = $REQUESTS ] || fleet_fail "answers ended after $ends us, not by the callers' deadline"
exit $failed
