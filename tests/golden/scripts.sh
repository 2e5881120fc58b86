#!/bin/sh
# Runs each script with script-run, which drives the modules of src/core without
# input and output, and compares what it prints with the expected output.
# usage: scripts.sh BUILD-DIRECTORY
set -u
run=$(realpath "$1")/script-run
cd "$(dirname "$0")/script" || exit 1
failed=0
for s in *.script; do
	"$run" "$s" 2>&1 | diff -u "${s%.script}.expected" - || failed=1
done
exit $failed
