#!/bin/sh
# Checks that the fake platform, the fake target and the load tool behave as described,
# also under each fault that the fakes can inject.
# usage: fakes.sh BUILD-DIRECTORY
set -u
o=$1
dir=$(mktemp -d)
pids=
failed=0
# an address that differs between runs, so that two runs on one machine do not share it
ip=127.99.$(($$ / 250 % 250)).$(($$ % 250 + 1))
second=127.98.${ip#127.99.}
P=$ip:20100
T=$ip:20101
B=$ip:20102

clean_up() {
	for p in $pids; do
		kill "$p" 2>/dev/null && wait "$p"
	done
	rm -rf "$dir"
}
trap clean_up EXIT
trap 'exit 1' HUP INT PIPE TERM

# expect_equal NAME EXPECTED ACTUAL
expect_equal() {
	if [ "$2" = "$3" ]; then
		echo "ok $1"
	else
		echo "FAILED $1: expected '$2', got '$(echo "$3" | cut -c 1-200)'"
		failed=1
	fi
}
# expect NAME TEST-ARGUMENTS...
expect() {
	name=$1
	shift
	if [ "$@" ]; then
		echo "ok $name"
	else
		echo "FAILED $name: $*"
		failed=1
	fi
}
# Waits until the program at an address answers; ends the test if it does not.
wait_ready() {
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		curl -s -m 1 -o /dev/null "http://$1/fake/counts" && return
		sleep 0.1
	done
	echo "FAILED start of $1"
	exit 1
}
# Prints the HTTP status of a request.
status() {
	curl -s -m 3 -o "$dir/body" -w '%{http_code}' "$@"
}
# Prints the body of the answer to a request.
body() {
	curl -s -m 3 "$@"
}
# Prints the exit code of curl: 52 empty answer, 56 reset, 18 cut short, 28 timeout.
curl_code() {
	curl -s -m 3 -o "$dir/body" "$@"
	echo $?
}
# count ADDRESS NAME: prints a counter of a fake
count() {
	curl -s -m 3 "http://$1/fake/counts" | awk -v n="$2" '$1 == n { print $2 }'
}
# Sets the mode of the fake platform.
set_platform() {
	status -X POST "http://$P/fake/fault?$1" >"$dir/fault"
}
# Sets knobs of the fake target.
set_target() {
	status -X POST "http://$T/fake/set?$1" >"$dir/set"
}
now_ms() {
	echo $(($(date +%s%N) / 1000000))
}

# ---- platform ----

"$o/fake-platform" --ip $ip --port 20100 --writes 20 --reads 200 \
	--history "$dir/platform" &
platform=$!
pids=$platform
wait_ready $P
X=http://$P/v1/objects/service/x
expect_equal create 200 "$(status -X PUT -H 'If-None-Match: *' -d '{"a":1}' $X)"
expect_equal create-twice 412 "$(status -X PUT -H 'If-None-Match: *' -d '{}' $X)"
expect_equal update 200 "$(status -X PUT -H 'If-Match: "1"' -d '{"a":2}' $X)"
expect_equal update-stale 412 "$(status -X PUT -H 'If-Match: "1"' -d '{"a":3}' $X)"
expect_equal stale-etag 'ETag: "2"' "$(body -i -X PUT -H 'If-Match: "1"' -d '{}' $X |
	grep -i '^etag' | tr -d '\r')"
expect_equal unconditional 400 "$(status -X PUT -d '{}' $X)"
expect_equal invalid-json 400 "$(status -X PUT -H 'If-Match: "2"' -d '{' $X)"
expect_equal read '{"a":2}' "$(body $X)"
expect_equal absent 404 "$(status http://$P/v1/objects/service/y)"
expect_equal list '{"version":2,"items":[{"kind":"service","name":"x","version":2,"value":{"a":2}}]}' \
	"$(body http://$P/v1/objects)"
expect_equal watch-from-start '{"version":2,"events":[{"kind":"service","name":"x","version":1,"value":{"a":1}},{"kind":"service","name":"x","version":2,"value":{"a":2}}]}' \
	"$(body "http://$P/v1/watch?from=0&wait_ms=0")"
t=$(now_ms)
expect_equal watch-quiet '{"version":2,"events":[]}' \
	"$(body "http://$P/v1/watch?from=2&wait_ms=200")"
expect watch-waits $(($(now_ms) - t)) -ge 200
expect_equal watch-future 410 "$(status "http://$P/v1/watch?from=9&wait_ms=0")"

