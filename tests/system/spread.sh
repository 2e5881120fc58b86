#!/bin/sh
# Configuration that passes from daemon to daemon over several hops stays the same to
# the byte: every daemon serves the services published before it started.
# usage: spread.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_tool publish examples/codebook.json examples/checkout.json >/dev/null 2>&1 || exit 1
for dc in 1 2; do
	for n in 1 2 3 4; do
		fleet_instance $dc $n codebook
	done
done
fleet_ready codebook || exit 1
failed=0
for dc in 1 2; do
	for n in 1 2 3 4; do
		fleet_first=$fleet_net.$dc.$n:8400
		fleet_ready codebook || {
			echo "daemon 127.0.$dc.$n does not serve codebook"
			failed=1
		}
	done
done
if grep -h "event=321" "$fleet_dir"/daemon-*.log; then
	echo "a daemon could not read a configuration object (event 321)"
	failed=1
fi
exit $failed
