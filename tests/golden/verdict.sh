#!/bin/sh
# The history check on two written histories: one that holds, one that breaks
# every rule.
# usage: verdict.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/verdict" || exit 1
failed=0
for h in good bad; do
	{
		awk -v timeout_ms=1000 -v measure='s=2' \
			-v settle_s=3 -v straight=load9 \
			-f ../../history/verdict.awk $h.history 2>&1
		echo "exit $?"
	} | LC_ALL=C sort | diff -u $h.expected - || failed=1
done
exit $failed
