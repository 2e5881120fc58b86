#!/bin/sh
# Another writer sends liveness reports that lack fields to two of three daemons. Each takes
# the report as that of its worker, and drops the requests in flight when the worker's own
# report comes: their answers are lost, and the daemon ends by a signal later.
# usage: run.sh   (TROUBLE=0: without these reports)
cd "$(dirname "$0")/../.." || exit 2
. review/lib.sh
open_case "${CASE-review/1}"
start_store
long='{"resource_kind":"routes","metadata":{"name":"r-pay"},"specification":{"host":"pay.example","path_prefix":"/long/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":2500,"priority":0,"service":"checkout","max_attempts":2}}'
write_object POST config "$(configuration 7 "$long,$(route h.example /p/ safe checkout)" checkout)" >/dev/null
for n in 1 2 3; do
	start_daemon $n zone-$n checkout
	start_worker $n zone-$n checkout --long-ms 1600
done
wait_ready 1 2 3
for n in 1 2 3; do
	wait_served $n h.example /p/x
done
sleep 4
SECONDS_LONG=${SECONDS_LONG-40}
for n in 1 2 3; do
	$STANDIN client load --to "$(caller_at $n)" --method POST --first /p/x --first-host h.example \
		--host pay.example --path /long/x --name "pay-$n" --rate 4 \
		--seconds $SECONDS_LONG --deadline-ms 4000 --record "$record" --as "client-$n" &
	pids="$pids $!"
done
sleep 2
ends_1=0 ends_2=0 ends_3=0
second=0
while [ $second -lt $SECONDS_LONG ]; do
	if [ "$TROUBLE" = 1 ] && [ $((second % 4)) = 0 ]; then
		for n in 1 2; do
			note "second $second: another writer's report to daemon $n, without zone, version and born: status $(report $n i-other-$n '{"service":"checkout","address":"'"$(worker_at $n)"'","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":9}')"
		done
	fi
	sleep 1
	second=$((second + 1))
	for n in 1 2 3; do
		restart_ended $n || continue
		eval "ends_$n=\$((ends_$n + 1))"
		note "second $second: daemon $n had ended by itself with status $daemon_status; started again"
	done
done
sleep 3
often=0
for n in 1 2 3; do
	eval "ends=\$ends_$n"
	note "daemon $n ended by itself $ends times"
	[ "$ends" -ge 3 ] && often=$((often + 1))
done
cut=$(awk '$3 == "run" { ran[$4] = 1 } $3 == "unanswered" && ran[$4] { n++ } END { print n + 0 }' "$record")
unknown=$(awk '$3 == "run" { ran[$4] = 1 } $3 == "answered" && $5 == "status=504" && ran[$4] { n++ } END { print n + 0 }' "$record")
all=$(grep -c ' sent ' "$record")
note "of $all requests $cut ran and their connection was closed without an answer (4 break the rule); $unknown more ran and got 504; $often daemons ended by themselves 3 times or more"
[ "$all" -gt 100 ] || give_up "there was no traffic"
[ "$cut" -le 3 ]
