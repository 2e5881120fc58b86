#!/bin/sh
# Fails unless docs/SETTINGS.md ends with the table exactly as `kumquatrock
# settings` prints it, or if a page names a setting that is not in the table.
# usage: settings.sh BUILD-DIRECTORY
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
"$1/kumquatrock" settings >"$dir/printed"
sed -n '/^| setting |/,$p' docs/SETTINGS.md >"$dir/page"
[ -s "$dir/printed" ]
diff -u "$dir/page" "$dir/printed"

# Settings that pages name as `group.name` must be in the table.
groups=$(sed -n 's/^| `\([a-z_]*\)\..*/\1/p' "$dir/printed" | sort -u)
for g in $groups; do
	for name in $(grep -ohE "\`$g\.[a-z_]{2,}\`" README.md docs/*.md | sort -u); do
		grep -qF "| $name |" "$dir/printed" ||
			{ echo "a page names $name, which is not a setting"; exit 1; }
	done
done