body "http://$P/v1/watch?from=2&wait_ms=3000" >"$dir/watch" &
w=$!
sleep 0.2
expect_equal remove 200 "$(status -X DELETE -H 'If-Match: "2"' $X)"
wait $w
expect_equal watch-removal '{"version":3,"events":[{"kind":"service","name":"x","version":3,"value":null}]}' \
	"$(cat "$dir/watch")"

set_platform mode=lose-answer
expect_equal lose-answer 52 "$(curl_code -X PUT -H 'If-None-Match: *' -d '{"b":1}' $X)"
expect_equal lost-answer-write-stored '{"b":1}' "$(body $X)"

set_platform 'mode=slow&ms=300'
t=$(now_ms)
expect_equal slow '{"b":1}' "$(body $X)"
expect slow-waits $(($(now_ms) - t)) -ge 300

set_platform mode=ok
curl_code "http://$P/v1/watch?from=4&wait_ms=3000" >"$dir/watch" &
w=$!
sleep 0.2
set_platform mode=down
wait $w
expect_equal down-cuts-watch 52 "$(cat "$dir/watch")"
expect_equal down 52 "$(curl_code $X)"

set_platform mode=break-watch
expect_equal break-watch 52 "$(curl_code "http://$P/v1/watch?from=4&wait_ms=3000")"
expect_equal break-watch-reads 200 "$(status $X)"

set_platform mode=old-watch
expect_equal old-watch 1 "$(body "http://$P/v1/watch?from=4&wait_ms=3000" |
	grep -c '"events":\[{"kind":"service","name":"x","version":1,')"

set_platform 'mode=version-back&by=2'
expect_equal version-back '{"version":2,"items":[{"kind":"service","name":"x","version":2,"value":{"a":2}}]}' \
	"$(body http://$P/v1/objects)"
expect_equal version-back-watch 410 "$(status "http://$P/v1/watch?from=4&wait_ms=0")"

set_platform mode=ok
sleep 1
curl -s -o /dev/null -w '%{http_code}\n' -X PUT -H 'If-None-Match: *' \
	-d '{}' "http://$P/v1/objects/service/n[1-60]" >"$dir/codes"
expect writes-limited "$(grep -c 429 "$dir/codes")" -ge 20
expect writes-allowed "$(grep -c 200 "$dir/codes")" -ge 20
expect_equal refusals-counted "$(grep -c 429 "$dir/codes")" "$(count $P refusals)"
expect_equal history-of-writes "$(count $P writes)" \
	"$(grep -c 'platform write' "$dir/platform")"
kill $platform
wait $platform
expect_equal platform-stops 0 $?

"$o/fake-platform" --ip $ip --port 20100 --writes 1e6 &
platform=$!
pids=$platform
wait_ready $P
curl -s -o /dev/null -X PUT -H 'If-None-Match: *' \
	-d '{}' "http://$P/v1/objects/service/n[1-4100]"
expect_equal history-end 200 "$(status "http://$P/v1/watch?from=4&wait_ms=0")"
expect_equal history-beyond 410 "$(status "http://$P/v1/watch?from=3&wait_ms=0")"

# ---- platform with the users' API ----

"$o/fake-platform" --users --ip $ip --second-ip $second --port 20104 &
pids="$pids $!"
wait_ready $ip:20104
U=http://$ip:20104/v1/objects/config
# Sets the mode of the platform with the users' API.
set_users() {
	status -X POST "http://$ip:20104/fake/fault?$1" >"$dir/fault"
}
# users_write METHOD URL NAME V [REVISION]: writes an object, prints the status
users_write() {
	status -X "$1" -d "{\"metadata\":{\"name\":\"$3\"${5:+,\"revision\":$5}},\"specification\":{\"v\":$4}}" "$2"
}
# Prints the values of an answer, whether there is more, and its version.
listed() {
	body "$@" | grep -o '"v":[0-9]*\|"has_more":true\|"at":[0-9]*' | tr -d '"' | tr '\n' ' '
}
expect_equal users-create 200 "$(users_write POST $U main 1)"
sleep 2
expect_equal users-update 200 "$(users_write PUT $U/main main 2)"
set_users 'mode=stale&ms=1500&at=now'
expect_equal stale-now 'v:1 at:2 ' "$(listed "$U?allow_stale=1")"
expect_equal stale-only-if-allowed 'v:2 at:2 ' "$(listed $U)"
set_users 'mode=stale&ms=1500&at=then'
expect_equal stale-then 'v:1 at:1 ' "$(listed "$U?allow_stale=1")"
set_users mode=ok
expect_equal stale-outlasts-ok 'v:1 at:1 ' "$(listed "$U?allow_stale=1")"
set_users 'mode=stale&ms=1500&at=now&all=1'
expect_equal stale-all 'v:1 at:2 ' "$(listed $U)"
set_users 'mode=stale&ms=0'
expect_equal stale-ends 'v:2 at:2 ' "$(listed "$U?allow_stale=1")"

