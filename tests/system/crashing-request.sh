#!/bin/sh
# A request that crashes each target that begins to run it comes again and again at any daemon:
# targets get it at most three times more, 3 s after its third crash. Other requests, repeats of
# popular ones and crashes for other reasons are not refused for it.
# usage: crashing-request.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
failed=0
nodes="1.1 1.2 2.1 2.2 3.1 3.2"
supervisors=

# supervise DC N: runs a target, again 1.5 s after each end
supervise() {
	trap 'kill -9 $target 2>/dev/null; exit 0' TERM
	while :; do
		"$fleet_build/fake-target" --users --ip "$fleet_net.$1.$2" --port 9001 --service codebook \
			--dc "dc$1" --announce "$fleet_net.$1.$2:8440" --history "$fleet_dir/target-$1-$2.history" \
			--fixed 1 --service-us 5000 --crash 1 >>"$fleet_dir/target-$1-$2.log" 2>&1 &
		target=$!
		echo $target >"$fleet_dir/target-$1-$2.pid"
		wait $target
		sleep 1.5
	done
}
close_all() {
	# shellcheck disable=SC2086
	kill -TERM $supervisors 2>/dev/null
	fleet_close
}
# request NODE PATH [CURL-OPTION]...: prints status and reason of an answer
request() {
	request_at=$1
	request_path=$2
	shift 2
	curl -s -m 3 -o "$fleet_dir/body-$request_at" -D - -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)$request_at" \
		-H 'X-Deadline-Ms: 2500' "$@" "http://$fleet_net.$request_at:8400$request_path" |
		awk '/^HTTP/ { status = $2 } tolower($1) == "kumquatrock-reason:" { reason = $2 } END { print status + 0, reason }' |
		tr -d '\r'
}
# send_for SECONDS NAME PATH [CURL-OPTION]...: sends a request to one daemon after the other; a
# path that ends with a dash gets a number, so that no two are the same
send_for() {
	send_end=$(($(date +%s) + $1))
	send_name=$2
	send_path=$3
	shift 3
	send_n=0
	while [ "$(date +%s)" -lt $send_end ]; do
		for send_node in $nodes; do
			send_n=$((send_n + 1))
			case $send_path in
			*-) request "$send_node" "$send_path$send_n" "$@" ;;
			*) request "$send_node" "$send_path" "$@" ;;
			esac >>"$fleet_dir/$send_name.answers"
		done
	done
}
crashes() { cat "$fleet_dir"/target-*.history | grep " crash path=$1" | sort -n; }
# late_runs PATH: runs of a request later than 3 s after the third crash
late_runs() {
	crashes "$1" | awk 'NR == 3 { limit = $1 + 3e6 + 40e3 } NR > 3 && $1 > limit { n++ } END { print n + 0 }'
}
refused() { grep -c crashes-targets "$fleet_dir/$1.answers"; }
# check_sound NAME: none of these was refused as one that crashes targets
check_sound() {
	n=$(refused "$1")
	[ "$n" = 0 ] || fleet_fail "$n of $(wc -l <"$fleet_dir/$1.answers") requests of $1 were refused as if they crashed targets"
}
# check_crashing NAME PATH
check_crashing() {
	late=$(late_runs "$2")
	[ "$(crashes "$2" | wc -l)" -ge 3 ] || fleet_fail "$1: there were no three crashes"
	[ "$late" -le 3 ] || fleet_fail "$1: targets got it $late times more, $(crashes "$2" | wc -l) in all"
	[ "$(refused "$1")" -gt 0 ] || fleet_fail "$1: it was never refused"
}
all_ready() {
	for node in $nodes; do
		[ "$(request "$node" /p/first)" = "200 " ] || return 1
	done
}

trap close_all EXIT
dialect_platform
for node in $nodes; do
	fleet_daemon "${node%.*}" "${node#*.}"
	supervise "${node%.*}" "${node#*.}" &
	supervisors="$supervisors $!"
done
route="$(dialect_route_json /p/ safe),$(dialect_route_json /q/ non_idempotent)"
dialect_store_request POST config "$(dialect_config_json "$(echo "$route" | sed 's/"timeout_ms":900/"timeout_ms":2400/')")" >"$fleet_dir/code"
fleet_await "http://$fleet_net.1.1:8430/v1/readiness"
fleet_targets 6 || fleet_fail "the fleet is not complete"
fleet_wait_until 9 all_ready || fleet_fail "requests are not served"

head -c 50000 /dev/zero | tr '\0' b >"$fleet_dir/long-body"
send_for 16 popular /p/popular &
pids=$!
send_for 16 single /p/single- &
pids="$pids $!"
sleep 1
send_for 14 get /p/crash/get &
pids="$pids $!"
send_for 14 post /q/crash/post --data-binary "@$fleet_dir/long-body" &
pids="$pids $!"
sleep 12
# A daemon that starts anew learns from the others.
# shellcheck disable=SC2154
kill -9 "$fleet_daemon_1_1"
fleet_daemon 1 1
# shellcheck disable=SC2086
wait $pids
check_crashing get /p/crash/get
check_crashing post /q/crash/post
check_sound popular
check_sound single
served=$(tail -n 60 "$fleet_dir/popular.answers" | grep -c '^200')
[ "$served" -ge 55 ] || fleet_fail "of the last 60 popular requests $served were served"

# Crashes of targets that run popular and long requests.
send_for 9 plain /p/popular &
pids=$!
send_for 9 plain-single /p/plain- &
pids="$pids $!"
for round in 1 2 3; do
	for node in 1-1 2-1 3-1; do
		kill -9 "$(cat "$fleet_dir/target-$node.pid")"
		sleep 0.2
	done
	sleep 2
done
# shellcheck disable=SC2086
wait $pids
check_sound plain
check_sound plain-single
echo "crashes: get $(crashes /p/crash/get | wc -l), post $(crashes /q/crash/post | wc -l); late: $(late_runs /p/crash/get), $(late_runs /q/crash/post)"
[ $failed = 0 ] && echo ok
exit $failed
