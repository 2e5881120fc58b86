#!/bin/sh
# The table of docs/SETTINGS.md is what `kumquatrock settings` prints, whole and
# with nothing after it; the pages name no other setting.
# usage: settings.sh BUILD-DIRECTORY
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
"$1/kumquatrock" settings >"$dir/printed"
sed -n '/^| setting |/,$p' docs/SETTINGS.md >"$dir/page"
[ -s "$dir/printed" ]
diff -u "$dir/page" "$dir/printed"

# Settings that pages name by a group's prefix are in the table.
groups=$(sed -n 's/^| `\([a-z_]*\)\..*/\1/p' "$dir/printed" | sort -u)
for g in $groups; do
	for name in $(grep -ohE "\`$g\.[a-z_]{2,}\`" README.md docs/*.md | sort -u); do
		grep -qF "| $name |" "$dir/printed" ||
			{ echo "$name is named on a page and is no setting"; exit 1; }
	done
done
