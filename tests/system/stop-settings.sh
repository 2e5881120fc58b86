#!/bin/sh
# Settings change over and over, by SIGHUP, just before a daemon is told to stop, while it
# stops, and at the daemon of another target beside it. Requests that run are answered by
# their targets, the others by these or refused at once, and the daemon ends in its grace.
# usage: stop-settings.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
RUNNING=10 # requests that run as the daemon is told to stop
WORK_MS=2500
GRACE_MS=6000
LATE_MS=500 # at which a refusal is late
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask ID WORK-MS: sends a request and notes status, time and signature
ask() {
	ask_got=$(curl -s -m 12 -X POST -o /dev/null -w '%{http_code} %{time_total} %header{x-server-signature}' -H 'Host: h.example' \
		-H "X-Attempt-Id: $1" -H 'X-Deadline-Ms: 8500' "http://$fleet_net.1.1:8400/n/1?work_ms=$2")
	echo "$1 $ask_got" >>"$fleet_dir/answers"
}
runs() { [ "$(cat "$fleet_dir"/target-1-?.history | grep -c ' run .* key=run-')" = $RUNNING ]; }
# change DC N NUMBER: gives a daemon other settings and sends SIGHUP
change() {
	case $3 in
	0 | 4) change_to='leave_ms=0 grace_s=1 connections=1 idle_ms=1 head_ms=1 ratio=0 slack=0 level=debug' ;;
	1 | 5) change_to='leave_ms=60000 grace_s=60 call_bytes=1048576 body_in_flight_bytes=65536 head_bytes=1024 slack=300' ;;
	2) change_to='leave_ms=3000 connections=2 idle_ms=100 window_s=0.1 measure_per_s=0 cold_slack=0' ;;
	*) change_to='' ;;
	esac
	fleet_settings "$1" "$2" | awk -v to="$change_to" '
		{ text = text $0 "\n" }
		END {
			n = split(to, part, " ")
			for (i = 1; i <= n; i++) {
				split(part[i], s, "=")
				group = s[1] ~ /^(ratio|slack|window_s)$/ ? "retries" : s[1] == "level" ? "log" : s[1] ~ /^(leave_ms|grace_s)$/ ? "" : "limits"
				value = s[1] == "level" ? "\"" s[2] "\"" : s[2]
				if (!sub("\"" s[1] "\": *[^ ,}]+", "\"" s[1] "\": " value, text))
					sub("\"" group "\": [{]", "&\"" s[1] "\": " value ", ", text)
			}
			printf "%s", text
		}' >"$fleet_dir/changed-$1-$2"
	mv "$fleet_dir/changed-$1-$2" "$fleet_dir/dc$1-$2.json"
	eval "kill -HUP \$fleet_daemon_$1_$2"
}

dialect_platform
dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /n/ non_idempotent)" |
	sed 's/"timeout_ms":900/"timeout_ms":9000/g; s/"target_latency_ms":300/"target_latency_ms":6000/g')" >"$fleet_dir/code"
for n in 1 2; do
	fleet_daemon 1 $n
	dialect_target 1 $n --slots 200
done
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 2 || fleet_fail "the targets are not known"
for i in 1 2 3 4 5 6; do
	ask "first-$i" 50
done
asked=
for i in $(seq $RUNNING); do
	ask "run-$i" $WORK_MS &
	asked="$asked $!"
done
fleet_wait_until 3 runs || fleet_fail "not all requests run"
change 1 1 1
change 1 1 2
start=$(date +%s%3N)
# shellcheck disable=SC2154
kill "$fleet_daemon_1_1"
for k in 0 1 2 3 4 5; do
	change 1 1 $k
	change 1 2 $k
	ask "late-$k" 100 &
	asked="$asked $!"
	sleep 0.3
done
change 1 2 9
wait "$fleet_daemon_1_1"
code=$?
took=$(($(date +%s%3N) - start))
echo "the daemon ended with $code after $took ms"
[ $code = 0 ] && [ $took -lt $GRACE_MS ] || fleet_fail "the daemon's end"
# shellcheck disable=SC2086
wait $asked
sed 's/-[0-9]* / /' "$fleet_dir/answers" | awk '{ print $1, $2 }' | sort | uniq -c
[ "$(grep -c '^run-.* 200 ' "$fleet_dir/answers")" = $RUNNING ] || fleet_fail "not all requests that ran were answered"
awk -v late=$LATE_MS '/^late/ && !($2 == 200 || ($2 == 503 && $3 * 1000 < late) || $2 == 0 && $3 * 1000 < late) { print "FAILED", $0; bad = 1 } END { exit bad }' "$fleet_dir/answers" ||
	fleet_fail "a late request is neither served nor refused at once"
grep -c 'event=103' "$fleet_dir/daemon-1-1.log" | sed 's/$/ times settings were reloaded/'
grep -h 'event=104' "$fleet_dir"/daemon-*.log && fleet_fail "settings were refused"
[ $failed = 0 ] || grep -hE 'event=(10[0-9]|51[0-7]|50[56])' "$fleet_dir/daemon-1-1.log" | tail -40
exit $failed
