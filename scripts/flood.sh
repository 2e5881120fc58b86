# Functions to flood the ports of a daemon; to be sourced after fleet.sh and dialect.sh.
#
#   flood_open BUILD-DIRECTORY   start two daemons with lowered limits, and targets
#   flood KIND [PLACE]...        play a kind of flood (tests/fake/flood) at each place, all
#                                if none is given, and check both daemons after each
#   flood_close                  stop all processes; the status is that of the test
#
# The smallest machine has 160 MB, half of which is for the process itself and the kernel's
# buffers. Each daemon has an eighth of the limits for such a machine (call_bytes a quarter
# of it, see docs/SETTINGS.md), so it may grow by an eighth of 80 MB, whoever floods it. It
# may have as many descriptors open as callers' connections and a part for everything else.

FLOOD_CONNECTIONS=128 # limits.connections, of 1,024
FLOOD_CALL_BYTES=5242880 # limits.call_bytes and body_in_flight_bytes
FLOOD_GROWTH_MAX_KB=10240
FLOOD_DESCRIPTORS=256 # of the process
FLOOD_DESCRIPTORS_MAX=224 # FLOOD_CONNECTIONS and 96 for targets, peers, store and ports
FLOOD_CROWD=120 # connections of a flood, so that limits.connections does not refuse them
FLOOD_CROWD_IDLE=300 # of one above the limit of descriptors
FLOOD_SECONDS=3
FLOOD_BODY_BYTES=250000 # of the targets' answers to /large
FLOOD_PLACES='route once none ready peers heartbeat operators'
flood_crowd=$FLOOD_CROWD
# The address sanitizer keeps freed memory in a quarantine, which must not count as
# growth.
export ASAN_OPTIONS="${ASAN_OPTIONS-}:quarantine_size_mb=1"

# fleet_daemon DC N: replaces the function of fleet.sh; with lowered limits
fleet_daemon() {
	flood_limits="\"connections\": $FLOOD_CONNECTIONS, \"call_bytes\": $FLOOD_CALL_BYTES, \"body_in_flight_bytes\": $FLOOD_CALL_BYTES,"
	fleet_settings "$1" "$2" | sed "s/\"limits\": {/&$flood_limits/" >"$fleet_dir/dc$1-$2.json"
	# shellcheck disable=SC3045
	fleet_run "daemon-$1-$2" sh -c "ulimit -n $FLOOD_DESCRIPTORS; exec \"$fleet_build/kumquatrockd\" --settings \"$fleet_dir/dc$1-$2.json\""
	fleet_daemons="$fleet_daemons $!"
	eval "fleet_daemon_$1_$2=$!"
}

