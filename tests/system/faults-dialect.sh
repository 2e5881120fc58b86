#!/bin/sh
# Runs scripts/faults in the users' dialect with two fixed seeds.
# usage: faults-dialect.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
FAULTS_DIALECT=platform
export FAULTS_DIALECT
failed=0
for seed in 5 12; do
	echo "seed $seed"
	./scripts/faults "$1" $seed || failed=1
done
exit $failed
