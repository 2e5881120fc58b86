#!/bin/sh
# A script that waits for something is held up in a try for longer than its bound: it looks
# again, for the rest of the bound. What is not there within the bound still fails.
# usage: held-up-try.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
failed=0
tries=0

# The first try comes back after 3 s.
held_up() {
	tries=$((tries + 1))
	[ $tries = 1 ] || return 0
	sleep 3
	return 1
}
fleet_wait_tries 2 1 held_up || fleet_fail "held up once: not seen"

# 3 s in two tries of which 1 s each counts
twice() {
	tries=$((tries + 1))
	sleep 1.5
	return 1
}
tries=0
fleet_wait_tries 2 1 twice && fleet_fail "held up twice: seen"
[ $tries = 2 ] || fleet_fail "held up twice: $tries tries, not 2"

# Slow tries within their own limit, and quick ones, end with the bound.
slow() {
	tries=$((tries + 1))
	sleep 0.9
	return 1
}
quick() {
	tries=$((tries + 1))
	return 1
}
tries=0
fleet_wait_tries 1 1 slow && fleet_fail "slow tries: seen"
[ $tries -le 2 ] || fleet_fail "slow tries: $tries, not 2"
tries=0
fleet_wait_tries 1 1 quick && fleet_fail "quick tries: seen"
[ $tries -le 12 ] || fleet_fail "quick tries: $tries, more than 12"
[ $failed = 0 ] && echo ok
exit $failed
