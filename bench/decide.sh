#!/bin/sh
# Time that picking and admission take, goodput under overload, and the
# simulated latency of the chosen strategy, weighted-hedged, against an oracle.
# Prints lines of: name value unit.
# usage: decide.sh BUILD-DIRECTORY
set -eu
o=$1
"$o/bench-pick" cost
"$o/bench-pick" overload 1
for s in steady-50 steady-75 steady-90 five-callers straggler straggler-1000 \
	noisy stale lying cold burst; do
	"$o/bench-pick" 300000 1 "$s" weighted-hedged
	"$o/bench-pick" 300000 1 "$s" oracle
done | awk -F'\t' '
	$2 == "oracle" { oracle[$1] = $6 }
	$2 == "weighted-hedged" { p999[$1] = $6; attempts[$1] = $8; name[++n] = $1 }
	END {
		for (i = 1; i <= n; i++) {
			s = name[i]
			printf "pick_p999_%s %.2f ms\n", s, p999[s]
			printf "pick_p999_%s_over_oracle %.3f times\n", s, p999[s] / oracle[s]
			printf "pick_attempts_%s %.3f per_call\n", s, attempts[s]
		}
		printf "pick_p999_straggler_over_none %.3f times\n", \
			p999["straggler"] / p999["steady-50"]
	}'
