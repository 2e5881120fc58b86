#!/bin/sh
# Runs the judge of the rig on histories with a case of each clause and of each excuse, and
# compares its output.
# usage: rig.sh BUILD-DIRECTORY
set -u
build=$(cd "$1" && pwd) || exit 1
cd "$(dirname "$0")" || exit 1
dir=$(mktemp -d) || exit 1
trap 'rm -rf "$dir"' EXIT
failed=0
for h in rig/*.history; do
	cp "$h" "$dir/case.history"
	{
		"$build/rig-mesh" --judge --dir "$dir" 2>&1
		echo "exit $?"
	} | diff -u "${h%.history}.expected" - || failed=1
done
exit $failed
