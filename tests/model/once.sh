#!/bin/sh
# Searches the model of the at-most-once run: its properties must hold and each
# mutant must break one.
# usage: once.sh BUILD-DIRECTORY
set -u
cd "$(dirname "$0")/../.."
. tests/model/model.inc
FAIR='' FLAGS=-DNOFAIR failed=0
model once "$1"
build whole
holds runs_at_most_once
holds not_run_is_true
holds answer_is_of_a_run
holds no_run_past_the_deadline
mutant NO_HORIZON runs_at_most_once
mutant NO_TOMBSTONE not_run_is_true
mutant NO_INCARNATION runs_at_most_once
mutant RETRY_UNKNOWN runs_at_most_once
mutant LOST_IS_NOT_RUN not_run_is_true
mutant NO_RECHECK no_run_past_the_deadline
exit $failed
