#!/bin/sh
# Runs the shell commands of README.md but for those that install; fails when
# one fails. Also each page that README.md links to must be there. With FLEET_NET
# set, its loopback network stands in place of 127.0.
# usage: readme.sh BUILD-DIRECTORY
set -eu
o=$1
net=${FLEET_NET:-127.0}
dir=$(mktemp -d)
pids= # what the commands left running, the last started first
end() {
	code=$?
	trap - EXIT HUP INT PIPE TERM
	for p in $pids; do
		kill "$p" 2>/dev/null || :
		wait "$p" || :
	done
	rm -rf "$dir"
	exit $code
}
trap end EXIT
trap 'exit 130' HUP INT PIPE TERM

for page in $(grep -o '([^()]*\.md)' README.md | tr -d '()'); do
	[ -f "$page" ] || { echo "README.md links to $page, which is not there"; exit 1; }
done

sed -n '/^```sh$/,/^```$/p' README.md | grep -v '^```' >"$dir/shown"
for install in ./scripts/quickstart ./scripts/check; do
	grep -qxF "$install" "$dir/shown"
done
# shellcheck disable=SC2016
grep -vxF -e ./scripts/quickstart -e ./scripts/check "$dir/shown" |
	sed -e "s,\./build/,$o/," -e "s,127\.0\.50\.,$net.50.,g" \
		-e "s,examples/instance,$dir/instance," -e 's/ &$/ \& pids="$! $pids"/' >"$dir/commands"
sed "s,127\.0\.50\.,$net.50.,g" examples/instance.json >"$dir/instance.json"
grep -q "^$o/kumquatrock check" "$dir/commands"
set -x
# shellcheck disable=SC1091
. "$dir/commands"
