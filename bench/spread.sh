#!/bin/sh
# How the cost of the control plane grows with the number of daemons: time until
# a change is in force everywhere, calls to the platform, processor time, memory
# and bytes of datagrams.
# usage: spread.sh BUILD-DIRECTORY [DAEMONS]...
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
build=$1
shift
[ $# -gt 0 ] || set -- 20 60 180
IDLE_S=15
CHANGES=10

ticks() { awk '{ t += $14 + $15 } END { print t }' $(printf '/proc/%s/stat ' $fleet_daemons); }
rss() { awk '/VmRSS/ { if ($2 > m) m = $2 } END { print m }' $(printf '/proc/%s/status ' $fleet_daemons); }
metric() { # NAME: sum over daemons 1 to 3 of data centre 1, divided by 3
	for n in 1 2 3; do
		curl -s -m 2 "http://$fleet_net.1.$n:8420/metrics"
	done | awk -v n="kumquatrock_$1" '$1 == n { s += $2 } END { print s / 3 }'
}
now_ms() { date +%s%3N; }

for daemons in "$@"; do
	fleet_open "$build"
	trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
	fleet_platform
	fleet_tool publish examples/codebook.json >"$fleet_dir/operators.log" 2>&1
	per_dc=$((daemons / 6))
	start=$(now_ms)
	for dc in 1 2 3 4 5 6; do
		n=1
		while [ $n -le $per_dc ]; do
			fleet_daemon $dc $n
			n=$((n + 1))
		done
	done
	i=0
	until [ "$(grep -l 'complete=[1-9]' "$fleet_dir"/daemon-*.log | wc -l)" = $((6 * per_dc)) ] || [ $i = 300 ]; do
		sleep 0.1
		i=$((i + 1))
	done
	echo "spread.$daemons.start $(($(now_ms) - start)) ms"
	sleep 5
	before=$(ticks)
	out=$(metric datagram_bytes_out_total)
	in=$(metric datagram_bytes_in_total)
	sleep $IDLE_S
	after=$(ticks)
	out2=$(metric datagram_bytes_out_total)
	in2=$(metric datagram_bytes_in_total)
	hz=$(getconf CLK_TCK)
	echo "$before $after $((6 * per_dc)) $hz $IDLE_S $out $out2 $in $in2" |
		awk -v d="$daemons" '{ printf "spread.%s.idle_cpu %.3f percent\nspread.%s.bytes_out %.0f B/s\nspread.%s.bytes_in %.0f B/s\n",
			d, 100 * ($2 - $1) / $4 / $5 / $3, d, ($7 - $6) / $5, d, ($9 - $8) / $5 }'
	echo "spread.$daemons.rss_max $(rss) KB"
	reads=$(curl -s "http://$fleet_platform_at/fake/counts" | sed -n 's/^reads //p')
	c=1
	: >"$fleet_dir/times"
	while [ $c -le $CHANGES ]; do
		[ $((c % 2)) = 0 ] && state=in || state=out
		version=$("$build/kumquatrock" --platform "$fleet_platform_at" \
			dc $state dc6 --region r1 2>/dev/null | sed 's/.* version //')
		at=$(now_ms)
		sleep 2
		day=$(date -d "$(date +%F)" +%s)
		grep -h -m 1 "complete=$version " "$fleet_dir"/daemon-*.log |
			sed 's/^.*: \([0-9:.]*\): event.*/\1/' | tr : ' ' |
			awk -v at="$at" -v day="$day" '{ print ($1 * 3600 + $2 * 60 + $3 + day) * 1000 - at }' >>"$fleet_dir/times"
		c=$((c + 1))
	done
	sort -n "$fleet_dir/times" | awk -v d="$daemons" -v want=$((6 * per_dc * CHANGES)) '
		{ v[NR] = $1 }
		END { printf "spread.%s.in_force %d of %d\nspread.%s.p50 %.0f ms\nspread.%s.p99 %.0f ms\nspread.%s.max %.0f ms\n",
			d, NR, want, d, v[int(NR / 2) + 1], d, v[int(NR * .99)], d, v[NR] }'
	curl -s "http://$fleet_platform_at/fake/counts" | awk -v d="$daemons" -v r="$reads" -v c=$CHANGES '
		$1 == "reads" { printf "spread.%s.reads_per_change %.1f calls\n", d, ($2 - r) / c }
		$1 ~ /_peak/ { printf "spread.%s.platform_%s %s calls/s\n", d, $1, $2 }'
	fleet_signal TERM "$fleet_pids" || :
	sleep 2
	fleet_signal KILL "$fleet_pids" || :
	wait || :
	rm -rf "$fleet_dir"
done
trap - EXIT
