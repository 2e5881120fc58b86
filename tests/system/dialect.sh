#!/bin/sh
# Requests in the users' dialect with three instances: configuration in the form of
# the users' platform, heartbeats, and faults of targets and of the platform.
# usage: dialect.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0

# expect_equal NAME EXPECTED ACTUAL
expect_equal() {
	if [ "$2" = "$3" ]; then
		echo "ok $1"
	else
		echo "FAILED $1: expected '$2', got '$3'"
		failed=1
	fi
}
# expect_soon NAME EXPECTED COMMAND...: runs the command until it prints what is
# expected, 60 times at most, 0.1 s apart
expect_soon() {
	name=$1
	expected=$2
	shift 2
	for _ in $(seq 60); do
		got=$("$@")
		[ "$got" = "$expected" ] && break
		sleep 0.1
	done
	expect_equal "$name" "$expected" "$got"
}
# Sends a request to the first daemon and prints the HTTP status.
send() { # ID PATH [CURL-ARGUMENT]...
	id=$1
	path=$2
	shift 2
	curl -s -m 3 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' -H "X-Attempt-Id: $id" \
		-H 'X-Deadline-Ms: 2000' -H 'X-Caller-Service: forged' -H 'Host: h.example' "$@" "http://$fleet_first$path"
}
# Prints a header field of the last answer.
head_field() { # NAME
	sed -n "s/^$1: \(.*\)\r$/\1/ip" "$fleet_dir/head"
}
# Prints the HTTP status of a daemon's readiness.
ready() { # DC.N
	curl -s -m 2 -o "$fleet_dir/ready" -w '%{http_code}' "http://$fleet_net.$1:8430/v1/readiness"
}
# Sets a knob of every fake target.
set_all() { # KNOB=VALUE
	for n in 1.1 1.2 2.1; do
		curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.$n:9001/fake/set?$1"
	done
}
# Prints how many requests a fake target ran.
runs() { # DC.N
	curl -s -m 1 "http://$fleet_net.$1:9001/fake/counts" | awk '$1 == "runs" { print $2 }'
}
# Prints how many log lines of all daemons match.
logged() { # PATTERN
	cat "$fleet_dir"/daemon-*.log | grep -c "$1"
}
# Sends the report of a target to daemon 2.1 and prints the HTTP status.
report() { # CALL ID BODY
	curl -s -m 2 -o "$fleet_dir/report" -w '%{http_code}' -X POST -d "$3" \
		"http://$fleet_net.2.1:8440/v1/rpc?call=instances.$1&of=$2"
}

dialect_platform
fleet_daemon 1 1
fleet_daemon 1 2
fleet_daemon 2 1
dialect_target 1 1
dialect_target 1 2
dialect_target 2 1
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
expect_equal "not ready without a configuration" 503 "$(ready 1.1)"
expect_equal "request without a configuration is not run" 503 "$(send a0 /p/x)"

expect_equal "configuration is accepted" 200 "$(dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json /q/ non_idempotent)")")"
expect_soon "ready with a configuration" 200 ready 2.1
expect_soon "request on a route" 200 send a1 /p/x
expect_equal "answer carries the attempt id of the request" a1 "$(head_field X-Attempt-Id)"
expect_equal "signature names the service" codebook "$(head_field X-Server-Signature | sed 's/.*\.//')"
expect_equal "path without a route" 404 "$(send a2 /r/x)"
expect_equal "prefix without its slash is no route" 404 "$(send a3 /p)"
before=$(($(runs 1.1) + $(runs 1.2) + $(runs 2.1)))
expect_equal "non-idempotent request" 200 "$(send a4 /q/x -d pay=1)"
expect_equal "non-idempotent request ran once" 1 $(($(runs 1.1) + $(runs 1.2) + $(runs 2.1) - before))
expect_equal "outbound and inbound log the request with its id" 2 "$(logged 'event=51[02].*request=a4 ')"

