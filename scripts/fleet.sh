# Functions to run a small fleet on loopback addresses; to be sourced.
#
#   fleet_open BUILD-DIRECTORY     create the directory $fleet_dir for settings, logs
#                                  and histories; call it before the others
#   fleet_platform                 start the fake platform at $fleet_platform_at
#   fleet_instance DC N SERVICE [TARGET-OPTION]...
#                                  start a daemon and its target at NET.DC.N
#   fleet_ready SERVICE...         wait until the daemon $fleet_first answers a
#                                  request to each service with 200
#   fleet_targets N                wait until that daemon has N targets to pick from
#   fleet_config_history           write history lines of the configuration versions
#                                  that each daemon had in force
#   fleet_fail TEXT                print a failure and set $failed, with which a script
#                                  that uses it ends
#   fleet_close                    stop all processes, the last started first
#
# NET is FLEET_NET, 127.0 if not set. Ports on each address: caller 8400, peer 8410,
# operator 8420, target 9001.

fleet_net=${FLEET_NET:-127.0} # fleets with different networks can share a machine
fleet_platform_at=$fleet_net.0.10:20200
fleet_keys='"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"' # keys of daemons started from here on

fleet_open() {
	fleet_build=$1
	fleet_dir=$(mktemp -d)
	fleet_pids=
	fleet_daemons=
	fleet_target_pids=
	fleet_first=$fleet_net.1.1:8400
}

fleet_fail() {
	echo "FAILED $1"
	failed=1
}

# fleet_run NAME COMMAND...: runs a program in the background with its output in
# $fleet_dir/NAME.log; its process id is in $!
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

# fleet_await URL: waits until a GET gets an HTTP answer; false after 100 tries, which
# take 10 s if each is refused at once
fleet_await() {
	fleet_tries=0
	until curl -s -m 1 -o /dev/null "$1"; do
		fleet_tries=$((fleet_tries + 1))
		[ $fleet_tries -lt 100 ] || return 1
		sleep 0.1
	done
}

# fleet_settings DC N: prints the settings of the daemon at NET.DC.N
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
	fleet_id=$1-$2
	fleet_pid_var=fleet_target_$1_$2
	fleet_dc=dc$1
	fleet_service=$3
	shift 3
	fleet_run "target-$fleet_id" "$fleet_build/fake-target" --ip "$fleet_at" --port 9001 \
		--service "$fleet_service" --dc "$fleet_dc" --announce "$fleet_at:8420" \
		--history "$fleet_dir/target-$fleet_id.history" "$@"
	fleet_target_pids="$fleet_target_pids $!"
	eval "$fleet_pid_var=$!"
}

fleet_instance() {
	fleet_daemon "$1" "$2"
	fleet_target "$@"
}

# Waits until requests to each service are answered with 200; false after 150 tries,
# which take 15 s for a service if each is answered at once.
fleet_ready() {
	for fleet_s in "$@"; do
		fleet_tries=0
		until [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: $fleet_s" \
			"http://$fleet_first/fleet-ready")" = 200 ]; do
			fleet_tries=$((fleet_tries + 1))
			[ $fleet_tries -lt 150 ] || return 1
			sleep 0.1
		done
	done
}

# Writes the configuration versions that each daemon had in force, and when, as
# history lines; reads them from the daemons' logs (event 320).
fleet_config_history() {
	for fleet_f in "$fleet_dir"/daemon-*.log; do
		fleet_name=${fleet_f##*/}
		sed -n "s/.*event=320 .*complete=\([0-9]*\) .* us=\([0-9]*\).*/\2 ${fleet_name%.log} config version=\1/p" "$fleet_f"
	done >"$fleet_dir/config.history"
}

# Waits until the daemon $fleet_first has N targets or more to pick from; false after
# 150 tries, which take 15 s if each is answered at once.
fleet_targets() {
	fleet_tries=0
	until [ "$(fleet_tool targets 2>/dev/null | grep -c '"service"')" -ge "$1" ]; do
		fleet_tries=$((fleet_tries + 1))
		[ $fleet_tries -lt 150 ] || return 1
		sleep 0.1
	done
}

# fleet_signal SIGNAL PIDS: sends a signal to each of the processes
fleet_signal() {
	for fleet_p in $2; do
		kill "-$1" "$fleet_p" 2>/dev/null
	done
}

# Stops every process that was started; true if each ended with status 0 or by
# SIGTERM or SIGKILL.
fleet_close() {
	fleet_signal CONT "$fleet_pids"
	fleet_signal TERM "$fleet_pids"
	fleet_failures=0
	for fleet_p in $fleet_pids; do
		wait "$fleet_p" 2>/dev/null
		case $? in 0 | 143 | 137) ;; *) fleet_failures=$((fleet_failures + 1)) ;; esac
	done
	fleet_pids=
	return $((fleet_failures != 0))
}

# Runs the operators' tool against the platform and the daemon $fleet_first.
fleet_tool() {
	"$fleet_build/kumquatrock" --platform "$fleet_platform_at" --daemon "${fleet_first%:*}:8420" "$@"
}

# fleet_platform_mode MODE[&NAME=VALUE]...: makes the fake platform fail in this way from
# now on; `ok` ends it
fleet_platform_mode() {
	curl -s -m 2 -X POST -o "$fleet_dir/fault" "http://$fleet_platform_at/fake/fault?mode=$1"
}

# fleet_platform_count NAME: prints a counter of the fake platform
fleet_platform_count() {
	curl -s -m 2 "http://$fleet_platform_at/fake/counts" | sed -n "s/^$1 //p"
}

# fleet_status DC N FIELD: prints a field of the daemon's status, nothing if the status
# has no such field
fleet_status() {
	curl -s -m 1 "http://$fleet_net.$1.$2:8420/v1/status" |
		sed -n "s/.*\"$3\":\"*\([^\",}]*\).*/\1/p"
}

# fleet_metric DC N NAME: prints a metric of the daemon
fleet_metric() {
	curl -s -m 1 "http://$fleet_net.$1.$2:8420/metrics" | sed -n "s/^kumquatrock_$3 //p"
}

# fleet_wait_until SECONDS COMMAND...: repeats the command until it succeeds; false if it
# still fails after that time
fleet_wait_until() {
	fleet_end=$(($(date +%s%3N) + $1 * 1000))
	shift
	until "$@"; do
		[ "$(date +%s%3N)" -lt $fleet_end ] || return 1
		sleep 0.1
	done
}
