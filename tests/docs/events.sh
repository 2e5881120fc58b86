#!/bin/sh
# Fails unless docs/EVENTS.md lists exactly the log events of
# src/internal/log.h, by number and name.
set -eu
source=$(sed -n 's/^\tEVENT_\([A-Z_]*\) = \([0-9]*\),*$/\2 EVENT_\1/p' src/internal/log.h | sort)
docs=$(sed -n 's/^| \([0-9]*\) | \(EVENT_[A-Z_]*\) |.*/\1 \2/p' docs/EVENTS.md | sort)
[ -n "$source" ]
if [ "$source" != "$docs" ]; then
	echo "source:"
	echo "$source"
	echo "docs/EVENTS.md:"
	echo "$docs"
	exit 1
fi
