#!/bin/sh
# Calls pass between all daemons of a fleet with the keys [new, old], [old, new]
# and [old]: the new key signs at one daemon before another has it.
# usage: keys-mixed.sh BUILD-DIRECTORY
KEYS_MIXED=1 exec sh "$(dirname "$0")/keys.sh" "$1"
