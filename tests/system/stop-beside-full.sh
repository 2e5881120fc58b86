#!/bin/sh
# A daemon stops whose target has room, while the two other targets of the service are full:
# calls of a fourth daemon's callers that the others can't take are served there, as long as
# their deadline comes before the end.
# usage: stop-beside-full.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
WORK_MS=200
BEFORE=240
REQUESTS=200 # each 10 ms
fleet_open "$1"
trap fleet_close EXIT
failed=0

ask() { # ID DAEMON ROUTE LEFT-MS
	curl -s -m 12 -X POST -o /dev/null -w '%{http_code} %{time_total}\n' -H 'Host: h.example' -H "X-Attempt-Id: $1" \
		-H "X-Deadline-Ms: $4" "http://$fleet_net.1.$2:8400/$3/?work_ms=$WORK_MS" >"$fleet_dir/$1.code"
}
ask_all() { # NAME N LEFT-MS
	asked=
	for i in $(seq "$2"); do
		ask "$1-$i" 4 n "$3" &
		asked="$asked $!"
		sleep 0.01
	done
}
count() { cat "$fleet_dir/$1"-*.code | grep -c "^$2 "; }
ran_at() { grep -c " run .* key=$2-" "$fleet_dir/target-1-$1.history"; }
events() { tail -n +$((lines + 1)) "$fleet_dir/daemon-1-4.log" | grep "event=$1 "; }

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":300/g')" >"$fleet_dir/code"
for n in 1 2 3 4; do
	fleet_settings 1 $n | sed 's/"leave_ms": 500/"leave_ms": 2600/' >"$fleet_dir/dc1-$n.json"
	fleet_run "daemon-1-$n" "$1/kumquatrockd" --settings "$fleet_dir/dc1-$n.json"
	eval "fleet_daemon_1_$n=$!"
	case $n in
	1) dialect_target 1 $n --slots 60 ;;
	[23]) dialect_target 1 $n --slots 2 ;;
	esac
done
fleet_await "http://$fleet_net.1.4:8430/v1/readiness"
fleet_first=$fleet_net.1.4:8400
fleet_targets 3 || fleet_fail "the targets are not known"
sleep 3
ask_all before $BEFORE 8500
# shellcheck disable=SC2086
wait $asked
ask_all warm $REQUESTS 8500
before=$asked
lines=$(wc -l <"$fleet_dir/daemon-1-4.log")
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
ask_all late $REQUESTS 3000
# shellcheck disable=SC2086
wait $asked $before
wait "$fleet_daemon_1_1"
for name in before warm late; do
	[ "$(count $name 503)$(count $name 504)" = 00 ] || fleet_fail "not all requests were served: $name"
	echo "$name: $(cat "$fleet_dir/$name"-*.code | cut -c1-3 | sort | uniq -c | tr '\n' ' ') median and longest $(cat "$fleet_dir/$name"-*.code | cut -d ' ' -f 2 | sort -n | awk '{ t[NR] = $1 } END { print t[int((NR + 1) / 2)], t[NR] }') s, ran $(ran_at 1 $name) at the one that stops, $(ran_at 2 $name) and $(ran_at 3 $name) at the others"
done
echo "attempts since SIGTERM: $(events 511 | sed -n 's/.* outcome=\([^ ]*\) .* reason=\([^ ]*\) .*/\1,\2/p' | sort | uniq -c | tr '\n' ' ')"
echo "attempts of a call: $(events 510 | grep 'request=late' | sed -n 's/.* attempts=\([^ ]*\) .*/\1/p' | sort -n | uniq -c | tr '\n' ' ')"
[ -z "${STOP_KEEP-}" ] || cp -r "$fleet_dir" "$STOP_KEEP"
exit $failed
