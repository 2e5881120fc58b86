#!/bin/sh
# Compares no forwarding proxy, one with libsoup and one with the HTTP adapter
# of the daemon, by the same calls in the same run. Prints latencies and the
# processor time of the proxy per call, in us.
# usage: hop.sh BUILD-DIRECTORY [RATE...]
set -eu
o=$1
shift
[ $# -gt 0 ] || set -- 325 2700
ip=127.0.0.1
port=${HOP_PORT:-18080}
seconds=${HOP_SECONDS:-5}
ticks=$(getconf CLK_TCK)
pids=
stop() {
	# shellcheck disable=SC2086
	[ -z "$pids" ] || kill $pids 2>/dev/null || :
}
trap stop EXIT

"$o/fake-target" --ip=$ip --port="$port" --service=codebook --dc=luzon-a \
	--slots=4096 --connections=4096 --connect-us=0 --service-us=0 \
	--fixed=1 --body-bytes=128 --keep-keys=0 >/dev/null &
pids=$!
"$o/bench-hop-soup" $ip $((port + 1)) $ip "$port" &
soup=$!
"$o/bench-hop-http" $ip $((port + 2)) $ip "$port" &
http=$!
pids="$pids $soup $http"
for p in 0 1 2; do
	curl -s -o /dev/null --retry 50 --retry-connrefused --retry-delay 0 \
		"http://$ip:$((port + p))/x"
done

cpu() {
	[ -n "$1" ] || { echo 0 && return; }
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# measure NAME PORT PID RATE METHOD
measure() {
	before=$(cpu "$3")
	"$o/bench-load" --to=$ip:"$2" --straight --service=codebook \
		--call="$5:/x:1:repeat" --rate="$4" --seconds="$seconds" \
		--connections=64 --figures |
		sed -n -E "s/^(calls|whole|p50|p99|p999|late_p99) /hop-$1-$5-$4-&/p"
	after=$(cpu "$3")
	[ -z "$3" ] || awk -v a="$after" -v b="$before" -v t="$ticks" \
		-v n="$(($4 * seconds))" -v name="hop-$1-$5-$4-cpu" \
		'BEGIN { print name, (a - b) / t / n * 1e6, "us/call" }'
}

for rate; do
	for method in GET POST; do
		measure none "$port" "" "$rate" $method
		measure soup $((port + 1)) "$soup" "$rate" $method
		measure http $((port + 2)) "$http" "$rate" $method
	done
done
