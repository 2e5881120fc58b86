#!/bin/sh
# Callers that end their sending side after their requests get every answer; callers that
# close their connections, at once or later, get no work done for them.
# usage: half-close.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CONNECTIONS=4
WORK_MS=700
LEFT_MS=2000 # work of requests whose callers leave
GONE_MS=500 # after a caller has left, no work is done for it
fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
failed=0

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":6000/g; s/"target_latency_ms":300/"target_latency_ms":3000/g')" >"$fleet_dir/code"
fleet_daemon 1 1
fleet_daemon 1 2
dialect_target 1 2 --slots 200
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 1 || fleet_fail "the target is not known"

# play ROUTE WORK_MS [OPTION]...: prints what callers of a route got
play() {
	path="/$1/1?work_ms=$2"
	shift 2
	"$fleet_build/fake-caller" --to "$fleet_first" --host h.example --path "$path" --seconds 1 --half-close $CONNECTIONS "$@"
}
# expect NAME REQUESTS OUTPUT: all requests were answered whole, with status 200
expect() {
	echo "$1: $3"
	case $3 in
	"sent $2 whole $2 error 0 "*) ;;
	*) fleet_fail "$1: not all answers came" ;;
	esac
}
expect "safe" $CONNECTIONS "$(play s $WORK_MS)"
expect "safe, kept" $CONNECTIONS "$(play s $WORK_MS --kept)"
expect "safe, several at once" $((CONNECTIONS * 3)) "$(play s $WORK_MS --requests 3 --kept)"
expect "not idempotent" $CONNECTIONS "$(play n $WORK_MS --method POST)"
expect "not idempotent, several at once" $((CONNECTIONS * 3)) "$(play n $WORK_MS --method POST --requests 3)"
expect "not idempotent, kept" $CONNECTIONS "$(play n $WORK_MS --method POST --kept)"

# worked_on MS: prints how many requests ran, and how many of them for longer than so many ms
worked_on() {
	awk -v most=$(($1 * 1000)) '{ key = ""; for (i = 4; i <= NF; i++) if ($i ~ /^key=/) key = $i }
	$3 == "run" { at[key] = $1; n++ }
	($3 == "done" || $3 == "cut") && key in at { late += $1 - at[key] > most; delete at[key] }
	END { for (key in at) late++; print n + 0, late + 0 }' "$fleet_dir/target-1-2.history"
}
# leave METHOD LEAVE_MS RUN: so many requests of callers that leave run, none for too long
leave() {
	: >"$fleet_dir/target-1-2.history"
	play s $LEFT_MS --method "$1" --requests 3 --leave-ms "$2" >"$fleet_dir/left"
	sleep 2.5
	# 50 ms pass from the requests to the end of the sending side
	result=$(worked_on $((50 + $2 + GONE_MS)))
	echo "$1, callers that leave $2 ms after the end of their sending side: requests run, of these for too long: $result"
	[ "$result" = "$3 0" ] || fleet_fail "$1: work for callers that have left"
}
leave GET 0 $((CONNECTIONS * 3))
leave GET 300 $((CONNECTIONS * 3))
# a request behind a POST waits, unread, for the end of that
leave POST 0 $CONNECTIONS
leave POST 300 $CONNECTIONS
exit $failed
