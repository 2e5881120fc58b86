#!/bin/sh
# Checks that the stand-ins act as said under each fault they can be given.
# usage: fakes.sh BUILD-DIRECTORY
set -u
o=$1
dir=$(mktemp -d)
pids=
failed=0
# an address of its own, so that two runs on one machine do not meet
ip=127.99.$(($$ / 250 % 250)).$(($$ % 250 + 1))
P=$ip:20100
T=$ip:20101
B=$ip:20102

stop_all() {
	for p in $pids; do
		kill "$p" 2>/dev/null && wait "$p"
	done
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 1' HUP INT PIPE TERM

# same NAME EXPECTED ACTUAL
same() {
	if [ "$2" = "$3" ]; then
		echo "ok $1"
	else
		echo "FAILED $1: expected '$2', got '$(echo "$3" | cut -c 1-200)'"
		failed=1
	fi
}
# holds NAME TEST-ARGUMENTS...
holds() {
	name=$1
	shift
	if [ "$@" ]; then
		echo "ok $name"
	else
		echo "FAILED $name: $*"
		failed=1
	fi
}
ready() {
	for _ in 1 2 3 4 5 6 7 8 9 10; do
		curl -s -m 1 -o /dev/null "http://$1/fake/counts" && return
		sleep 0.1
	done
	echo "FAILED start of $1"
	exit 1
}
code() {
	curl -s -m 3 -o "$dir/body" -w '%{http_code}' "$@"
}
body() {
	curl -s -m 3 "$@"
}
# exit code of curl: 52 empty answer, 56 reset, 18 cut short, 28 timeout
rc() {
	curl -s -m 3 -o "$dir/body" "$@"
	echo $?
}
count() {
	curl -s -m 3 "http://$1/fake/counts" | awk -v n="$2" '$1 == n { print $2 }'
}
fault() {
	code -X POST "http://$P/fake/fault?$1" >"$dir/fault"
}
set_target() {
	code -X POST "http://$T/fake/set?$1" >"$dir/set"
}
ms() {
	echo $(($(date +%s%N) / 1000000))
}

# ---- platform ----

"$o/fake-platform" --ip $ip --port 20100 --writes 20 --reads 200 \
	--history "$dir/platform" &
platform=$!
pids=$platform
ready $P
X=http://$P/v1/objects/service/x
same create 200 "$(code -X PUT -H 'If-None-Match: *' -d '{"a":1}' $X)"
same create-twice 412 "$(code -X PUT -H 'If-None-Match: *' -d '{}' $X)"
same update 200 "$(code -X PUT -H 'If-Match: "1"' -d '{"a":2}' $X)"
same update-stale 412 "$(code -X PUT -H 'If-Match: "1"' -d '{"a":3}' $X)"
same stale-etag 'ETag: "2"' "$(body -i -X PUT -H 'If-Match: "1"' -d '{}' $X |
	grep -i '^etag' | tr -d '\r')"
same unconditional 400 "$(code -X PUT -d '{}' $X)"
same no-json 400 "$(code -X PUT -H 'If-Match: "2"' -d '{' $X)"
same read '{"a":2}' "$(body $X)"
same absent 404 "$(code http://$P/v1/objects/service/y)"
same list '{"version":2,"items":[{"kind":"service","name":"x","version":2,"value":{"a":2}}]}' \
	"$(body http://$P/v1/objects)"
same watch-past '{"version":2,"events":[{"kind":"service","name":"x","version":1,"value":{"a":1}},{"kind":"service","name":"x","version":2,"value":{"a":2}}]}' \
	"$(body "http://$P/v1/watch?from=0&wait_ms=0")"
t=$(ms)
same watch-quiet '{"version":2,"events":[]}' \
	"$(body "http://$P/v1/watch?from=2&wait_ms=200")"
holds watch-waits $(($(ms) - t)) -ge 200
same watch-future 410 "$(code "http://$P/v1/watch?from=9&wait_ms=0")"

body "http://$P/v1/watch?from=2&wait_ms=3000" >"$dir/watch" &
w=$!
sleep 0.2
same remove 200 "$(code -X DELETE -H 'If-Match: "2"' $X)"
wait $w
same watch-removal '{"version":3,"events":[{"kind":"service","name":"x","version":3,"value":null}]}' \
	"$(cat "$dir/watch")"

fault mode=lose-answer
same lose-answer 52 "$(rc -X PUT -H 'If-None-Match: *' -d '{"b":1}' $X)"
same lost-took-effect '{"b":1}' "$(body $X)"

fault 'mode=slow&ms=300'
t=$(ms)
same slow '{"b":1}' "$(body $X)"
holds slow-waits $(($(ms) - t)) -ge 300

