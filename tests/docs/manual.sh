#!/bin/sh
# Commands and options that the programs' help names stand in the manual pages
# and in the shell completion; the completion gives them.
# usage: manual.sh BUILD-DIRECTORY
set -eu
o=$1
bad=0

# has FILE PATTERN WORD
has() {
	grep -q -e "$2" "$1" || { echo "$1 lacks $3"; bad=1; }
}

# options COMMAND...: long options in its help
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

# completed WORD...: what completion gives for the last word
completed() {
	bash -c '. completion/kumquatrock.bash
		COMP_WORDS=("$@") COMP_CWORD=$(($# - 1))
		_kumquatrock
		echo "${COMPREPLY[*]}"' kumquatrock "$@"
}

# gives EXPECTED WORD...
gives() {
	expected=$1
	shift
	[ "$(completed "$@")" = "$expected" ] ||
		{ echo "completion of $*: $(completed "$@"), not $expected"; bad=1; }
}
gives "publish" kumquatrock pub
gives "--region --ramp-ms" kumquatrock --daemon dc dc out x --r
gives "" kumquatrock --platform ''
exit $bad
