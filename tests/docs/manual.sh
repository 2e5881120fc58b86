#!/bin/sh
# Fails unless the manual pages and the shell completion of kumquatrock have
# every command and option of the programs' --help, and unless the completion
# offers the expected words. There is no completion of kumquatrockd.
# usage: manual.sh BUILD-DIRECTORY
set -eu
o=$1
bad=0

# has FILE PATTERN WORD: reports WORD as missing unless a line matches PATTERN
has() {
	grep -q -e "$2" "$1" || { echo "$1 lacks $3"; bad=1; }
}

# options COMMAND...: prints the long options that COMMAND --help names
options() {
	"$@" --help | grep -oE -e '--[a-z][a-z-]*' | sort -u
}

commands=$("$o/kumquatrock" --help | sed -n '/^commands:/,/^$/s/^  \([a-z]*\) .*/\1/p')
[ -n "$commands" ]
for c in $commands; do
	has man/kumquatrock.1 "^\.\(It \)*Cm $c\>" "$c"
	has completion/kumquatrock.bash "\<$c\>" "$c"
done
for option in $(options "$o/kumquatrock"; for c in publish dc; do options "$o/kumquatrock" $c; done); do
	has man/kumquatrock.1 "Fl -${option#--}\>" "$option"
	has completion/kumquatrock.bash "$option\>" "$option"
done
for option in $(options "$o/kumquatrockd"); do
	has man/kumquatrockd.8 "Fl -${option#--}\>" "$option"
done

# completed WORD...: prints what completion offers for the last word of a
# kumquatrock command line
completed() {
	bash -c '. completion/kumquatrock.bash
		COMP_WORDS=("$@") COMP_CWORD=$(($# - 1))
		_kumquatrock
		echo "${COMPREPLY[*]}"' kumquatrock "$@"
}

# expect_completion EXPECTED WORD...
expect_completion() {
	expected=$1
	shift
	[ "$(completed "$@")" = "$expected" ] ||
		{ echo "completion of $*: $(completed "$@"), not $expected"; bad=1; }
}
expect_completion "publish" kumquatrock pub
expect_completion "--region --ramp-ms" kumquatrock --daemon dc dc out x --r
expect_completion "" kumquatrock --platform ''
exit $bad
