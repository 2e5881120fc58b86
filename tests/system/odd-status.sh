#!/bin/sh
# Targets answer with status lines that the protocol doesn't have, after the request has
# run: the caller gets 502 or 504 of its daemon, and work that may run once runs once.
# usage: odd-status.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
KINDS=24 # entries of tests/fake/target/status.c
fleet_open "$1"
trap fleet_close EXIT
failed=0
at=$fleet_net.1.1:8400

set_targets() {
	for n in 1 2; do
		curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$n:9001/fake/set?$1"
	done
}
ran() { cat "$fleet_dir"/target-1-?.history | grep -c "run .*key=$1 "; }
# ask METHOD ROUTE ID: sends a request, notes its status and its head
ask() {
	: >"$fleet_dir/head"
	status=$(curl -s -m 3 -X "$1" -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' \
		-H "Host: h.example" -H "X-Attempt-Id: $3" -H "X-Deadline-Ms: 900" "http://$at/$2/1")
}
# check KIND ROUTE ID: judges the answer to a request
check() {
	asked=$((asked + 1))
	runs=$(ran "$3")
	case $status in
	502 | 504) own=$((own + 1)) ;;
	*) fleet_fail "kind $1, $2: status $status: $(head -n 1 "$fleet_dir/head" | tr -d '\r')" ;;
	esac
	! grep -qi '^X-Server-Signature:' "$fleet_dir/head" || fleet_fail "kind $1, $2: the answer is signed"
	[ "$runs" -ge 1 ] || fleet_fail "kind $1, $2: not run"
	[ "$2" = s ] || [ "$runs" = 1 ] || fleet_fail "kind $1, $2: ran $runs times"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json \
	"$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)")" >"$fleet_dir/code"
for n in 1 2; do
	fleet_daemon 1 $n
	dialect_target 1 $n --service-us 500
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
fleet_wait_until 5 curl -sf -m 2 -o /dev/null -H "Host: h.example" -H "X-Attempt-Id: first" -H "X-Deadline-Ms: 900" "http://$at/s/1"
asked=0 own=0 kept=0
for kind in $(seq $KINDS); do
	set_targets "status_kind=$kind&status_next=10"
	ask POST n "n$kind"
	check "$kind" n "n$kind"
	ask GET s "s$kind"
	check "$kind" s "s$kind"
	set_targets "status_next=0"
	ask GET s "after$kind"
	[ "$status" != 200 ] || kept=$((kept + 1))
done
echo "requests $asked, answered by the daemon $own, answered by targets between them $kept"
[ $kept = $KINDS ] || fleet_fail "only $kept of $KINDS requests between them were answered"
exit $failed
