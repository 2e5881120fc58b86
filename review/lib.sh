# Functions to run a small deployment on loopback addresses; to be sourced in the
# repository's root. The settings are the template of the deploy file, filled in.
#
#   open_case FOLDER         temporary folder $dir, empty record $record, free ports
#   start_store              the platform's store at $store
#   start_daemon N ZONE SERVICE
#                            daemon at $net.N with the command of the deploy file
#   start_worker N ZONE SERVICE [OPTION]...
#                            worker i-N beside it
#   restart_ended N          what the platform does when a process has ended: starts it
#                            again; true if it had
#   report N ID BODY         send a liveness report to daemon N; prints the status
#   write_object METHOD KIND[/NAME] BODY
#                            write to the store; prints the status
#   route HOST PREFIX KIND SERVICE [ATTEMPTS]
#                            print a route of the configuration
#   configuration VERSION ROUTES SERVICE...
#                            print the body that stores the configuration
#   note TEXT...             a line in the record
#   give_up TEXT             the case can't run: exit with 2
#   close_case               end all processes

STANDIN=target/standin
DAEMON=target/kumquatrockd
KEY=6b756d71756174726f636b2d757365727327706c6174666f726d2d6b65792d31
TROUBLE=${TROUBLE-1}

give_up() {
	echo "can't run: $1"
	exit 2
}

# Prints the time of the records, milliseconds.
now() { $STANDIN client now; }

note() {
	echo "$(now) script $*" >>"$record"
	echo "$*"
}

open_case() {
	record=$1/record.txt
	: >"$record"
	[ -x $STANDIN ] && [ -x $DAEMON ] || give_up "build the deploy file, then review/build.sh"
	dir=$(mktemp -d)
	pids=
	trap close_case EXIT
	trap 'exit 2' INT TERM
	net=127.$(($$ % 30 + 220)).$(($$ / 30 % 250))
	ports=$((20000 + $$ % 50 * 100))
	store=$net.250:$((ports + 1))
}

# run NAME COMMAND...: starts a process; its id is in $!
run() {
	log=$dir/$1.log
	shift
	"$@" >>"$log" 2>&1 &
	pids="$pids $!"
}

start_store() {
	run store $STANDIN store --listen "$store" --record "$record"
	$STANDIN client until --to "$store" --path /v1/objects/config --seconds 5 || give_up "no store"
}

# Fills in the template of the deploy file.
settings() { # N ZONE SERVICE
	sed -e "s/{{node_name}}/node-$1/; s/{{ip}}/$net.$1/; s/{{zone}}/$2/; s/{{region}}/r1/" \
		-e "s/{{service}}/$3/; s/{{application_address}}/$net.$1:$((ports + 2))/" \
		-e "s/{{listen_addresses.outbound}}/$net.$1:$((ports + 3))/" \
		-e "s/{{listen_addresses.ready}}/$net.$1:$((ports + 4))/" \
		-e "s/{{listen_addresses.control_plane}}/$net.$1:$((ports + 5))/" \
		-e "s/{{internal_port_range.0}}/$((ports + 6))/; s/{{internal_port_range.1}}/$((ports + 7))/" \
		-e "s/{{platform.address}}/$store/; s/{{bounds.grace_period_s}}/6/" \
		-e "s/{{bounds.budget_slack}}/62/; s/{{bounds.budget_window_s}}/10/" \
		-e "s/{{bounds.cold_slack}}/5/; s/{{bounds.cold_overshoot}}/1.5/" \
		-e "s/{{bounds.probes_per_s}}/60/" deploy/settings.json.in
}

caller_at() { echo "$net.$1:$((ports + 3))"; }
ready_at() { echo "$net.$1:$((ports + 4))"; }
worker_at() { echo "$net.$1:$((ports + 2))"; }

start_daemon() {
	settings "$1" "$2" "$3" >"$dir/node-$1.json"
	run "daemon-$1" $DAEMON --settings "$dir/node-$1.json"
	eval "daemon_$1=$!"
}

start_worker() {
	worker_n=$1
	worker_zone=$2
	worker_service=$3
	shift 3
	run "worker-$worker_n" $STANDIN worker --listen "$(worker_at "$worker_n")" --service "$worker_service" \
		--id "i-$worker_n" --zone "$worker_zone" --announce "$net.$worker_n:$((ports + 5))" \
		--record "$record" "$@"
}

restart_ended() {
	eval "daemon_pid=\$daemon_$1"
	kill -0 "$daemon_pid" 2>/dev/null && return 1
	wait "$daemon_pid"
	daemon_status=$?
	run "daemon-$1" $DAEMON --settings "$dir/node-$1.json"
	eval "daemon_$1=$!"
	return 0
}

wait_ready() {
	for ready_n in "$@"; do
		$STANDIN client until --to "$(ready_at "$ready_n")" --path /v1/readiness --seconds 15 ||
			give_up "daemon $ready_n is not ready"
	done
}

# wait_served N HOST PATH: waits until a daemon answers a request with 200
wait_served() {
	for served_try in $(seq 60); do
		[ "$($STANDIN client one --to "$(caller_at "$1")" --host "$2" --path "$3" --id "first-$1-$served_try")" = 200 ] &&
			return 0
		sleep 0.2
	done
	give_up "daemon $1 does not serve $2$3"
}

report() {
	$STANDIN client http --to "$net.$1:$((ports + 5))" --method POST --path "/v1/rpc?call=instances.heartbeat&of=$2" --body "$3"
}

write_object() {
	$STANDIN client http --to "$store" --method "$1" --path "/v1/objects/$2" --body "$3"
}

route() {
	printf '{"resource_kind":"routes","metadata":{"name":"r-%s"},"specification":{"host":"%s","path_prefix":"%s","kind":"%s","timeout_ms":1200,"target_latency_ms":600,"priority":1,"service":"%s","max_attempts":%s}}' \
		"$1" "$1" "$2" "$3" "$4" "${5-2}"
}

configuration() {
	printf '{"metadata":{"name":"main"},"specification":{"version":%s,"resources":[%s' "$1" "$2"
	shift 2
	for configuration_service in "$@"; do
		printf ',{"resource_kind":"services","metadata":{"name":"%s"},"specification":{"health_path":"/health","max_connections":260,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":19.0}}' \
			"$configuration_service"
	done
	printf ',{"resource_kind":"limits","metadata":{},"specification":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}}'
}

close_case() {
	for closing_pid in $pids; do
		kill -CONT "$closing_pid" 2>/dev/null
		kill -KILL "$closing_pid" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP-}" ] && cp -r "$dir" "$KEEP"
	rm -rf "$dir"
}
