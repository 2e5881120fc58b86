#!/bin/sh
# SIGHUP comes while a reading of the settings is held up: the file is read once more
# afterwards, and the newest settings hold.
# usage: reload-slow-twice.sh BUILD-DIRECTORY
set -u
. scripts/fleet.sh
. scripts/dialect.sh
fleet_open "$1"
trap fleet_close EXIT
failed=0
file=$fleet_dir/dc1-1.json
log=$fleet_dir/daemon-1-1.log

dialect_platform
fleet_settings 1 1 >"$file"
cp "$file" "$fleet_dir/old"
fleet_run daemon-1-1 "$1/kumquatrockd" --settings "$file"
pid=$!
fleet_await "http://$fleet_net.1.1:8420/metrics"
mkfifo "$fleet_dir/slow"
ln "$fleet_dir/slow" "$fleet_dir/held"
mv "$fleet_dir/slow" "$file"
kill -HUP $pid
sleep 0.5
sed 's/"leave_ms": 500/"leave_ms": 700/' "$fleet_dir/old" >"$fleet_dir/new"
mv "$fleet_dir/new" "$file"
kill -HUP $pid
sleep 0.5
grep -q 'event=.*settings reloaded' "$log" && fleet_fail "the reading was not held up"
cat "$fleet_dir/old" >"$fleet_dir/held"
applied() { grep -q 'settings reloaded why=signal changed=1' "$log"; }
fleet_wait_until 3 applied || fleet_fail "the newest settings are not in force"
grep 'settings' "$log"
kill $pid
wait $pid || fleet_fail "the daemon ended with $?"
exit $failed
