#!/bin/sh
# The operator sends a config that moves a route to another service and splits a second route
# among nine services. The store acknowledges it, and no daemon ever applies it.
# usage: run.sh   (TROUBLE=0: the second route is split among eight services)
cd "$(dirname "$0")/../.." || exit 2
. review/lib.sh
CONFIGURATION_APPLY_MS=2000
open_case "${CASE-review/4}"
start_store
write_object POST config "$(configuration 7 "$(route h.example /p/ safe codebook)" codebook archive)" >/dev/null
for n in 1 2 3; do
	start_daemon $n zone-a codebook
	start_worker $n zone-a codebook --work-ms 50
	start_daemon $((n + 3)) zone-b archive
	start_worker $((n + 3)) zone-b archive --work-ms 50
done
wait_ready 1 2 3 4 5 6
for n in 1 2 3 4 5 6; do
	wait_served $n h.example /p/x
done
sleep 2
for n in 1 2 3 4 5 6; do
	$STANDIN client load --to "$(caller_at $n)" --host h.example --path /p/x --name "look-$n" --rate 20 \
		--seconds 15 --record "$record" --as "client-$n" &
	pids="$pids $!"
done
sleep 2
services="codebook archive"
parts='{"service":"codebook","weight":50},{"service":"archive","weight":50}'
added=6
[ "$TROUBLE" = 1 ] && added=7
for k in $(seq $added); do
	services="$services canary-$k"
	parts="$parts,{\"service\":\"canary-$k\",\"weight\":1}"
done
split='{"resource_kind":"routes","metadata":{"name":"r-split"},"specification":{"host":"k.example","path_prefix":"/q/","kind":"safe","timeout_ms":1200,"target_latency_ms":600,"priority":1,"traffic_split":['$parts'],"max_attempts":2}}'
# shellcheck disable=SC2086
note "the operator moves the route to archive and splits another among $((added + 2)) services: status $(write_object PUT config/main "$(configuration 9 "$(route h.example /p/ safe archive),$split" $services)")"
acked=$(now)
sleep 14
# The requests sent later than the bound, and which of them the old service ran.
late=$(awk -v from=$((acked + CONFIGURATION_APPLY_MS)) '$3 == "sent" && $1 > from { late[$4] = 1 }
	$3 == "run" && $7 == "service=codebook" && late[$4] { n++; split($4, part, "-"); by[part[2]]++ }
	END { printf "%d", n; for (d in by) printf " daemon-%s:%d", d, by[d] }' "$record")
new=$(grep -c " run .* service=archive" "$record")
note "of the requests sent later than $CONFIGURATION_APPLY_MS ms after the acknowledgement the old service ran ${late} (1 breaks the rule); the new service ran $new"
[ "$(grep -c ' run ' "$record")" -gt 100 ] || give_up "there was no traffic"
[ "${late%% *}" -eq 0 ]
