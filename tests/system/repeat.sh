#!/bin/sh
# What a caller of a non-idempotent request gets when it repeats with its id:
# at another daemon, with an id of an incarnation that is gone, at a daemon that
# is stopping, with a key of its own.
# usage: repeat.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
: "${FLEET_NET:=127.33}"
. scripts/fleet.sh
failed=0

# call DAEMON FIELD...: POST to checkout; prints status, outcome and body
call() {
	at=$1
	shift
	for f in "$@"; do
		set -- "$@" -H "$f"
		shift
	done
	code=$(curl -s -m 5 -D "$fleet_dir/head" -o "$fleet_dir/body" -w '%{http_code}' \
		-X POST -H 'Host: checkout' "$@" "http://$at:8400/payment")
	echo "$code $(field Kumquatrock-Outcome)"
}

field() {
	tr -d '\r' <"$fleet_dir/head" | sed -n "s/^$1: //Ip"
}

# expect WHAT WANTED GOT
expect() {
	[ "$2" = "$3" ] && return
	echo "$1: wanted \"$2\", got \"$3\""
	failed=1
}

runs() {
	grep -h "run service=checkout.*key=$1 " "$fleet_dir"/target-*.history | wc -l
}

fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_tool publish examples/checkout.json 2>/dev/null || exit 1
fleet_tool dc in dc1 --region r1 2>/dev/null || exit 1
fleet_instance 1 1 checkout --service-us 2000
fleet_instance 1 2 checkout --service-us 2000
fleet_ready checkout || { echo "not ready"; exit 1; }
a=$fleet_net.1.1 b=$fleet_net.1.2

expect "first call" "200 " "$(call $a 'Call-Key: k1')"
id=$(field Kumquatrock-Request-Id)
cp "$fleet_dir/body" "$fleet_dir/first"
expect "repeat at the other daemon" "200 kept" \
	"$(call $b 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
cmp "$fleet_dir/first" "$fleet_dir/body" || failed=1
expect "runs of k1" 1 "$(runs k1)"

expect "id of an incarnation that nobody knows" "504 unknown" \
	"$(call $a 'Call-Key: k2' \
		"Kumquatrock-Request-Id: 00000000000000a1-00000000000000000000000000000000")"
expect "runs of k2" 0 "$(runs k2)"
expect "key of the caller's own" "400 not-run" \
	"$(call $a 'Call-Key: k3' 'Idempotency-Key: 7')"
expect "key of its own and an id" "400 unknown" \
	"$(call $a 'Call-Key: k3' 'Idempotency-Key: 7' "Kumquatrock-Request-Id: $id")"
expect "id that is none" "400 not-run" \
	"$(call $a 'Call-Key: k3' 'Kumquatrock-Request-Id: 7')"
expect "id for a service that is not published" "404 unknown" \
	"$(call $a 'Call-Key: k3' 'Kumquatrock-Service: none' \
		"Kumquatrock-Request-Id: $id")"
expect "runs of k3" 0 "$(runs k3)"

# The incarnation that ran it is killed; a new one comes in its place.
case $id in
"$(curl -s "http://$a:8420/v1/status" | sed -n 's/.*"incarnation": *"\([0-9a-f]*\)".*/\1/p')"-*) n=1 ;;
*) n=2 ;;
esac
eval "kill -9 \$fleet_daemon_1_$n"
other=$((3 - n))
expect "its daemon was killed" "504 unknown" \
	"$(call $fleet_net.1.$other 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
sleep 6
expect "its daemon is known to be dead" "504 unknown" \
	"$(call $fleet_net.1.$other 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
fleet_daemon 1 $n
sleep 3
expect "another daemon in its place" "504 unknown" \
	"$(call $fleet_net.1.$n 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
expect "runs of k1" 1 "$(runs k1)"
exit $failed