# set_one KNOB=VALUE: sets a knob of the target at 1.1 only; a sequence of requests
# reaches each of the three targets
set_one() {
	curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.1.1:9001/fake/set?$1"
}
# expect_all_served PREFIX NAME: sends nine requests, so that each target gets some;
# each must be answered with 200 and its own attempt id
expect_all_served() {
	codes=
	for i in 1 2 3 4 5 6 7 8 9; do
		codes=$codes$(send "$1$i" /p/x)$(head_field X-Attempt-Id)
	done
	expect_equal "$2" "2001$1 2002$1 2003$1 2004$1 2005$1 2006$1 2007$1 2008$1 2009$1 " \
		"$(echo "$codes" | sed "s/$1\([0-9]\)/\1$1 /g")"
}
set_all unsigned_next=1
expect_equal "unsigned success is not passed on" 502 "$(send b1 /p/x)"
set_all unsigned_next=0
set_one unsigned_next=1
expect_all_served bu "an unsigned answer is replaced by another target's"
set_all other_id=1
expect_equal "answer to another request is not passed on" 502 "$(send b2 /p/x)"
expect_equal "nor is its id" "" "$(head_field X-Attempt-Id)"
set_all other_id=0
set_one other_id=1
expect_all_served bo "an answer to another request is replaced by another target's"
set_all encoded=1
expect_equal "encoded answer is not passed on" 504 "$(send b3 /q/x -d pay=2)"
set_all encoded=0
set_all misdirect=1
expect_equal "request refused as meant for another start is not run" 503 "$(send b4 /q/x -d pay=3)"
set_all misdirect=0
expect_soon "targets are picked again after their next heartbeat" 200 send b5 /p/x

expect_equal "malformed heartbeat" 400 "$(report heartbeat i-x '{"service":7}')"
expect_equal "heartbeat of another address" 400 "$(report heartbeat i-x '{"service":"codebook","address":"10.9.9.9:1",
	"zone":"dc2","version":"v1","slots":3,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1760000000000}')"
expect_equal "heartbeat of an unknown service" 400 "$(report heartbeat i-x "{\"service\":\"other\",\"address\":\"$fleet_net.2.1:9001\",
	\"zone\":\"dc2\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1760000000000}")"
expect_equal "delayed heartbeat of an earlier start" 200 "$(report heartbeat i-x "{\"service\":\"codebook\",\"address\":\"$fleet_net.2.1:9001\",
	\"zone\":\"dc2\",\"version\":\"v1\",\"slots\":3,\"state\":\"draining\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":5}")"
expect_soon "all four reports are logged as bad or old" 4 logged 'event=20[23]'

# The machines of two targets run at 500 % of the usual time, so the third gets the
# requests.
for n in 1.1 1.2; do
	curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.$n:9001/fake/set?pace=500"
done
sleep 0.1
before=$(($(runs 1.1) + $(runs 1.2)))
for i in 1 2 3 4 5 6 7 8; do
	send "c$i" /p/x >"$fleet_dir/code"
done
expect_equal "targets on slow machines get no requests" 0 $(($(runs 1.1) + $(runs 1.2) - before))
set_all pace=100
sleep 0.1

expect_equal "evacuation of a data centre is accepted" 200 "$(dialect_store_request POST evacuations '{"metadata":{"name":"dc2"},"specification":{}}')"
sleep 0.5
before=$(runs 2.1)
for i in 1 2 3 4 5 6 7 8; do
	send "d$i" /p/x >"$fleet_dir/code"
done
expect_equal "evacuated data centre gets no requests" 0 $(($(runs 2.1) - before))
dialect_store_request DELETE evacuations/dc2 >"$fleet_dir/code"

# Watches that are answered without events do not keep a change from taking effect.
curl -s -X POST -o "$fleet_dir/fault" "http://$fleet_platform_at/fake/fault?mode=deaf-watch"
expect_equal "change while watches report nothing is accepted" 200 "$(dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json /s/ safe)")")"
expect_soon "new route is served" 200 send e1 /s/x
expect_equal "removed route is not served" 404 "$(send e2 /q/x)"
curl -s -X POST -o "$fleet_dir/fault" "http://$fleet_platform_at/fake/fault?mode=ok"

# A target leaves without earlier notice: its daemon sends it no more requests.
# shellcheck disable=SC2154
kill "$fleet_target_1_1"
expect_soon "leave is acknowledged and logged" 1 logged 'event=201 target leaves'
expect_equal "the other targets serve" 200 "$(send f1 /p/x)"

# A daemon reads its settings again on SIGHUP and when the file changes.
sed -i 's/"info"/"warning"/' "$fleet_dir/dc1-1.json"
expect_soon "changed settings file takes effect" 1 logged 'event=105 .*name=log.level outcome=in-force'
# shellcheck disable=SC2154
kill -HUP "$fleet_daemon_1_2"
expect_soon "SIGHUP reads the settings again" 1 logged 'event=103 .*why=signal changed=0'
echo '{' >"$fleet_dir/dc1-2.json"
expect_soon "malformed settings file is rejected" 1 logged 'event=104'
expect_equal "the daemon still serves" 200 "$(send g1 /p/x)"
exit $failed