expect_equal lost-by-restore 200 "$(users_write PUT $U/main main 3)"
sleep 2
set_users 'mode=stale&ms=1500&at=now'
set_users 'mode=restore&by=1'
expect_equal restored 'v:2 at:2 ' "$(listed $U)"
expect_equal stale-restored-now 'v:3 at:2 ' "$(listed "$U?allow_stale=1")"
expect_equal stale-restored-era 'Store-Era: 1' "$(body -i "$U?allow_stale=1" | grep -i '^store-era' | tr -d '\r')"
set_users 'mode=stale&ms=1500&at=then'
expect_equal stale-restored-then 'v:3 at:3 ' "$(listed "$U?allow_stale=1")"
set_users 'mode=stale&ms=0'
expect_equal restored-watch 410 "$(status "$U?watch=3&wait_ms=1")"
expect_equal version-again 200 "$(users_write PUT $U/main main 4)"
expect_equal version-given-again 'v:4 at:3 ' "$(listed $U)"
set_users 'mode=restore&by=0'
expect_equal era-rises 'Store-Era: 2' "$(body -i $U | grep -i '^store-era' | tr -d '\r')"

for v in 5 6; do
	users_write POST $U n$v $v >"$dir/code"
done
set_users 'mode=pages&objects=2'
expect_equal page-first 'v:4 v:5 has_more:true at:5 ' "$(listed $U)"
expect_equal page-last 'v:6 at:5 ' "$(listed "$U?after=n5")"
set_users 'mode=pages&objects=0'
expect_equal pages-end 'v:4 v:5 v:6 at:5 ' "$(listed $U)"

set_users 'mode=late-write&count=2&ms=1000'
users_late() {
	curl_code -X PUT -d "{\"metadata\":{\"name\":\"main\",\"revision\":$2},\"specification\":{\"v\":$1}}" $U/main
}
users_late 7 3 >"$dir/late1" &
w1=$!
sleep 0.2
users_late 8 3 >"$dir/late2" &
w2=$!
sleep 0.3
expect_equal late-write-not-yet 'v:4 v:5 v:6 at:5 ' "$(listed $U)"
wait $w1 $w2
expect_equal late-write-unanswered '52 52' "$(cat "$dir/late1" "$dir/late2" | tr '\n' ' ' | sed 's/ $//')"
expect_equal late-write-condition 'v:7 v:5 v:6 at:6 ' "$(listed $U)"
expect_equal late-writes-over 200 "$(users_write PUT $U/main main 9)"

set_users mode=cut-history
expect_equal cut-history 410 "$(status "$U?watch=6&wait_ms=1")"
expect_equal cut-history-now 200 "$(status "$U?watch=7&wait_ms=1")"
expect_equal cut-history-write 200 "$(users_write PUT $U/main main 10)"
expect_equal cut-history-later 'v:10 at:8 ' "$(listed "$U?watch=7&wait_ms=1000")"
set_users mode=deaf-watch
expect_equal deaf-watch 'at:8 ' "$(listed "$U?watch=7&wait_ms=200")"
set_users mode=ok
set_users 'mode=turn-away&how=429'
expect_equal turn-away 429 "$(status "http://$second:20104/v1/objects/config")"
expect_equal turn-away-others 200 "$(status $U)"
set_users mode=ok
expect_equal turn-away-ends 200 "$(status "http://$second:20104/v1/objects/config")"

# ---- target ----

"$o/fake-target" --ip $ip --port 20102 --service s --dc a &
receiver=$!
pids="$pids $receiver"
wait_ready $B
"$o/fake-target" --ip $ip --port 20101 --service s --dc a --fixed 1 \
	--service-us 1000 --connect-us 0 --announce $B \
	--history "$dir/target" &
target=$!
pids="$pids $target"
wait_ready $T
sleep 0.2
expect_equal announced 1 "$(count $B runs)"
t=$(now_ms)
expect_equal asked-bytes 77 "$(body "http://$T/x?work_ms=300&bytes=77" | wc -c)"
expect asked-work $(($(now_ms) - t)) -ge 300
expect_equal asked-to-break 18 "$(curl_code "http://$T/x?bytes=1000&breaks=1")"

