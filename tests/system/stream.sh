#!/bin/sh
# Bodies of 64 MB pass whole in both directions and in bounded memory, also to a slow
# reader. An answer that the target cuts is cut at the caller. A caller that closes its
# connection cancels the work at the target. The target gets the time that is left as
# its deadline, and the caller gets an answer at the deadline.
# usage: stream.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
BYTES=67108864
RSS_MAX_KB=49152
failed=0
# The address sanitizer keeps freed memory in a quarantine, which must not count as
# memory of the daemon.
export ASAN_OPTIONS="${ASAN_OPTIONS-}:quarantine_size_mb=1"
fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
sed 's/"timeout_ms": 1000/"timeout_ms": 30000/; s/"hedge": true/"hedge": false/' examples/codebook.json >"$fleet_dir/codebook.json"
fleet_tool publish "$fleet_dir/codebook.json" >/dev/null 2>&1 || exit 1
fleet_instance 1 1 codebook --body-bytes 128 --service-us 1000
fleet_daemon 1 2
fleet_ready codebook || exit 1
at=$fleet_net.1.2:8400
target=$fleet_net.1.1:9001
until [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: codebook' "http://$at/x")" = 200 ]; do sleep 0.1; done

# expect_equal NAME EXPECTED ACTUAL
expect_equal() {
	[ "$2" = "$3" ] && return
	echo "$1: expected '$2', got '$3'"
	failed=1
}
set_target() { curl -s -o /dev/null -X POST "http://$target/fake/set?$1"; }
field() { tr -d '\r' <"$fleet_dir/head" | sed -n "s/^$1: //Ip"; }
# Prints the largest resident size of a process so far in KB.
# shellcheck disable=SC2154
peak_rss_kb() { awk '/VmHWM/ { print $2 }' "/proc/$1/status"; }

# Random bytes, so that bytes out of order or sent again change the digest.
head -c $BYTES /dev/urandom >"$fleet_dir/sent"
curl -s -D "$fleet_dir/head" -o /dev/null -H 'Host: codebook' -H 'Expect:' \
	--data-binary "@$fleet_dir/sent" "http://$at/pairing"
expect_equal "digest of 64 MB sent" "$(sha256sum <"$fleet_dir/sent" | cut -d' ' -f1)" "$(field Request-Digest)"
set_target body_bytes=$BYTES
curl -s --limit-rate 40M -D "$fleet_dir/head" -o "$fleet_dir/got" -H 'Host: codebook' "http://$at/x"
expect_equal "bytes received" $BYTES "$(wc -c <"$fleet_dir/got")"
expect_equal "digest of 64 MB received" "$(field Body-Digest)" "$(sha256sum <"$fleet_dir/got" | cut -d' ' -f1)"
# shellcheck disable=SC2154
for p in "$fleet_daemon_1_1" "$fleet_daemon_1_2"; do
	[ "$(peak_rss_kb "$p")" -lt $RSS_MAX_KB ] || {
		echo "a daemon used $(peak_rss_kb "$p") KB of memory"
		failed=1
	}
done
set_target cut=1
curl -s -o /dev/null -H 'Host: codebook' "http://$at/x"
code=$?
case $code in 18 | 56) ;; *) expect_equal "curl's code for a cut answer" "18 or 56" $code ;; esac
set_target body_bytes=128
set_target service_us=20000000
curl -s -m 0.5 -o /dev/null -H 'Call-Key: gone' -H 'Host: codebook' "http://$at/x"
sleep 0.5
grep -q "cut .*key=gone" "$fleet_dir/target-1-1.history" || {
	echo "the request of a caller that closed its connection was not cancelled at the target"
	failed=1
}
expect_equal "answer at the deadline" 504 "$(curl -s -m 5 -o /dev/null -w '%{http_code}' \
	-H 'Kumquatrock-Deadline-Ms: 300' -H 'Host: codebook' "http://$at/x")"
exit $failed
