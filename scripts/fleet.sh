# Functions to run a small fleet on loopback addresses; to be sourced.
#
#   fleet_open BUILD-DIRECTORY     directory $fleet_dir for settings, logs and history
#   fleet_platform                 the platform's stand-in at $fleet_platform_at
#   fleet_instance DC N SERVICE [TARGET-OPTION]...
#                                  a daemon and its target at NET.DC.N
#   fleet_ready SERVICE...         wait until a call to each service is answered at
#                                  the daemon $fleet_first
#   fleet_targets N                wait until N targets are known there
#   fleet_config_history           history lines of what daemons held in force
#   fleet_close                    stop all that was started, in order
#
# NET is FLEET_NET, 127.0 if not set. Ports on each address: caller 8400, peer 8410, operator 8420, target 9001.

fleet_net=${FLEET_NET:-127.0} # another one lets two fleets run on one machine
fleet_platform_at=$fleet_net.0.10:20200
fleet_keys='"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"' # of the next daemon

fleet_open() {
	fleet_build=$1
	fleet_dir=$(mktemp -d)
	fleet_pids=
	fleet_daemons=
	fleet_target_pids=
	fleet_first=$fleet_net.1.1:8400
}

# Runs a program in the background; its process id is in $!.
fleet_run() {
	fleet_log=$1
	shift
	"$@" >"$fleet_dir/$fleet_log.log" 2>&1 &
	fleet_pids="$! $fleet_pids"
}

fleet_platform() {
	fleet_run platform "$fleet_build/fake-platform" --ip "${fleet_platform_at%:*}" \
		--port "${fleet_platform_at#*:}" --history "$fleet_dir/platform.history"
	fleet_platform_pid=$!
	fleet_await "http://$fleet_platform_at/fake/counts"
}

# Waits until a GET is answered, 10 s at most.
fleet_await() {
	fleet_i=0
	until curl -s -m 1 -o /dev/null "$1"; do
		fleet_i=$((fleet_i + 1))
		[ $fleet_i -lt 100 ] || return 1
		sleep 0.1
	done
}

# fleet_settings DC N: settings of the daemon at NET.DC.N
fleet_settings() {
	cat <<EOF
{
	"name": "dc$1-$2", "ip": "$fleet_net.$1.$2",
	"datacentre": "dc$1", "region": "r1",
	"caller_port": 8400, "peer_port": 8410, "operator_port": 8420,
	"platform": { "ip": "${fleet_platform_at%:*}", "port": ${fleet_platform_at#*:} },
	"peers": [ { "ip": "${fleet_first%:*}", "port": 8410 }, { "ip": "$fleet_net.2.1", "port": 8410 } ],
	"fleet_keys": [ $fleet_keys ]
}
EOF
}

fleet_daemon() {
	fleet_settings "$1" "$2" >"$fleet_dir/dc$1-$2.json"
	fleet_run "daemon-$1-$2" "$fleet_build/kumquatrockd" --settings "$fleet_dir/dc$1-$2.json"
	fleet_daemons="$fleet_daemons $!"
	eval "fleet_daemon_$1_$2=$!"
}

fleet_target() {
	fleet_at=$fleet_net.$1.$2
	fleet_n=$1-$2
	fleet_var=fleet_target_$1_$2
	fleet_dc=dc$1
	fleet_service=$3
	shift 3
	fleet_run "target-$fleet_n" "$fleet_build/fake-target" --ip "$fleet_at" --port 9001 \
		--service "$fleet_service" --dc "$fleet_dc" --announce "$fleet_at:8420" \
		--history "$fleet_dir/target-$fleet_n.history" "$@"
	fleet_target_pids="$fleet_target_pids $!"
	eval "$fleet_var=$!"
}

fleet_instance() {
	fleet_daemon "$1" "$2"
	fleet_target "$@"
}

# Waits until calls to each service are answered, 15 s at most.
fleet_ready() {
	for fleet_s in "$@"; do
		fleet_i=0
		until [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: $fleet_s" \
			"http://$fleet_first/fleet-ready")" = 200 ]; do
			fleet_i=$((fleet_i + 1))
			[ $fleet_i -lt 150 ] || return 1
			sleep 0.1
		done
	done
}

# Writes what each daemon held in force, and when, as history lines.
fleet_config_history() {
	for fleet_f in "$fleet_dir"/daemon-*.log; do
		fleet_n=${fleet_f##*/}
		sed -n "s/.*event=320 .*complete=\([0-9]*\) .* us=\([0-9]*\).*/\2 ${fleet_n%.log} config version=\1/p" "$fleet_f"
	done >"$fleet_dir/config.history"
}

# Waits until the daemon $fleet_first would pick among N targets, 15 s at most.
fleet_targets() {
	fleet_i=0
	until [ "$(fleet_tool targets 2>/dev/null | grep -c '"service"')" -ge "$1" ]; do
		fleet_i=$((fleet_i + 1))
		[ $fleet_i -lt 150 ] || return 1
		sleep 0.1
	done
}

fleet_signal() {
	for fleet_p in $2; do
		kill "-$1" "$fleet_p" 2>/dev/null
	done
}

# Ends what was started; true if none of it ended with an error.
fleet_close() {
	fleet_signal CONT "$fleet_pids"
	fleet_signal TERM "$fleet_pids"
	fleet_bad=0
	for fleet_p in $fleet_pids; do
		wait "$fleet_p" 2>/dev/null
		case $? in 0 | 143 | 137) ;; *) fleet_bad=$((fleet_bad + 1)) ;; esac
	done
	fleet_pids=
	return $((fleet_bad != 0))
}

fleet_tool() {
	"$fleet_build/kumquatrock" --platform "$fleet_platform_at" --daemon "${fleet_first%:*}:8420" "$@"
}

# fleet_fault MODE...: how the platform's stand-in acts from now on
fleet_fault() {
	curl -s -m 2 -X POST -o "$fleet_dir/fault" "http://$fleet_platform_at/fake/fault?mode=$1"
}

# fleet_count NAME: a count of the platform's stand-in
fleet_count() {
	curl -s -m 2 "http://$fleet_platform_at/fake/counts" | sed -n "s/^$1 //p"
}

# fleet_status DC N FIELD: a field of the daemon's status, empty if it is not there
fleet_status() {
	curl -s -m 1 "http://$fleet_net.$1.$2:8420/v1/status" |
		sed -n "s/.*\"$3\":\"*\([^\",}]*\).*/\1/p"
}

# fleet_metric DC N NAME: a counter of the daemon
fleet_metric() {
	curl -s -m 1 "http://$fleet_net.$1.$2:8420/metrics" | sed -n "s/^kumquatrock_$3 //p"
}

# fleet_until SECONDS COMMAND...: true once the command is
fleet_until() {
	fleet_end=$(($(date +%s%3N) + $1 * 1000))
	shift
	until "$@"; do
		[ "$(date +%s%3N)" -lt $fleet_end ] || return 1
		sleep 0.1
	done
}
