#!/bin/sh
# A daemon ends as planned while another, which was held up meanwhile, still sends calls
# to it: these were not run, so that unsafe requests are tried elsewhere.
# usage: stop-unread.sh BUILD-DIRECTORY [ROUNDS]
set -u
. scripts/fleet.sh
. scripts/dialect.sh
CALLERS=20
REQUESTS=30 # of each caller, ten a second
ROUNDS_MAX=8  # until a call lay unread
rounds=${2-3}
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask_all NAME: starts callers that send unsafe requests to the daemon that goes on, each
# on a connection that it keeps
ask_all() {
	asked=
	for i in $(seq $CALLERS); do
		for k in $(seq $REQUESTS); do
			[ "$k" = 1 ] || echo next
			echo "url = http://$fleet_net.1.2:8400/n/1"
			printf '%s\n' 'request = POST' 'header = "Host: h.example"' 'header = "X-Deadline-Ms: 2500"' \
				"header = \"X-Attempt-Id: $1-$i-$k\"" 'output = /dev/null' 'silent' 'max-time = 5' \
				"write-out = \"$1-$i-$k %{http_code}\\n\""
		done >"$fleet_dir/ask-$i"
		curl --rate 600/m -K "$fleet_dir/ask-$i" >>"$fleet_dir/answers-$i" &
		asked="$asked $!"
	done
}
has_run() { cat "$fleet_dir"/target-*.history | grep -q " run .* key=$1\\( \\|\$\\)"; }

unread_calls() { grep -c 'event=511 .*outcome=not-run .*reason=no-target' "$fleet_dir/daemon-1-2.log"; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":2500/')" >"$fleet_dir/code"
for n in 1 2 3; do
	fleet_daemon 1 $n
	dialect_target 1 $n --service-us 2000 --slots 100
done
round=0
while [ $round -lt "$rounds" ] || { [ $round -lt $ROUNDS_MAX ] && [ "$(unread_calls)" = 0 ]; }; do
	round=$((round + 1))
	fleet_wait_until 10 curl -sf -m 2 -o /dev/null -X POST -H "Host: h.example" -H "X-Attempt-Id: first$round" \
		-H "X-Deadline-Ms: 900" "http://$fleet_net.1.2:8400/n/1" || fleet_fail "no answer before the stop"
	fleet_targets 3 || fleet_fail "the targets are not known"
	sleep 3.5 # until the target is no longer cold
	ask_all "round$round"
	sleep 1
	# shellcheck disable=SC2154
	kill "$fleet_daemon_1_1"
	# shellcheck disable=SC2154
	kill -STOP "$fleet_daemon_1_2"
	wait "$fleet_daemon_1_1"
	code=$?
	[ $code = 0 ] || fleet_fail "the daemon ended with $code"
	kill -CONT "$fleet_daemon_1_2"
	# shellcheck disable=SC2086
	wait $asked
	fleet_daemon 1 1
done
cat "$fleet_dir"/answers-* >"$fleet_dir/answers"
untrue=0 refused=0
while read -r id code; do
	[ "$code" != 504 ] && [ "$code" != 502 ] || has_run "$id" || untrue=$((untrue + 1))
	[ "$code" != 503 ] || ! has_run "$id" || refused=$((refused + 1))
done <"$fleet_dir/answers"
unread=$(unread_calls)
twice=$(cat "$fleet_dir"/target-*.history | sed -n 's/.* run .* key=\(round[^ ]*\).*/\1/p' | sort | uniq -d | wc -l)
sed 's/-[0-9-]*//' "$fleet_dir/answers" | sort | uniq -c
echo "not taken by the daemon that ended: $unread; unknown though no target ran them: $untrue"
[ "$unread" -gt 0 ] || fleet_fail "no call was sent to the daemon that ended"
[ $refused = 0 ] || fleet_fail "$refused requests were refused that had run"
[ "$twice" = 0 ] || fleet_fail "$twice requests ran twice"
[ $untrue = 0 ] || fleet_fail "requests that no target ran were reported as unknown"
exit $failed