flood_memory_kb() { awk '/VmHWM/ { print $2 }' "/proc/$1/status"; }
# flood_reset_peak PID: lets the peak begin with what the process holds now
flood_reset_peak() { [ ! -w "/proc/$1/clear_refs" ] || echo 5 >"/proc/$1/clear_refs"; }
flood_descriptors() { find "/proc/$1/fd" -mindepth 1 2>/dev/null | wc -l; }
flood_served() {
	[ "$(curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' -H 'Host: h.example' -H "X-Attempt-Id: t$(date +%N)" \
		-H 'X-Deadline-Ms: 900' "http://$fleet_net.1.$1:8400/s/x")" = 200 ]
}
flood_is_ready() {
	[ "$(curl -s -m 2 -o "$fleet_dir/body" -w '%{http_code}' "http://$fleet_net.1.$1:8430/v1/readiness")" = 200 ]
}

flood_open() {
	fleet_open "$1"
	failed=0
	if ! dialect_fleet 1.1,1.2; then
		echo "FAILED the targets are not known"
		fleet_close
		exit 1
	fi
	dialect_version=2
	dialect_store_request PUT config/main "$(dialect_config_json "$(dialect_route_json /s/ safe),$(dialect_route_json /n/ non_idempotent)" |
		sed 's/"timeout_ms":900/"timeout_ms":5000/')" >"$fleet_dir/code"
	for flood_n in 1 2; do
		fleet_wait_until 10 flood_served $flood_n || fleet_fail "requests are not served by daemon $flood_n"
		fleet_wait_until 10 flood_is_ready $flood_n || fleet_fail "daemon $flood_n is not ready"
	done
	sleep 4 # the targets are warm then
	# shellcheck disable=SC2154
	flood_before_1=$(flood_memory_kb "$fleet_daemon_1_1") flood_before_2=$(flood_memory_kb "$fleet_daemon_1_2")
}

# Prints the arguments with which the driver reaches a place.
flood_place() {
	flood_at=$fleet_net.1.1
	case $1 in
	route) echo "--to $flood_at:8400 --host h.example --path /s/large" ;;
	once) echo "--to $flood_at:8400 --host h.example --path /n/large" ;;
	none) echo "--to $flood_at:8400 --host h.example --path /other" ;;
	ready) echo "--to $flood_at:8430 --path /v1/readiness" ;;
	peers) echo "--to $flood_at:8410 --records" ;;
	heartbeat) echo "--to $flood_at:8440 --path /v1/rpc?call=instances.heartbeat&of=flood" ;;
	operators) echo "--to $flood_at:8420 --path /v1/object" ;;
	*) echo "--to $flood_at:1" ;;
	esac
}

# flood_check N NAME: checks daemon N after a flood
flood_check() {
	eval "flood_pid=\$fleet_daemon_1_$1 flood_from=\$flood_before_$1"
	if ! kill -0 "$flood_pid" 2>/dev/null; then
		fleet_fail "$2: daemon $1 ended"
		return
	fi
	flood_now=$(flood_memory_kb "$flood_pid")
	echo "$2: daemon $1 from $flood_from kB to $flood_now kB"
	[ $((flood_now - flood_from)) -le $FLOOD_GROWTH_MAX_KB ] || fleet_fail "$2: memory of daemon $1 grew by $((flood_now - flood_from)) kB"
	fleet_wait_until 10 flood_served "$1" || fleet_fail "$2: daemon $1 serves no request afterwards"
	fleet_wait_until 10 flood_is_ready "$1" || fleet_fail "$2: daemon $1 is not ready afterwards"
}

# flood_one KIND PLACE: plays a flood and checks both daemons
flood_one() {
	# shellcheck disable=SC2046
	"$fleet_build/fake-flood" --kind "$1" --connections "$flood_crowd" --seconds $FLOOD_SECONDS $(flood_place "$2") \
		>"$fleet_dir/flood.log" 2>&1 &
	flood_driver=$!
	flood_most=0
	flood_reset_peak "$fleet_daemon_1_1"
	flood_reset_peak "$fleet_daemon_1_2"
	while kill -0 $flood_driver 2>/dev/null; do
		flood_open_now=$(flood_descriptors "$fleet_daemon_1_1")
		[ "$flood_open_now" -le $flood_most ] || flood_most=$flood_open_now
		sleep 0.2
	done
	wait $flood_driver || fleet_fail "$1 at $2: the driver failed"
	echo "$1 at $2: $(cat "$fleet_dir/flood.log") descriptors $flood_most"
	[ $flood_most -le $FLOOD_DESCRIPTORS_MAX ] || fleet_fail "$1 at $2: $flood_most descriptors were open"
	flood_check 1 "$1 at $2"
	flood_check 2 "$1 at $2"
}

flood() {
	flood_kind=$1
	shift
	# shellcheck disable=SC2086
	[ $# -gt 0 ] || set -- $FLOOD_PLACES
	for flood_where in "$@"; do
		flood_one "$flood_kind" "$flood_where"
		kill -0 "$fleet_daemon_1_1" 2>/dev/null || return
	done
}

flood_close() {
	fleet_close || fleet_fail "a process ended by itself"
	exit $failed
}
