#!/bin/sh
# Runs scripts/planned with two fixed seeds: no request is lost around planned work.
# usage: planned.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
PLANNED_SECONDS=24
export PLANNED_SECONDS
./scripts/planned "$1" 3 5
