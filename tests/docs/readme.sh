#!/bin/sh
# Runs the shell commands of README.md except ./scripts/quickstart and
# ./scripts/check, and fails when one fails or when a page that README.md links
# to is missing. With FLEET_NET set, its loopback network replaces 127.0 in the
# addresses.
# usage: readme.sh BUILD-DIRECTORY
set -eu
: "${LIMIT_S:=120}"
[ -n "${README_TIMED-}" ] || exec env README_TIMED=1 timeout "$LIMIT_S" sh "$0" "$@"
o=$1
net=${FLEET_NET:-127.0}
dir=$(mktemp -d)
pids= # background processes of the commands, latest first
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
	[ -f "$page" ] || { echo "README.md links to $page, which does not exist"; exit 1; }
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
