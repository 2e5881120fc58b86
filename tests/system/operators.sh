#!/bin/sh
# Operators publish concurrently, lose answers of the platform, publish malformed files
# and wait until a version is in force: the tool reports one outcome to each, and that
# outcome is true.
# usage: operators.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
RACERS="1 2 3 4 5 6 7 8 9 10"
failed=0

# expect WHAT TEST-ARGUMENTS...
expect() {
	what=$1
	shift
	if [ "$@" ]; then
		echo "ok $what"
	else
		echo "FAILED $what: $*"
		failed=1
	fi
}
tool() {
	"$fleet_build/kumquatrock" --platform "$fleet_platform_at" "$@"
}
# Prints the service object that the platform stores.
object() {
	curl -s -m 2 "http://$fleet_platform_at/v1/objects/service/codebook"
}
# check_race WHAT: all publish over the same version; the platform accepts one, which is
# the one stored, and the tool reports a conflict to all others
check_race() {
	before=$(fleet_platform_count version)
	pids=
	for i in $RACERS; do
		tool publish --publication "$1-$i" --expect "$before" examples/codebook.json \
			>"$fleet_dir/racer-$i" 2>>"$fleet_dir/operators.log" &
		pids="$pids $!"
	done
	i=0 accepted=0 conflict=0 winner=
	for p in $pids; do
		i=$((i + 1))
		wait "$p"
		code=$?
		case "$code $(cat "$fleet_dir/racer-$i")" in
		"0 accepted service codebook version $((before + 1))")
			accepted=$((accepted + 1))
			winner=$i
			;;
		"5 conflict service codebook version $((before + 1))") conflict=$((conflict + 1)) ;;
		*) echo "racer $i: $code $(cat "$fleet_dir/racer-$i")" ;;
		esac
	done
	expect "race $1: accepted" $accepted = 1
	expect "race $1: conflict" $conflict = 9
	expect "race $1: version rose by one" "$(fleet_platform_count version)" = $((before + 1))
	expect "race $1: the accepted publication is stored" "$(object | grep -c "\"$1-$winner\"")" = 1
}
# check_refused WHAT LINE:COLUMN TEXT: the tool refuses a malformed file, names this place
# and changes nothing
check_refused() {
	printf '%s' "$3" >"$fleet_dir/bad.json"
	version=$(fleet_platform_count version)
	object_before=$(object)
	tool publish "$fleet_dir/bad.json" >"$fleet_dir/out" 2>"$fleet_dir/err"
	expect "$1: exit" $? = 3
	expect "$1: place" "$(grep -c "^$fleet_dir/bad.json:$2: ." "$fleet_dir/err")" = 1
	expect "$1: nothing is reported as accepted" ! -s "$fleet_dir/out"
	expect "$1: version" "$(fleet_platform_count version)" = "$version"
	expect "$1: object" "$(object)" = "$object_before"
}

fleet_open "$1"
trap 'fleet_signal CONT "$fleet_pids"; fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
tool publish examples/codebook.json >"$fleet_dir/operators.log" 2>&1 || exit 1

check_race plain
fleet_platform_mode "lose-answer&count=1"
check_race lost

check_refused "unknown key" 3:2 '{
	"service": "codebook",
	"timeout_s": 1
}'
check_refused "duplicate key" 4:2 '{
	"service": "codebook",
	"timeout_ms": 1000,
	"timeout_ms": 2000
}'
check_refused "wrong unit" 2:46 '{
	"service": "codebook", "cold": { "good_ms": "50us" }
}'
check_refused "contradictory rules" 5:3 '{
	"service": "codebook",
	"requests": [
		{ "method": "POST", "path": "/pairing", "idempotent": false },
		{ "method": "POST", "path": "/pairing", "idempotent": true }
	]
}'

for n in 1 2 3; do
	fleet_instance 1 $n codebook
done
fleet_ready codebook && fleet_targets 3 || exit 1
fleet_tool --wait=4000 publish examples/codebook.json >"$fleet_dir/out" 2>&1
expect "--wait: in force everywhere" $? = 0
expect "--wait: reported so" "$(grep -c 'in force at 3 of 3' "$fleet_dir/out")" = 1
# shellcheck disable=SC2154
kill -STOP "$fleet_daemon_1_3"
fleet_tool --wait=1000 publish examples/codebook.json >"$fleet_dir/out" 2>&1
expect "--wait: one daemon is suspended" $? = 7
expect "--wait: accepted nevertheless" "$(grep -c '^accepted ' "$fleet_dir/out")" = 1
version=$(sed -n 's/^accepted service codebook version //p' "$fleet_dir/out")
kill -CONT "$fleet_daemon_1_3"
caught_up() {
	[ "$(fleet_status 1 3 complete)" -ge "$version" ]
}
fleet_wait_until 4 caught_up
expect "resumed daemon catches up within 4 s" $? = 0
exit $failed