fault mode=ok
rc "http://$P/v1/watch?from=4&wait_ms=3000" >"$dir/watch" &
w=$!
sleep 0.2
fault mode=down
wait $w
same down-cuts-watch 52 "$(cat "$dir/watch")"
same down 52 "$(rc $X)"

fault mode=break-watch
same break-watch 52 "$(rc "http://$P/v1/watch?from=4&wait_ms=3000")"
same break-watch-reads 200 "$(code $X)"

fault mode=old-watch
same old-watch 1 "$(body "http://$P/v1/watch?from=4&wait_ms=3000" |
	grep -c '"events":\[{"kind":"service","name":"x","version":1,')"

fault 'mode=version-back&by=2'
same version-back '{"version":2,"items":[{"kind":"service","name":"x","version":2,"value":{"a":2}}]}' \
	"$(body http://$P/v1/objects)"
same version-back-watch 410 "$(code "http://$P/v1/watch?from=4&wait_ms=0")"

fault mode=ok
sleep 1
curl -s -o /dev/null -w '%{http_code}\n' -X PUT -H 'If-None-Match: *' \
	-d '{}' "http://$P/v1/objects/service/n[1-60]" >"$dir/codes"
holds writes-limited "$(grep -c 429 "$dir/codes")" -ge 20
holds writes-allowed "$(grep -c 200 "$dir/codes")" -ge 20
same refusals-counted "$(grep -c 429 "$dir/codes")" "$(count $P refusals)"
same history-of-writes "$(count $P writes)" \
	"$(grep -c 'platform write' "$dir/platform")"
kill $platform
wait $platform
same platform-stops 0 $?

"$o/fake-platform" --ip $ip --port 20100 --writes 1e6 &
platform=$!
pids=$platform
ready $P
curl -s -o /dev/null -X PUT -H 'If-None-Match: *' \
	-d '{}' "http://$P/v1/objects/service/n[1-4100]"
same history-end 200 "$(code "http://$P/v1/watch?from=4&wait_ms=0")"
same history-beyond 410 "$(code "http://$P/v1/watch?from=3&wait_ms=0")"

# ---- target ----

"$o/fake-target" --ip $ip --port 20102 --service s --dc a &
beside=$!
pids="$pids $beside"
ready $B
"$o/fake-target" --ip $ip --port 20101 --service s --dc a --fixed 1 \
	--service-us 1000 --connect-us 0 --announce $B \
	--history "$dir/target" &
target=$!
pids="$pids $target"
ready $T
sleep 0.2
same announced 1 "$(count $B runs)"

body -i -H 'Call-Key: k1' -d hello http://$T/x | tr -d '\r' >"$dir/answer"
same request-digest "$(printf hello | sha256sum | cut -d' ' -f1)" \
	"$(awk '$1 == "Request-Digest:" { print $2 }' "$dir/answer")"
same body-digest "$(sed '1,/^$/d' "$dir/answer" | sha256sum | cut -d' ' -f1)" \
	"$(awk '$1 == "Body-Digest:" { print $2 }' "$dir/answer")"
same duplicates-none 0 "$(count $T duplicates)"
code -H 'Call-Key: k1' -H 'Call-Kind: once' http://$T/x >"$dir/code"
same duplicate 1 "$(count $T duplicates_once)"
same expired 503 "$(code -H 'Deadline-Ms: 0' http://$T/x)"

set_target chunked=1
same chunked 128 "$(body -H 'Call-Key: k2' http://$T/x | wc -c | tr -d ' ')"
set_target cut=1
same cut-chunked 18 "$(rc http://$T/x)"
set_target 'chunked=0&cut=1'
same cut 18 "$(rc http://$T/x)"
holds cut-in-the-middle "$(wc -c <"$dir/body")" -eq 64
set_target hang=1
same hang 28 "$(rc -m 0.3 http://$T/x)"
same hang-cancelled 1 "$(count $T cancelled)"
set_target reset-after-read=1
same reset-after-read 56 "$(rc http://$T/x)"
same unknown-setting 400 "$(code -X POST "http://$T/fake/set?strangle=2")"

set_target straggle=200
t=$(ms)
same straggle 200 "$(code http://$T/x)"
holds straggle-waits $(($(ms) - t)) -ge 200
r=$(count $T runs)
same cancel 28 "$(rc -m 0.1 http://$T/x)"
sleep 0.2
same cancel-ran $((r + 1)) "$(count $T runs)"
same cancel-not-done 0 "$(count $T inflight)"
set_target 'straggle=1&connect-us=200000'
t=$(ms)
same connect 200 "$(code http://$T/x)"
holds connect-costs $(($(ms) - t)) -ge 200
set_target connect-us=0

