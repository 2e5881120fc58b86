#!/bin/sh
# Runs scripts/faults with two fixed seeds; `make soak` runs more (SEEDS).
# usage: faults.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
failed=0
for seed in 3 4; do
	echo "seed $seed"
	./scripts/faults "$1" $seed || failed=1
done
exit $failed
