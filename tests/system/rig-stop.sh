#!/bin/sh
# Runs the users' mesh on real processes, beside callers that come late in stops and targets that
# turn slow as their daemons stop: no request is lost.
# usage: rig-stop.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
RIG_SECONDS=20
export RIG_SECONDS
./scripts/rig "$1" 30000
