#!/bin/sh
# Another writer removes the object of a daemon that lives: it stops by itself. Requests that
# run then, of its own callers and of those of another daemon, are answered.
# usage: declared-left.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
REQUESTS=3 # at each of two daemons, of each kind
WORK_US=2500000
fleet_open "$1"
trap fleet_close EXIT
failed=0

# ask N METHOD PATH: sends a request to the daemon 1.N and notes its status
ask() {
	ask_code=$(curl -s -m 12 -X "$2" -o /dev/null -w '%{http_code}' -H 'Host: codebook' "http://$fleet_net.1.$1:8400$3")
	echo "$1 $2 $ask_code" >>"$fleet_dir/$phase"
}
ask_all() {
	phase=$1
	asked=
	for i in $(seq $REQUESTS); do
		for n in 1 2; do
			ask $n POST /pairing &
			asked="$asked $!"
			ask $n GET /codes/1 &
			asked="$asked $!"
		done
	done
}
runs() { [ "$(cat "$fleet_dir"/target-1-?.history | grep -c ' run ')" -ge "$1" ]; }

fleet_platform
for n in 1 2; do
	fleet_instance 1 $n codebook --slots 100 --service-us 20000 --fixed 1
done
sed 's/"timeout_ms": 1000/"timeout_ms": 9000/; s/"hedge": true/"hedge": false/; s/"limit": 4/"limit": 100/' examples/codebook.json >"$fleet_dir/codebook.json"
fleet_tool publish "$fleet_dir/codebook.json" >"$fleet_dir/publish" 2>&1 || fleet_fail "not published: $(cat "$fleet_dir/publish")"
fleet_ready codebook || fleet_fail "requests are not served"
fleet_targets 2 || fleet_fail "the targets are not known"
ask_all before
# shellcheck disable=SC2086
wait $asked
for n in 1 2; do
	curl -s -m 2 -o /dev/null -X POST "http://$fleet_net.1.$n:9001/fake/set?service_us=$WORK_US"
done
ran=$(cat "$fleet_dir"/target-1-?.history | grep -c ' run ')
ask_all left
fleet_wait_until 2 runs $((ran + 4 * REQUESTS)) || fleet_fail "not all requests run"
id=$(fleet_status 1 2 incarnation)
version=$(curl -s -m 2 -D - -o /dev/null "http://$fleet_platform_at/v1/objects/instance/$id" | tr -d '\r' | sed -n 's/^[Ee][Tt]ag: //p')
code=$(curl -s -m 2 -o /dev/null -w '%{http_code}' -X DELETE -H "If-Match: $version" "http://$fleet_platform_at/v1/objects/instance/$id")
echo "object of $id, version $version, removed: $code"
# shellcheck disable=SC2086
wait $asked
# shellcheck disable=SC2154
wait "$fleet_daemon_1_2" || fleet_fail "the daemon ended with $?"
grep -q 'event=411' "$fleet_dir/daemon-1-2.log" || fleet_fail "the daemon did not hear that it was declared left"
sort "$fleet_dir/left" | uniq -c
[ "$(grep -c ' 200$' "$fleet_dir/left")" = $((4 * REQUESTS)) ] || {
	fleet_fail "not all requests got their target's answer"
	grep -hE 'event=(10[0-9]|41[0-9]|43[0-3]|51[0-7])' "$fleet_dir"/daemon-*.log | tail -60
}
exit $failed
