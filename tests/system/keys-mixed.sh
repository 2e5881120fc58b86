#!/bin/sh
# Requests pass between all daemons of a fleet with the keys [new, old], [old, new]
# and [old]: one daemon signs with the new key before another daemon has it.
# usage: keys-mixed.sh BUILD-DIRECTORY
KEYS_MIXED=1 exec sh "$(dirname "$0")/keys.sh" "$1"
