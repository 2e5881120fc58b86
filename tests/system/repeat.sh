#!/bin/sh
# What the caller of a non-idempotent request gets when it repeats the request with its
# request id: at another daemon, with the id of an incarnation that nobody knows or
# that was killed, with an idempotency key of its own, with a malformed id.
# usage: repeat.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
: "${FLEET_NET:=127.33}"
. scripts/fleet.sh
failed=0

# send DAEMON FIELD...: sends a POST to checkout with these header fields; prints status
# and outcome, the body is in $fleet_dir/body
send() {
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

# Prints a header field of the last answer.
field() {
	tr -d '\r' <"$fleet_dir/head" | sed -n "s/^$1: //Ip"
}

# expect_equal WHAT EXPECTED ACTUAL
expect_equal() {
	[ "$2" = "$3" ] && return
	echo "$1: expected \"$2\", got \"$3\""
	failed=1
}

# Prints how often a request with this key ran.
runs() { # KEY
	grep -h "run service=checkout.*key=$1 " "$fleet_dir"/target-*.history | wc -l
}

fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_tool publish examples/checkout.json 2>/dev/null || exit 1
fleet_tool dc in dc1 --region r1 2>/dev/null || exit 1
fleet_instance 1 1 checkout --service-us 2000
fleet_instance 1 2 checkout --service-us 2000
fleet_ready checkout || { echo "requests to checkout are not answered"; exit 1; }
a=$fleet_net.1.1 b=$fleet_net.1.2

expect_equal "first request" "200 " "$(send $a 'Call-Key: k1')"
id=$(field Kumquatrock-Request-Id)
cp "$fleet_dir/body" "$fleet_dir/first"
expect_equal "repeat at the other daemon" "200 kept" \
	"$(send $b 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
cmp "$fleet_dir/first" "$fleet_dir/body" || failed=1
expect_equal "runs of k1" 1 "$(runs k1)"

expect_equal "id of an incarnation that nobody knows" "504 unknown" \
	"$(send $a 'Call-Key: k2' \
		"Kumquatrock-Request-Id: 00000000000000a1-00000000000000000000000000000000")"
expect_equal "runs of k2" 0 "$(runs k2)"
expect_equal "idempotency key of the caller" "400 not-run" \
	"$(send $a 'Call-Key: k3' 'Idempotency-Key: 7')"
expect_equal "idempotency key of the caller and an id" "400 unknown" \
	"$(send $a 'Call-Key: k3' 'Idempotency-Key: 7' "Kumquatrock-Request-Id: $id")"
expect_equal "malformed id" "400 not-run" \
	"$(send $a 'Call-Key: k3' 'Kumquatrock-Request-Id: 7')"
expect_equal "id for a service that is not published" "404 unknown" \
	"$(send $a 'Call-Key: k3' 'Kumquatrock-Service: none' \
		"Kumquatrock-Request-Id: $id")"
expect_equal "runs of k3" 0 "$(runs k3)"

# The incarnation that ran the request is killed and replaced by a new one.
case $id in
"$(curl -s "http://$a:8420/v1/status" | sed -n 's/.*"incarnation": *"\([0-9a-f]*\)".*/\1/p')"-*) n=1 ;;
*) n=2 ;;
esac
eval "kill -9 \$fleet_daemon_1_$n"
other=$((3 - n))
expect_equal "its daemon was killed" "504 unknown" \
	"$(send $fleet_net.1.$other 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
sleep 6
expect_equal "its daemon is known to be dead" "504 unknown" \
	"$(send $fleet_net.1.$other 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
fleet_daemon 1 $n
sleep 3
expect_equal "a new incarnation replaces its daemon" "504 unknown" \
	"$(send $fleet_net.1.$n 'Call-Key: k1' "Kumquatrock-Request-Id: $id")"
expect_equal "runs of k1" 1 "$(runs k1)"
exit $failed
