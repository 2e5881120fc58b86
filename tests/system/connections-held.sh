#!/bin/sh
# A target at its limit of connections that is held up for 10 to 40 ms again and again never
# gets a connection before it has read the end of one that its daemon closed.
# usage: connections-held.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_first=$fleet_net.4.1:8400
fleet_instance 4 1 codebook --connections 20 --slots 8 --fixed 1
fleet_instance 4 2 checkout
fleet_tool publish examples/codebook.json >/dev/null 2>&1 || exit 1
fleet_ready codebook || exit 1
"$1/bench-load" --to $fleet_net.4.1:8400 --to $fleet_net.4.2:8400 --service codebook --seed 1 \
	--call POST:/pairing:1:once --call GET:/codes:1:repeat --rate 300 --seconds 4 \
	--figures >"$fleet_dir/figures" &
load=$!
for n in $(seq 80); do
	# shellcheck disable=SC2154
	kill -STOP "$fleet_target_4_1"
	sleep 0.0$((n % 4 + 1))
	kill -CONT "$fleet_target_4_1"
	sleep 0.02
done
wait $load || exit 1
refused=$(curl -s http://$fleet_net.4.1:9001/fake/counts | sed -n "s/^connections_refused //p")
unknown=$(sed -n 's/^unknown \([0-9]*\) .*/\1/p' "$fleet_dir/figures")
whole=$(sed -n 's/^whole \([0-9]*\) .*/\1/p' "$fleet_dir/figures")
echo "whole=$whole unknown=$unknown refused=$refused"
[ "$unknown" = 0 ] && [ "$refused" = 0 ] && [ "$whole" -gt 0 ]
