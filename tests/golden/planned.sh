#!/bin/sh
# Runs the checker of scripts/planned on a history with a loss of each clause and on one
# with a case of each excuse, and compares its output.
# usage: planned.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")" || exit 1
failed=0
for h in planned/*.history; do
	{
		sort -s -n -k 1,1 "$h" | awk -f ../history/planned.awk 2>&1
		echo "exit $?"
	} | diff -u "${h%.history}.expected" - || failed=1
done
exit $failed