set_target 'slots=1&queue=0&straggle=400'
body http://$T/x >"$dir/first" &
w=$!
sleep 0.1
same shed 'HTTP/1.1 503 Service Unavailable Not-Run: 1' \
	"$(body -i http://$T/x | tr -d '\r' | head -n 2 | tr '\n' ' ' | sed 's/ $//')"
set_target queue=1
same queued-expired 503 "$(code -H 'Deadline-Ms: 50' http://$T/x)"
same queued 200 "$(code http://$T/x)"
wait $w
same shed-count 1 "$(count $T shed)"

set_target 'slots=18&straggle=1&report-lag-ms=300'
sleep 0.7
set_target hang=1
rc -m 1.5 http://$T/x >"$dir/hung" &
w=$!
sleep 0.1
same lag-old 0 "$(body http://$T/load | grep -o '"inflight":[0-9]*' | cut -d: -f2)"
sleep 0.8
same lag-new 1 "$(body http://$T/load | grep -o '"inflight":[0-9]*' | cut -d: -f2)"
set_target 'report-lag-ms=0&report-lie=77'
same lie 77 "$(body http://$T/load | grep -o '"inflight":[0-9]*' | cut -d: -f2)"
wait $w
set_target report-lie=-1
same measured 3 "$(count $T load)"

set_target 'cold=1&cold-limit=2&cold-calls=3&fell-ms=300&straggle=100'
f=$(count $T fell)
for i in 1 2 3; do
	rc http://$T/x >"$dir/cold$i" &
	eval "c$i=\$!"
done
wait "$c1" "$c2" "$c3"
same fell-resets '56 56 56' "$(cat "$dir"/cold? | tr '\n' ' ' | sed 's/ $//')"
same fell-answers 500 "$(code http://$T/x)"
same fell-health 503 "$(code http://$T/health)"
same fell-count $((f + 1)) "$(count $T fell)"
same fell-max 3 "$(count $T max_inflight_cold)"
sleep 0.4
set_target straggle=1
same still-cold 1 "$(count $T cold)"
code http://$T/x http://$T/x http://$T/x >"$dir/code"
same warm 0 "$(count $T cold)"

set_target 'connections=1&hang=1'
rc -m 0.5 http://$T/x >"$dir/hung" &
w=$!
sleep 0.2
holds refused-by-close "$(rc http://$T/x)" -ge 52
wait $w
same connection-free 200 "$(code http://$T/x)"
set_target connections=260
same refused-count 1 "$(count $T connections_refused)"

# ---- load tool against the target ----

load() {
	"$o/bench-load" --straight --to $T --service s --rate 400 \
		--seconds 0.5 --call GET:/a:1:repeat --call POST:/b:1:once \
		--figures --history "$dir/load" "$@" >"$dir/figures"
}
value() {
	awk -v n="$1" '$1 == n { print $2 }' "$dir/figures"
}
load --seed 3
same load 0 $?
same load-whole "$(value calls)" "$(value whole)"
holds load-calls "$(value calls)" -ge 100
same load-history "$(value calls)" "$(grep -c 'outcome=whole' "$dir/load")"
first=$(value calls)
load --seed 3
same load-seeded "$first" "$(value calls)"
load --seed 4 --body-bytes 100000
same load-bodies "$(value calls)" "$(value whole)"
set_target cut=5
load --seed 5
same load-cut 5 "$(value broken)"
set_target 'noisy-ms=20&noisy-factor=30'
load --seed 6
holds noisy "$(value max | cut -d. -f1)" -ge 8
set_target noisy-ms=0
set_target straggle=300
load --seed 7 --timeout-ms 200 --connections 2
holds load-waits "$(value timeouts)" -ge 100
set_target straggle=10
load --seed 9 --connections 1
holds load-counts-queueing "$(value p50 | cut -d. -f1)" -ge 200
set_target 'straggle=1&wrong=1'
load --seed 8
same load-wrong-exit 1 $?
same load-wrong 1 "$(value bad)"

# ---- leaving ----

told=$(count $B runs)
while [ "$(count $B runs)" = "$told" ]; do sleep 0.05; done
told=$(count $B runs) # announced just now, and not again for 2 s
set_target straggle=500
body -H 'Call-Key: last' http://$T/x >"$dir/last" &
w=$!
sleep 0.1
kill $target
sleep 0.1
same leaving-health 503 "$(code http://$T/health)"
wait $w
holds leaving-whole "$(wc -c <"$dir/last")" -eq 128
wait $target
same leaving-exit 0 $?
same leaving-told $((told + 1)) "$(count $B runs)"
same history-leave 1 "$(grep -c ' leave ' "$dir/target")"
same history-fell 1 "$(grep -c ' fell ' "$dir/target")"

exit $failed
