#!/bin/sh
# An instance that starts while the platform is down serves requests: its daemon gets
# the configuration from its peers, and they learn of its target from it.
# usage: newcomer.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_tool publish examples/codebook.json examples/checkout.json >/dev/null 2>&1 || exit 1
fleet_instance 1 1 codebook
fleet_instance 1 2 codebook
fleet_ready codebook && fleet_targets 2 || exit 1
curl -s -m 2 -X POST -o /dev/null "http://$fleet_platform_at/fake/fault?mode=down"
fleet_instance 2 1 checkout
fleet_await "http://$fleet_net.2.1:8420/v1/status" || exit 1
i=0
until [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: checkout' \
	"http://$fleet_net.1.2:8400/price")" = 200 ]; do
	i=$((i + 1))
	[ $i -lt 40 ] || {
		echo "requests to the new target's service still fail after 40 tries"
		exit 1
	}
	sleep 0.1
done
code=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: codebook' "http://$fleet_net.2.1:8400/x")
[ "$code" = 200 ] || {
	echo "the new daemon answered $code instead of 200"
	exit 1
}
