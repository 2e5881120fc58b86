#!/bin/sh
# Runs the count of failures of requests that no target ran on a history with both kinds that
# count and those that don't, and compares its output.
# usage: unrun.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")" || exit 1
sort -s -n -k 1,1 unrun/cases.history | awk -f ../history/unrun.awk | LC_ALL=C sort -k 1,1 -k 3,3r |
	diff -u unrun/cases.expected -
