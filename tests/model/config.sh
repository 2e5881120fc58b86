#!/bin/sh
# Searches the model of configuration writes: its properties must hold and each
# mutant must break one.
# usage: config.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. tests/model/model.inc
FAIR='' FLAGS=-DNFAIR=3 failed=0
model config "$1"
build whole
holds never_reverts
holds one_outcome_reported_truly
holds builds_on_what_was_read
holds holds_what_it_names
mutant TAKE_ANY never_reverts
mutant LOST_IS_REFUSED one_outcome_reported_truly
mutant NEWEST_ID_ONLY one_outcome_reported_truly
mutant NO_CONDITION builds_on_what_was_read
mutant STALE_COUNTS holds_what_it_names
FAIR=-f
holds in_force_everywhere
mutant NO_PULL in_force_everywhere
mutant STALE_COUNTS in_force_everywhere
exit $failed
