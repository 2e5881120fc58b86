#!/bin/sh
# Runs scripts/planned in the users' mesh with two fixed seeds, the second with daemons that
# are killed beside one that stops: no request is lost.
# usage: mesh.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
PLANNED_SECONDS=20
export PLANNED_SECONDS
./scripts/planned "$1" 2001 3001
