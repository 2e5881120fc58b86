#!/bin/sh
# The path in the users' dialect: three instances, their platform's form of
# configuration, heartbeats, and what targets and platform do wrong.
# usage: dialect.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0

# same NAME EXPECTED ACTUAL
same() {
	if [ "$2" = "$3" ]; then
		echo "ok $1"
	else
		echo "FAILED $1: expected '$2', got '$3'"
		failed=1
	fi
}
# until_same NAME EXPECTED COMMAND...: for 6 s at most
until_same() {
	name=$1
	expected=$2
	shift 2
	for _ in $(seq 60); do
		got=$("$@")
		[ "$got" = "$expected" ] && break
		sleep 0.1
	done
	same "$name" "$expected" "$got"
}
call() { # ID PATH [CURL-ARGUMENT]...
	id=$1
	path=$2
	shift 2
	curl -s -m 3 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' -H "X-Attempt-Id: $id" \
		-H 'X-Deadline-Ms: 2000' -H 'X-Caller-Service: forged' -H 'Host: h.example' "$@" "http://$fleet_first$path"
}
head_field() {
	sed -n "s/^$1: \(.*\)\r$/\1/ip" "$fleet_dir/head"
}
ready() {
	curl -s -m 2 -o "$fleet_dir/ready" -w '%{http_code}' "http://$fleet_net.$1:8430/v1/readiness"
}
set_all() {
	for n in 1.1 1.2 2.1; do
		curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.$n:9001/fake/set?$1"
	done
}
runs() { # DC.N
	curl -s -m 1 "http://$fleet_net.$1:9001/fake/counts" | awk '$1 == "runs" { print $2 }'
}
logged() { # PATTERN
	cat "$fleet_dir"/daemon-*.log | grep -c "$1"
}
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
same "not ready without a configuration" 503 "$(ready 1.1)"
same "no configuration is not run" 503 "$(call a0 /p/x)"

same "configuration is accepted" 200 "$(dialect_store_request POST config "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json /q/ non_idempotent)")")"
until_same "ready with one" 200 ready 2.1
until_same "call through a route" 200 call a1 /p/x
same "answer repeats the attempt" a1 "$(head_field X-Attempt-Id)"
same "origin is the instance's service" codebook "$(head_field X-Server-Signature | sed 's/.*\.//')"
same "no route" 404 "$(call a2 /r/x)"
same "prefix ends with a slash" 404 "$(call a3 /p)"
before=$(($(runs 1.1) + $(runs 1.2) + $(runs 2.1)))
same "not idempotent" 200 "$(call a4 /q/x -d pay=1)"
same "ran once" 1 $(($(runs 1.1) + $(runs 1.2) + $(runs 2.1) - before))
same "each request is in the log by its id" 2 "$(logged 'event=51[02].*request=a4 ')"

# set_one KNOB: at one target; calls go to each of them in turn
set_one() {
	curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.1.1:9001/fake/set?$1"
}
# whole_all NAME: calls until each target had one are all answered
whole_all() {
	codes=
	for i in 1 2 3 4 5 6 7 8 9; do
		codes=$codes$(call "$1$i" /p/x)$(head_field X-Attempt-Id)
	done
	same "$2" "2001$1 2002$1 2003$1 2004$1 2005$1 2006$1 2007$1 2008$1 2009$1 " \
		"$(echo "$codes" | sed "s/$1\([0-9]\)/\1$1 /g")"
}
set_all unsigned_next=1
same "unsigned success is not passed on" 502 "$(call b1 /p/x)"
set_all unsigned_next=0
set_one unsigned_next=1
whole_all bu "but replaced by another target's"
set_all other_id=1
same "answer to another request is not passed on" 502 "$(call b2 /p/x)"
same "nor its id" "" "$(head_field X-Attempt-Id)"
set_all other_id=0
set_one other_id=1
whole_all bo "but replaced by another target's own"
set_all encoded=1
same "encoded answer is not passed on" 504 "$(call b3 /q/x -d pay=2)"
set_all encoded=0
set_all misdirect=1
same "misdirected is not run anywhere" 503 "$(call b4 /q/x -d pay=3)"
set_all misdirect=0
until_same "targets are back with their next heartbeat" 200 call b5 /p/x

same "malformed heartbeat" 400 "$(report heartbeat i-x '{"service":7}')"
same "heartbeat of another address" 400 "$(report heartbeat i-x '{"service":"codebook","address":"10.9.9.9:1",
	"slots":3,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":99999999999999}')"
same "heartbeat of an unknown service" 400 "$(report heartbeat i-x "{\"service\":\"other\",\"address\":\"$fleet_net.2.1:9001\",
	\"slots\":3,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":99999999999999}")"
same "late heartbeat of an earlier start" 200 "$(report heartbeat i-x "{\"service\":\"codebook\",\"address\":\"$fleet_net.2.1:9001\",
	\"slots\":3,\"state\":\"draining\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":5}")"
until_same "four refused or old" 4 logged 'event=20[23]'

# The machine of two targets is slow: work goes to the third.
for n in 1.1 1.2; do
	curl -s -m 1 -o "$fleet_dir/set" "http://$fleet_net.$n:9001/fake/set?pace=500"
done
sleep 0.1
before=$(($(runs 1.1) + $(runs 1.2)))
for i in 1 2 3 4 5 6 7 8; do
	call "c$i" /p/x >"$fleet_dir/code"
done
same "slow machines start no work" 0 $(($(runs 1.1) + $(runs 1.2) - before))
set_all pace=100
sleep 0.1

same "data centre is emptied" 200 "$(dialect_store_request POST evacuations '{"metadata":{"name":"dc2"},"specification":{}}')"
sleep 0.5
before=$(runs 2.1)
for i in 1 2 3 4 5 6 7 8; do
	call "d$i" /p/x >"$fleet_dir/code"
done
same "it gets no work" 0 $(($(runs 2.1) - before))
dialect_store_request DELETE evacuations/dc2 >"$fleet_dir/code"

# Watches that hear nothing do not keep a change out.
curl -s -X POST -o "$fleet_dir/fault" "http://$fleet_platform_at/fake/fault?mode=deaf-watch"
same "change while watches are deaf" 200 "$(dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /p/ safe),$(dialect_route_json /s/ safe)")")"
until_same "new route is there" 200 call e1 /s/x
same "dropped route is gone" 404 "$(call e2 /q/x)"
curl -s -X POST -o "$fleet_dir/fault" "http://$fleet_platform_at/fake/fault?mode=ok"

# A target leaves without a word before: its daemon gives it nothing more.
# shellcheck disable=SC2154
kill "$fleet_target_1_1"
until_same "leave is acknowledged and logged" 1 logged 'event=201 target leaves'
same "others serve" 200 "$(call f1 /p/x)"

# Settings are read again on a signal, and when the file changed without one.
sed -i 's/"info"/"warning"/' "$fleet_dir/dc1-1.json"
until_same "changed file" 1 logged 'event=105 .*name=log.level outcome=in-force'
# shellcheck disable=SC2154
kill -HUP "$fleet_daemon_1_2"
until_same "signal" 1 logged 'event=103 .*why=signal changed=0'
echo '{' >"$fleet_dir/dc1-2.json"
until_same "wrong file leaves all as it is" 1 logged 'event=104'
same "still served" 200 "$(call g1 /p/x)"
exit $failed
