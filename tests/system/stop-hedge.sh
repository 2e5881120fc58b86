#!/bin/sh
# A daemon stops while the other target of the service is slow: no request that runs there is
# sent there once more, as a hedge that the daemon that stops refused.
# usage: stop-hedge.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
BEFORE=300
REQUESTS=10
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
failed=0
ask() { # ID
	curl -s -m 12 -o /dev/null -w '%{http_code}\n' -H "Host: codebook" "http://$fleet_first/$1" >"$fleet_dir/$1.code"
}
fleet_platform || exit 1
sed 's/"timeout_ms": [0-9]*/"timeout_ms": 9000/; s/"limit": 4/"limit": 100/; s/"retry_ratio": 0.1/"retry_ratio": 0.2/' examples/codebook.json >"$fleet_dir/codebook.json"
fleet_tool publish "$fleet_dir/codebook.json" >"$fleet_dir/publish.log" 2>&1 || {
	cat "$fleet_dir/publish.log"
	exit 1
}
fleet_daemon 1 1
for n in 2 3; do
	fleet_settings 1 $n | sed 's/"datacentre"/"grace_s": 6, "leave_ms": 2600, "datacentre"/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	[ $n = 2 ] && ends=$!
	fleet_target 1 $n codebook --service-us 20000 --slots 100 --fixed 1
done
fleet_ready codebook || exit 1
sleep 1
for i in $(seq $BEFORE); do
	ask "before-$i" &
	asked="${asked-} $!"
	sleep 0.01
done
# shellcheck disable=SC2086
wait $asked
for n in 2 3; do
	eval "lines_$n=$(grep -c ' run ' "$fleet_dir/target-1-$n.history")"
done
kill "$ends"
curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.3:9001/fake/set?straggle=50"
asked=
for i in $(seq $REQUESTS); do
	ask "late-$i" &
	asked="$asked $!"
	sleep 0.03
done
# shellcheck disable=SC2086
wait $asked
wait "$ends"
cat "$fleet_dir"/before-*.code "$fleet_dir"/late-*.code | sort | uniq -c
# shellcheck disable=SC2154
ran=$(($(grep -c ' run ' "$fleet_dir/target-1-3.history") - lines_3))
# shellcheck disable=SC2154
echo "late: $REQUESTS requests ran $(($(grep -c ' run ' "$fleet_dir/target-1-2.history") - lines_2)) times beside the daemon that stops, $ran times at the slow target"
[ "$(cat "$fleet_dir"/late-*.code | grep -c '^200$')" = $REQUESTS ] || fleet_fail "not all requests were served"
[ "$ran" -le $REQUESTS ] || fleet_fail "requests ran twice at the slow target"
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
