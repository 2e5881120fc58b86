#!/bin/sh
# A health check and a request never use the same connection to a target, where a late second
# answer to one could be taken as the answer to the other.
# usage: measure-alone.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
SECONDS_OF_LOAD=4
fleet_open "$1"
trap fleet_close EXIT
failed=0

dialect_fleet 1.1 || exit 1
"$1/bench-load" --dialect platform --service h.example --rate 40 --fixed --seconds $SECONDS_OF_LOAD --timeout-ms 900 \
	--call GET:/p/1:1:repeat --to "$fleet_first" --history "$fleet_dir/load.history" >"$fleet_dir/load.log" ||
	fleet_fail "the load tool saw a wrong answer"
awk '
	{ conn = $NF; sub("conn=", "", conn) }
	$3 == "measure" { checks++; checked[conn] = 1 }
	$3 == "run" { runs++; used[conn] = 1 }
	END {
		for (c in checked) { n++; shared += c in used }
		print "health checks", checks, "on", n, "connections; requests", runs + 0, "connections shared", shared + 0
		exit checks < 3 || runs < 100 || n > 2 || shared > 0
	}' "$fleet_dir/target-1-1.history" || fleet_fail "health checks and requests share connections"
exit $failed