body -i -H 'Call-Key: k1' -d hello http://$T/x | tr -d '\r' >"$dir/answer"
expect_equal request-digest "$(printf hello | sha256sum | cut -d' ' -f1)" \
	"$(awk '$1 == "Request-Digest:" { print $2 }' "$dir/answer")"
expect_equal body-digest "$(sed '1,/^$/d' "$dir/answer" | sha256sum | cut -d' ' -f1)" \
	"$(awk '$1 == "Body-Digest:" { print $2 }' "$dir/answer")"
expect_equal body-digest-left-out 0 "$(body -i "http://$T/x?digest=0" | grep -c Body-Digest)"
expect_equal duplicates-none 0 "$(count $T duplicates)"
status -H 'Call-Key: k1' -H 'Call-Kind: once' http://$T/x >"$dir/code"
expect_equal duplicate 1 "$(count $T duplicates_once)"
expect_equal expired 503 "$(status -H 'Deadline-Ms: 0' http://$T/x)"

set_target chunked=1
expect_equal chunked 128 "$(body -H 'Call-Key: k2' http://$T/x | wc -c | tr -d ' ')"
set_target cut=1
expect_equal cut-chunked 18 "$(curl_code http://$T/x)"
set_target 'chunked=0&cut=1'
expect_equal cut 18 "$(curl_code http://$T/x)"
expect cut-in-the-middle "$(wc -c <"$dir/body")" -eq 64
set_target hang=1
expect_equal hang 28 "$(curl_code -m 0.3 http://$T/x)"
expect_equal hang-cancelled 1 "$(count $T cancelled)"
set_target reset-after-read=1
expect_equal reset-after-read 56 "$(curl_code http://$T/x)"
set_target 'stop-next=1&stop-at=600'
expect_equal stop 18 "$(curl_code "http://$T/x?bytes=1000")"
set_target 'stop-next=1&stop-at=100000'
expect_equal stop-beyond 0 "$(curl_code http://$T/x)"
expect_equal broke-noted 5 "$(grep -c ' broke ' "$dir/target")"
expect_equal unknown-setting 400 "$(status -X POST "http://$T/fake/set?strangle=2")"

set_target straggle=200
t=$(now_ms)
expect_equal straggle 200 "$(status http://$T/x)"
expect straggle-waits $(($(now_ms) - t)) -ge 200
r=$(count $T runs)
expect_equal cancel 28 "$(curl_code -m 0.1 http://$T/x)"
sleep 0.2
expect_equal cancel-ran $((r + 1)) "$(count $T runs)"
expect_equal cancel-not-done 0 "$(count $T inflight)"
set_target 'straggle=1&connect-us=200000'
t=$(now_ms)
expect_equal connect 200 "$(status http://$T/x)"
expect connect-costs $(($(now_ms) - t)) -ge 200
set_target connect-us=0

set_target 'slots=1&queue=0&straggle=400'
body http://$T/x >"$dir/first" &
w=$!
sleep 0.1
expect_equal shed 'HTTP/1.1 503 Service Unavailable Not-Run: 1' \
	"$(body -i http://$T/x | tr -d '\r' | head -n 2 | tr '\n' ' ' | sed 's/ $//')"
set_target queue=1
expect_equal queued-expired 503 "$(status -H 'Deadline-Ms: 50' http://$T/x)"
expect_equal queued 200 "$(status http://$T/x)"
wait $w
expect_equal shed-count 1 "$(count $T shed)"

set_target 'slots=18&straggle=1&report-lag-ms=300'
sleep 0.7
set_target hang=1
curl_code -m 1.5 http://$T/x >"$dir/hung" &
w=$!
sleep 0.1
expect_equal report-lag-old 0 "$(body http://$T/load | grep -o '"inflight":[0-9]*' | cut -d: -f2)"
sleep 0.8
expect_equal report-lag-new 1 "$(body http://$T/load | grep -o '"inflight":[0-9]*' | cut -d: -f2)"
set_target 'report-lag-ms=0&report-lie=77'
expect_equal report-lie 77 "$(body http://$T/load | grep -o '"inflight":[0-9]*' | cut -d: -f2)"
wait $w
set_target report-lie=-1
expect_equal measured 3 "$(count $T load)"

set_target 'cold=1&cold-limit=2&cold-calls=3&fell-ms=300&straggle=100'
f=$(count $T fell)
for i in 1 2 3; do
	curl_code http://$T/x >"$dir/cold$i" &
	eval "c$i=\$!"
