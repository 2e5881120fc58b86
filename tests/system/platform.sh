#!/bin/sh
# The platform is down under load, loses answers, breaks watches, replays old versions
# and returns to older ones. Requests are still served, new daemons get the
# configuration from peers, no daemon returns to an older version, and the platform
# is not overloaded when it is up again.
# usage: platform.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
IN_FORCE_S=4
CALLS_PER_S_MAX=100
NEWCOMERS="3.1 3.2 3.3 3.4 3.5 3.6 3.7 3.8"
daemons="1.1 1.2 1.3 2.1 2.2 2.3 $NEWCOMERS"
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
# check_load SEED SECONDS TO...: sends requests to daemons and expects a whole answer to each
check_load() {
	seed=$1 seconds=$2
	shift 2
	to=
	for at in "$@"; do
		to="$to --to $fleet_net.$at:8400"
	done
	# shellcheck disable=SC2086
	"$fleet_build/bench-load" --service codebook --seed "$seed" --rate 100 --seconds "$seconds" \
		--timeout-ms 2000 --history "$fleet_dir/load$seed.history" --figures \
		--call GET:/codes/1:1:repeat --call POST:/pairing:1:once $to >"$fleet_dir/figures" ||
		failed=1
	expect "load $seed: whole answers of all requests" "$(sed -n 's/^whole //p' "$fleet_dir/figures")" = \
		"$(sed -n 's/^calls //p' "$fleet_dir/figures")"
}
# Writes the status of every daemon to $fleet_dir/seen, again and again.
record_status() {
	urls=
	for at in $daemons; do
		urls="$urls http://$fleet_net.$at:8420/v1/status"
	done
	while :; do
		# shellcheck disable=SC2086
		curl -s -m 1 $urls
		sleep 0.2
	done >"$fleet_dir/seen"
}
# Prints the number of incarnations whose complete version decreased at some time.
count_went_down() {
	sed -n 's/.*"incarnation":"\([^"]*\)","complete":\([0-9]*\).*/\1 \2/p' "$fleet_dir/seen" |
		awk '{ if ($2 < last[$1]) down[$1]; last[$1] = $2 } END { for (i in down) n++; print n + 0 }'
}
# True if this field of the status has this value at every daemon.
status_everywhere() { # FIELD VALUE
	for at in $daemons; do
		[ "$(fleet_status "${at%.*}" "${at#*.}" "$1")" = "$2" ] || return 1
	done
}
# True if every daemon has this version or a later one complete.
complete_everywhere() { # VERSION
	for at in $daemons; do
		[ "$(fleet_status "${at%.*}" "${at#*.}" complete)" -ge "$1" ] || return 1
	done
}
# Publishes through the platform only: the tool hands the version to no daemon.
publish() {
	"$fleet_build/kumquatrock" --platform "$fleet_platform_at" publish examples/codebook.json \
		2>>"$fleet_dir/operators.log"
}
# check_in_force WHAT: publishes; the platform must accept it, and it must be in force at
# every daemon within IN_FORCE_S
check_in_force() {
	version=$(publish | sed -n 's/^accepted service codebook version //p')
	expect "$1: accepted" -n "$version"
	fleet_wait_until $IN_FORCE_S complete_everywhere "${version:-0}"
	expect "$1: in force within $IN_FORCE_S s" $? = 0
}
# Prints how many log lines report that the platform went back (event 312).
went_back_events() {
	cat "$fleet_dir"/daemon-*.log | grep -c 'event=312'
}

fleet_open "$1"
recorder=
trap '[ -z "$recorder" ] || kill $recorder; fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
publish >"$fleet_dir/published" || exit 1
for dc in 1 2; do
	fleet_tool dc in dc$dc --region r1 --ramp-ms 500 >"$fleet_dir/published" 2>&1
	for n in 1 2 3; do
		fleet_instance $dc $n codebook
	done
done
fleet_ready codebook && fleet_targets 6 || exit 1
record_status &
recorder=$!

# The platform is down during a whole run of the load tool
fleet_platform_mode down
check_load 1 3 1.1 2.1 2.2
# shellcheck disable=SC2154
kill -9 "$fleet_daemon_1_2"
wait "$fleet_daemon_1_2" 2>/dev/null
fleet_daemon 1 2
for at in $NEWCOMERS; do
	fleet_instance "${at%.*}" "${at#*.}" codebook
done
fleet_first=$fleet_net.1.2:8400
fleet_ready codebook
expect "replaced while the platform is down: serves calls" $? = 0
check_load 2 2 1.2 2.1
expect "replaced while the platform is down: not registered" \
	"$(fleet_status 1 2 registered)" = false

# The platform is up again
fleet_platform_mode ok
fleet_wait_until 10 status_everywhere registered true
expect "platform up again: every daemon is registered" $? = 0

# The platform loses answers after the write
for count in 1 2 3; do
	before=$(fleet_platform_count version)
	fleet_platform_mode "lose-answer&count=1"
	expect "lost answer $count: reported as accepted" "$(publish)" = \
		"accepted service codebook version $((before + 1))"
	expect "lost answer $count: written once" "$(fleet_platform_count version)" = $((before + 1))
done

# The platform breaks watches, then replays old versions in them
fleet_platform_mode break-watch
check_in_force "watches broken"
fleet_platform_mode old-watch
check_in_force "old watches"
sleep 1
expect "old watches: refused" "$(went_back_events)" -gt 0

# The platform returns to older versions
fleet_platform_mode ok
before=$(went_back_events)
fleet_platform_mode "version-back&by=3"
sleep 3
expect "older versions: refused" "$(went_back_events)" -gt "$before"
check_load 3 1 1.1 2.1 3.1

kill $recorder
recorder=
expect "incarnations in the recorded status" "$(grep -o '"incarnation":"[^"]*"' "$fleet_dir/seen" |
	sort -u | wc -l)" = 15
expect "daemons whose version went down" "$(count_went_down)" = 0
for kind in reads writes watches refusals; do
	expect "$kind a second at most" "$(fleet_platform_count ${kind}_peak)" -lt $CALLS_PER_S_MAX
done
"$1/history-check" --planned --timeout-ms 2000 --measure codebook=2 --cold codebook=4 \
	--grace-ms 4000 "$fleet_dir"/*.history || failed=1
exit $failed
