#!/bin/sh
# Two fleet keys valid at once: at each step of a rotation calls pass between all
# daemons; a daemon with another key is refused, and what is forged is counted
# and changes nothing.
# usage: keys.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
old='"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"'
new='"ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"'
other='"0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f0f"'
failed=0

# expect WHAT TEST-ARGUMENTS...
expect() {
	what=$1
	shift
	if [ "$@" ]; then
		echo "ok $what"
	else
		echo "FAILED $what: $*"
		failed=1
	fi
}
runs() { # N
	curl -s -m 1 "http://$fleet_net.1.$1:9001/fake/counts" | sed -n 's/^runs //p'
}
# Metric of daemons 1 to 3 together
sum() {
	total=0
	for n in 1 2 3; do
		total=$((total + $(fleet_metric 1 $n "$1")))
	done
	echo $total
}
members() { # N: members that daemon N holds for alive, itself included
	curl -s -m 1 "http://$fleet_net.1.$1:8420/v1/members" | grep -c '"state":"alive"'
}
close() {
	fleet_signal KILL "$fleet_pids"
	# shellcheck disable=SC2086
	wait $fleet_pids 2>/dev/null
	rm -rf "$fleet_dir"
}
# open KEYS-1 KEYS-2 KEYS-3: a fleet of three daemons with these keys
open() {
	fleet_open "$build"
	fleet_platform || exit 1
	fleet_tool publish examples/codebook.json >"$fleet_dir/operators.log" 2>&1 || exit 1
	n=0
	for fleet_keys in "$@"; do
		n=$((n + 1))
		fleet_instance 1 $n codebook
	done
}
knows_all() {
	for n in 1 2 3; do
		[ "$(members $n)" = 3 ] || return 1
		[ "$(curl -s -m 1 "http://$fleet_net.1.$n:8420/v1/targets" |
			grep -c '"service"')" = 3 ] || return 1
	done
}
# passes WHAT: from each daemon calls reach each target, and none is lost
passes() {
	fleet_wait_until 10 knows_all
	expect "$1: each knows all" $? = 0
	for from in 1 2 3; do
		before="$(runs 1) $(runs 2) $(runs 3)"
		"$build/bench-load" --to "$fleet_net.1.$from:8400" --service codebook --seed $from \
			--rate 200 --seconds 1 --call GET:/codes/1:1:repeat \
			--call POST:/pairing:1:once --figures \
			--history "$fleet_dir/load$from.history" >"$fleet_dir/figures" || failed=1
		expect "$1: from $from, whole of all" "$(sed -n 's/^whole //p' "$fleet_dir/figures")" = \
			"$(sed -n 's/^calls //p' "$fleet_dir/figures")"
		reached=$(echo "$before $(runs 1) $(runs 2) $(runs 3)" |
			awk '{ print ($4 > $1) + ($5 > $2) + ($6 > $3) }')
		expect "$1: from $from, targets reached" "$reached" = 3
	done
	"$build/history-check" --planned --measure codebook=2 --cold codebook=4 \
		"$fleet_dir"/*.history >"$fleet_dir/verdict" || {
		cat "$fleet_dir/verdict"
		failed=1
	}
}

build=$1
trap close EXIT
if [ -n "${KEYS_MIXED-}" ]; then
	open "$new, $old" "$old, $new" "$old"
	passes "new key signs beside a daemon without it"
	exit $failed
fi
open "$old" "$old, $new" "$old"
passes "new key added"
expect "new key added: datagrams refused" "$(sum datagrams_refused_total)" = 0
close
open "$new, $old" "$new" "$new, $old"
passes "old key removed"
expect "old key removed: datagrams refused" "$(sum datagrams_refused_total)" = 0
close
open "$new, $old" "$old, $new" "$old, $new"
passes "new key signs"
expect "new key signs: datagrams refused" "$(sum datagrams_refused_total)" = 0

# A fourth daemon has none of their keys. The platform tells them of it, so that
# they call it.
fleet_keys=$other
fleet_instance 1 4 codebook
# call FROM KEY: status of a call
call() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -X POST -H 'Host: codebook' \
		-H "Call-Key: $2" -H 'Call-Kind: once' "http://$fleet_net.1.$1:8400/pairing"
}
i=0
refused() {
	i=$((i + 1))
	call 4 other-4-$i >"$fleet_dir/code"
	for n in 1 2 3; do
		[ "$(fleet_metric 1 $n datagrams_refused_total)" -gt 0 ] || return 1
	done
	[ "$(fleet_metric 1 4 peer_records_refused_total)" -gt 0 ]
}
fleet_wait_until 10 refused
expect "other key: its datagrams refused by all, their records by it" $? = 0
registered() { [ "$(fleet_status 1 4 registered)" = true ]; }
fleet_wait_until 10 registered
expect "other key: registered with the platform" $? = 0
lost=0
for from in 1 2 3; do
	for n in 1 2 3 4 5 6 7 8; do
		[ "$(call $from other-$from-$n)" = 200 ] || lost=$((lost + 1))
	done
done
expect "other key: calls of others lost" $lost = 0
served_of_others() {
	grep -h ' run .*key=other-[123]-' "$fleet_dir/target-1-4.history" | wc -l
}
runs_of_stranger() {
	cat "$fleet_dir"/target-1-[123].history | grep -c ' run .*key=other-4-'
}
expect "other key: calls that it got" "$(served_of_others)" = 0
expect "other key: calls of its own that others took" "$(runs_of_stranger)" = 0
# shellcheck disable=SC2154
kill -9 "$fleet_daemon_1_4"
wait "$fleet_daemon_1_4" 2>/dev/null
gone() {
	[ "$(fleet_status 1 1 members)" = 3 ]
}
fleet_wait_until 10 gone
expect "other key: gone for the others once killed" $? = 0

# Forged datagrams of several lengths, also longer than any that is sent
state() {
	curl -s -m 1 "http://$fleet_net.1.1:8420/v1/status"
}
before=$(fleet_metric 1 1 datagrams_refused_total)
held=$(state)
for bytes in 1 16 64 300 1400; do
	head -c $bytes "$build/kumquatrockd" >"$fleet_dir/forged"
	bash -c "cat '$fleet_dir/forged' >/dev/udp/$fleet_net.1.1/8410"
done
sleep 0.5
expect "forged: refused" "$(fleet_metric 1 1 datagrams_refused_total)" = $((before + 5))
for n in 1 2 3; do
	before=$(fleet_metric 1 $n peer_records_refused_total)
	printf '\200\000\000\020forged and no rpc' >"$fleet_dir/forged"
	bash -c "cat '$fleet_dir/forged' >/dev/tcp/$fleet_net.1.$n/8410"
	sleep 0.3
	expect "forged: record refused by $n" "$(fleet_metric 1 $n peer_records_refused_total)" -gt "$before"
done
expect "forged: nothing changes" "$(state)" = "$held"
exit $failed