done
wait "$c1" "$c2" "$c3"
expect_equal fell-resets '56 56 56' "$(cat "$dir"/cold? | tr '\n' ' ' | sed 's/ $//')"
expect_equal fell-answers 500 "$(status http://$T/x)"
expect_equal fell-health 503 "$(status http://$T/health)"
expect_equal fell-count $((f + 1)) "$(count $T fell)"
expect_equal fell-max 3 "$(count $T max_inflight_cold)"
sleep 0.4
set_target straggle=1
expect_equal still-cold 1 "$(count $T cold)"
status http://$T/x http://$T/x http://$T/x >"$dir/code"
expect_equal warm 0 "$(count $T cold)"

set_target 'connections=1&hang=1'
curl_code -m 0.5 http://$T/x >"$dir/hung" &
w=$!
sleep 0.2
expect refused-by-close "$(curl_code http://$T/x)" -ge 52
wait $w
expect_equal connection-freed 200 "$(status http://$T/x)"
set_target connections=260
expect_equal refused-count 1 "$(count $T connections_refused)"

# ---- load tool against the target ----

# Runs the load tool against the target with its figures in $dir/figures.
run_load() {
	"$o/bench-load" --straight --to $T --service s --rate 400 \
		--seconds 0.5 --call GET:/a:1:repeat --call POST:/b:1:once \
		--figures --history "$dir/load" "$@" >"$dir/figures"
}
# Prints a figure of the last run of the load tool.
figure() {
	awk -v n="$1" '$1 == n { print $2 }' "$dir/figures"
}
run_load --seed 3
expect_equal load-exit 0 $?
expect_equal load-whole "$(figure calls)" "$(figure whole)"
expect load-calls "$(figure calls)" -ge 100
expect_equal load-history "$(figure calls)" "$(grep -c 'outcome=whole' "$dir/load")"
first=$(figure calls)
run_load --seed 3
expect_equal load-seeded "$first" "$(figure calls)"
run_load --seed 4 --body-bytes 100000
expect_equal load-bodies "$(figure calls)" "$(figure whole)"
set_target cut=5
run_load --seed 5
expect_equal load-cut 5 "$(figure broken)"
set_target 'noisy-ms=20&noisy-factor=30'
run_load --seed 6
expect noisy "$(figure max | cut -d. -f1)" -ge 8
set_target noisy-ms=0
set_target straggle=300
run_load --seed 7 --timeout-ms 200 --connections 2
expect load-waits "$(figure timeouts)" -ge 100
set_target straggle=10
run_load --seed 9 --connections 1
expect load-counts-queueing "$(figure p50 | cut -d. -f1)" -ge 200
set_target 'straggle=1&wrong=1'
run_load --seed 8
expect_equal load-wrong-exit 1 $?
expect_equal load-wrong 1 "$(figure bad)"

# ---- callers during planned work ----

"$o/fake-target" --users --ip $ip --port 20103 --service s --dc a &
pids="$pids $!"
wait_ready $ip:20103
# Runs a caller for two seconds, in whose first the target has the knob of $1; prints
# how often requests ended in the way $2.
planned_outcome() {
	status -X POST "http://$ip:20103/fake/set?$1" >"$dir/set"
	rm -f "$dir/planned"
	"$o/fake-planned" --to $ip:20103 --host s --name c --history "$dir/planned" --seconds 2 \
		--threads 1 --seed 1
	grep -c " answer .*$2" "$dir/planned"
}
expect caller-whole "$(planned_outcome cut=0 'outcome=whole status=200 signed=1')" -ge 2
expect_equal caller-cut 1 "$(planned_outcome cut=1 outcome=cut)"
expect_equal caller-wrong-body 1 "$(planned_outcome wrong=1 outcome=bad)"
expect_equal caller-wrong-id 1 "$(planned_outcome other_id=1 outcome=bad)"
expect_equal caller-unsigned 1 "$(planned_outcome unsigned_next=1 signed=0)"

# ---- target leaves ----

announced=$(count $B runs)
while [ "$(count $B runs)" = "$announced" ]; do sleep 0.05; done
announced=$(count $B runs) # it has just announced itself and does not do so again for 2 s
set_target straggle=500
body -H 'Call-Key: last' http://$T/x >"$dir/last" &
w=$!
sleep 0.1
kill $target
sleep 0.1
expect_equal leaving-health 503 "$(status http://$T/health)"
wait $w
expect leaving-whole "$(wc -c <"$dir/last")" -eq 128
wait $target
expect_equal leaving-exit 0 $?
expect_equal leave-announced $((announced + 1)) "$(count $B runs)"
expect_equal history-leave 1 "$(grep -c ' leave ' "$dir/target")"
expect_equal history-fell 1 "$(grep -c ' fell ' "$dir/target")"

exit $failed
