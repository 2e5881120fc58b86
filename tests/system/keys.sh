#!/bin/sh
# Two fleet keys are valid at once: at each step of a key rotation requests pass
# between all daemons. A daemon with an unknown key is refused, and forged
# datagrams and records are counted and change nothing. KEYS_MIXED checks the
# fleet of keys-mixed.sh instead.
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
# Prints how many requests the target beside daemon N ran.
runs() { # N
	curl -s -m 1 "http://$fleet_net.1.$1:9001/fake/counts" | sed -n 's/^runs //p'
}
# Prints the sum of a metric over daemons 1 to 3.
sum_metric() { # NAME
	total=0
	for n in 1 2 3; do
		total=$((total + $(fleet_metric 1 $n "$1")))
	done
	echo $total
}
# Prints how many members daemon N knows as alive, itself included.
count_alive() { # N
	curl -s -m 1 "http://$fleet_net.1.$1:8420/v1/members" | grep -c '"state":"alive"'
}
close_fleet() {
	fleet_signal KILL "$fleet_pids"
	# shellcheck disable=SC2086
	wait $fleet_pids 2>/dev/null
	rm -rf "$fleet_dir"
}
# open_fleet KEYS-1 KEYS-2 KEYS-3: starts three instances whose daemons have these keys
open_fleet() {
	fleet_open "$build"
	fleet_platform || exit 1
	fleet_tool publish examples/codebook.json >"$fleet_dir/operators.log" 2>&1 || exit 1
	n=0
	for fleet_keys in "$@"; do
		n=$((n + 1))
		fleet_instance 1 $n codebook
	done
}
# True if daemons 1 to 3 each know three members as alive and three targets.
all_known() {
	for n in 1 2 3; do
		[ "$(count_alive $n)" = 3 ] || return 1
		[ "$(curl -s -m 1 "http://$fleet_net.1.$n:8420/v1/targets" |
			grep -c '"service"')" = 3 ] || return 1
	done
}
# check_calls WHAT: requests to each daemon reach each target, and all of them get their
# whole answer
check_calls() {
	fleet_wait_until 10 all_known
	expect "$1: each daemon knows all members and targets" $? = 0
	for from in 1 2 3; do
		before="$(runs 1) $(runs 2) $(runs 3)"
		"$build/bench-load" --to "$fleet_net.1.$from:8400" --service codebook --seed $from \
			--rate 200 --seconds 1 --call GET:/codes/1:1:repeat \
			--call POST:/pairing:1:once --figures \
			--history "$fleet_dir/load$from.history" >"$fleet_dir/figures" || failed=1
		expect "$1: whole answers of requests to $from" "$(sed -n 's/^whole //p' "$fleet_dir/figures")" = \
			"$(sed -n 's/^calls //p' "$fleet_dir/figures")"
		reached=$(echo "$before $(runs 1) $(runs 2) $(runs 3)" |
			awk '{ print ($4 > $1) + ($5 > $2) + ($6 > $3) }')
		expect "$1: targets reached by requests to $from" "$reached" = 3
	done
	"$build/history-check" --planned --measure codebook=2 --cold codebook=4 \
		"$fleet_dir"/*.history >"$fleet_dir/verdict" || {
		cat "$fleet_dir/verdict"
		failed=1
	}
}

build=$1
trap close_fleet EXIT
if [ -n "${KEYS_MIXED-}" ]; then
	open_fleet "$new, $old" "$old, $new" "$old"
	check_calls "new key signs before every daemon has it"
	exit $failed
fi
open_fleet "$old" "$old, $new" "$old"
check_calls "new key added"
expect "new key added: datagrams refused" "$(sum_metric datagrams_refused_total)" = 0
close_fleet
open_fleet "$new, $old" "$new" "$new, $old"
check_calls "old key removed"
expect "old key removed: datagrams refused" "$(sum_metric datagrams_refused_total)" = 0
close_fleet
open_fleet "$new, $old" "$old, $new" "$old, $new"
check_calls "new key signs"
expect "new key signs: datagrams refused" "$(sum_metric datagrams_refused_total)" = 0

# A fourth daemon has none of their keys. They learn of it from the platform, so that
# they send to it.
fleet_keys=$other
fleet_instance 1 4 codebook
# send FROM KEY: sends a request to daemon FROM and prints the HTTP status
send() {
	curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -X POST -H 'Host: codebook' \
		-H "Call-Key: $2" -H 'Call-Kind: once' "http://$fleet_net.1.$1:8400/pairing"
}
i=0
# Sends a request to daemon 4; true once daemons 1 to 3 refused its datagrams and it
# refused records of theirs.
both_refused() {
	i=$((i + 1))
	send 4 other-4-$i >"$fleet_dir/code"
	for n in 1 2 3; do
		[ "$(fleet_metric 1 $n datagrams_refused_total)" -gt 0 ] || return 1
	done
	[ "$(fleet_metric 1 4 peer_records_refused_total)" -gt 0 ]
}
fleet_wait_until 10 both_refused
expect "other key: its datagrams refused by all, their records by it" $? = 0
registered() { [ "$(fleet_status 1 4 registered)" = true ]; }
fleet_wait_until 10 registered
expect "other key: registered with the platform" $? = 0
not_ok=0
for from in 1 2 3; do
	for n in 1 2 3 4 5 6 7 8; do
		[ "$(send $from other-$from-$n)" = 200 ] || not_ok=$((not_ok + 1))
	done
done
expect "other key: requests to the others not answered with 200" $not_ok = 0
# Prints how many requests sent to the others ran at the target of daemon 4.
runs_at_other() {
	grep -h ' run .*key=other-[123]-' "$fleet_dir/target-1-4.history" | wc -l
}
# Prints how many requests sent to daemon 4 ran at the targets of the others.
runs_from_other() {
	cat "$fleet_dir"/target-1-[123].history | grep -c ' run .*key=other-4-'
}
expect "other key: requests that it got from the others" "$(runs_at_other)" = 0
expect "other key: requests of its own that the others ran" "$(runs_from_other)" = 0
# shellcheck disable=SC2154
kill -9 "$fleet_daemon_1_4"
wait "$fleet_daemon_1_4" 2>/dev/null
removed() {
	[ "$(fleet_status 1 1 members)" = 3 ]
}
fleet_wait_until 10 removed
expect "other key: no member of the others once killed" $? = 0

# Forged datagrams of several lengths, some longer than any that a daemon sends
status() {
	curl -s -m 1 "http://$fleet_net.1.1:8420/v1/status"
}
before=$(fleet_metric 1 1 datagrams_refused_total)
status_before=$(status)
for bytes in 1 16 64 300 1400; do
	head -c $bytes "$build/kumquatrockd" >"$fleet_dir/forged"
	bash -c "cat '$fleet_dir/forged' >/dev/udp/$fleet_net.1.1/8410"
done
sleep 0.5
expect "forged: datagrams refused" "$(fleet_metric 1 1 datagrams_refused_total)" = $((before + 5))
for n in 1 2 3; do
	before=$(fleet_metric 1 $n peer_records_refused_total)
	printf '\200\000\000\020forged and no rpc' >"$fleet_dir/forged"
	bash -c "cat '$fleet_dir/forged' >/dev/tcp/$fleet_net.1.$n/8410"
	sleep 0.3
	expect "forged: record refused by $n" "$(fleet_metric 1 $n peer_records_refused_total)" -gt "$before"
done
expect "forged: status is unchanged" "$(status)" = "$status_before"
exit $failed
