#!/bin/sh
# Cost of a configuration change for a daemon when the platform holds as many
# objects as at the intended size: 53 services, 6 data centres, 990 instances.
# usage: objects.sh BUILD-DIRECTORY
set -eu
cd "$(dirname "$0")/.."
. scripts/fleet.sh
SERVICES=53
INSTANCES=990
CHANGES=40
IDLE_S=10

put() { # PATH VALUE
	curl -s -o /dev/null -X PUT -H 'If-None-Match: *' --data "$2" "http://$fleet_platform_at/v1/objects/$1"
}
ticks() { awk '{ print $14 + $15 }' "/proc/$fleet_daemon_1_1/stat"; }

fleet_open "$1"
trap 'fleet_signal KILL "$fleet_pids"; rm -rf "$fleet_dir"' EXIT
fleet_platform
i=1
while [ $i -le $SERVICES ]; do
	put service/s$i "$(sed "s/codebook/s$i/; s,//.*,," examples/codebook.json)"
	i=$((i + 1))
done
for dc in 1 2 3 4 5 6; do
	put datacentre/dc$dc "{\"datacentre\":\"dc$dc\",\"region\":\"r1\",\"state\":\"in\",\"ramp_ms\":1000}"
done
i=1
while [ $i -le $INSTANCES ]; do
	id=$(printf 'aaaaaaaa%08x' $i)
	put instance/$id "{\"incarnation\":\"$id\",\"service\":\"s$((i % SERVICES + 1))\",\"datacentre\":\"dc$((i % 6 + 1))\",\"region\":\"r1\",\"ip\":\"127.200.$((i / 250)).$((i % 250 + 1))\",\"caller_port\":8400,\"peer_port\":8410,\"operator_port\":8420}"
	i=$((i + 1))
done
fleet_daemon 1 1
fleet_await "http://$fleet_net.1.1:8420/v1/status"
sleep 25 # until the instances, none of which runs, are dead and forgotten
before=$(ticks)
sleep $IDLE_S
idle_end=$(ticks)
i=1
start=$(date +%s%3N)
while [ $i -le $CHANGES ]; do
	[ $((i % 2)) = 0 ] && state=in || state=out
	"$1/kumquatrock" --platform "$fleet_platform_at" dc $state dc6 --region r1 >/dev/null
	sleep 0.1
	i=$((i + 1))
done
took=$(($(date +%s%3N) - start))
after=$(ticks)
echo "$before $idle_end $after $(getconf CLK_TCK) $CHANGES $took $IDLE_S" | awk '{
	idle = ($2 - $1) / $4 / $7
	printf "objects.idle_cpu %.3f percent\n", 100 * idle
	printf "objects.cpu_per_change %.2f ms\n", 1000 * (($3 - $2) / $4 - idle * $6 / 1000) / $5 }'
awk '/VmRSS/ { print "objects.rss", $2, "KB" }' "/proc/$fleet_daemon_1_1/status"
curl -s "http://$fleet_net.1.1:8420/v1/status" | sed 's/.*"complete":\([0-9]*\).*/objects.version \1 count/'
