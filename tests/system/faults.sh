#!/bin/sh
# Calls while daemons are killed, frozen and replaced and the platform is down;
# what must always hold is checked in the histories.
# usage: faults.sh BUILD-DIRECTORY [SEED]
set -u
cd "$(dirname "$0")/../.."
FLEET_NET=${FLEET_NET:-127.34} # another one for each run at the same time
. scripts/fleet.sh
seed=${2:-2}

fleet_open "$1"
trap 'fleet_close; rm -rf "$fleet_dir"' EXIT
fleet_platform || exit 1
fleet_tool publish examples/checkout.json 2>/dev/null || exit 1
to=
for dc in 1 2; do
	fleet_tool dc in dc$dc --region r1 2>/dev/null || exit 1
	for n in 1 2; do
		fleet_instance $dc $n checkout --service-us 4000 --cold 1 \
			--cold-limit 2 --cold-calls 20 --seed "$seed$dc$n"
		to="$to --to $fleet_net.$dc.$n:8400"
	done
done
fleet_ready checkout || { echo "not ready"; exit 1; }

# shellcheck disable=SC2086
fleet_run load "$fleet_build/bench-load" --service checkout --seed "$seed" \
	--rate 150 --seconds 10 --timeout-ms 1000 --repeat-unknown \
	--history "$fleet_dir/load.history" $to \
	--call GET:/price/1:3:repeat --call POST:/payment:7:once
load=$!

# Faults drawn from the seed: which daemon, killed or frozen, for how long.
x=$seed
draw() {
	x=$(((x * 1103515245 + 12345) % 2147483648))
	drawn=$((x / 65536 % $1))
}
for _ in 1 2 3 4; do
	sleep 1
	draw 2
	mode=ok
	[ $drawn = 0 ] || mode=down
	echo "platform $mode"
	curl -s -m 1 -o /dev/null -X POST "http://$fleet_platform_at/fake/fault?mode=$mode"
	draw 2 && dc=$((drawn + 1))
	draw 2 && n=$((drawn + 1))
	draw 3 && how=$drawn
	eval "victim=\$fleet_daemon_${dc}_$n"
	case $how in
	0)
		echo "kill dc$dc-$n"
		kill -9 "$victim"
		fleet_daemon $dc $n
		;;
	*) # longer than its peers wait, or not
		echo "freeze dc$dc-$n"
		kill -STOP "$victim"
		draw 4
		sleep "$drawn.4"
		kill -CONT "$victim"
		;;
	esac
done
curl -s -m 1 -o /dev/null -X POST "http://$fleet_platform_at/fake/fault?mode=ok"
wait $load || echo "the load tool saw a wrong answer"
"$fleet_build/history-check" --timeout-ms 1000 --measure checkout=1 \
	--cold checkout=2 --grace-ms 3000 "$fleet_dir"/*.history
