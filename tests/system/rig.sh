#!/bin/sh
# Runs the users' mesh on real processes with planned work, beside callers that are hard to serve,
# with two fixed seeds: no request is lost.
# usage: rig.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
RIG_SECONDS=20
export RIG_SECONDS
./scripts/rig "$1" 5 15
