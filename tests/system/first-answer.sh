#!/bin/sh
# Long requests come before two targets have given their first answers, which take 0.2 s:
# none is refused, as the targets have room for all.
# usage: first-answer.sh BUILD-DIRECTORY [once]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
REQUESTS=5 # of each kind at each daemon
TRIES=5
TOO_LATE=2 # exit status: no request came before the first answers
if [ $# = 1 ]; then
	for _ in $(seq $TRIES); do
		sh "$0" "$1" once
		code=$?
		[ $code = $TOO_LATE ] || exit $code
	done
	exit $code
fi
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ROUTE ID DAEMON: sends a request and notes the status and reason that it gets
ask() {
	ask_result=$(curl -s -m 20 -X POST -o /dev/null -w '%{http_code} reason=%header{kumquatrock-reason}' -H "Host: h.example" \
		-H "X-Attempt-Id: $2" -H "X-Deadline-Ms: 15000" "http://$fleet_net.1.$3:8400/$1/1")
	echo "$2 status=$ask_result" >>"$fleet_dir/answers"
}

long() { sed 's/"timeout_ms":900/"timeout_ms":16000/; s/"target_latency_ms":300/"target_latency_ms":6000/'; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent),$(dialect_route_json /s/ safe)" | long)" >"$fleet_dir/code"
for n in 1 2; do
	fleet_daemon 1 $n
	dialect_target 1 $n --service-us 2000000 --slots 200 --connect-us 200000
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || exit 1
asked=
for n in $(seq $REQUESTS); do
	for daemon in 1 2; do
		ask n "n$daemon-$n" $daemon &
		asked="$asked $!"
		ask s "s$daemon-$n" $daemon &
		asked="$asked $!"
	done
done
# shellcheck disable=SC2086
wait $asked
[ "$(grep -c 'status=200' "$fleet_dir/answers")" = $((4 * REQUESTS)) ] || fleet_fail "not all requests were answered"
[ $failed = 0 ] || sort "$fleet_dir/answers"
grep -q 'event=512 .* queued=[1-9].* limit=1 ' "$fleet_dir"/daemon-*.log || {
	echo "no request came before the first answers"
	[ $failed = 1 ] || exit $TOO_LATE
}
exit $failed
