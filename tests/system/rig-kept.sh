#!/bin/sh
# Runs the users' mesh on real processes, most of them in touch, beside targets that refuse first
# attempts and callers that end their sending side: no request on a kept connection is lost.
# usage: rig-kept.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
RIG_SECONDS=20
export RIG_SECONDS
./scripts/rig "$1" 20000
