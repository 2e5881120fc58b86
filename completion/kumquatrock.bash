# Bash completion for the kumquatrock command.

_kumquatrock_command() {
	local i
	for ((i = 1; i < COMP_CWORD; i++)); do
		case ${COMP_WORDS[i]} in
		--platform | --daemon) ((i++)) ;;
		check | publish | dc | status | targets | explain | drain | undrain | trace | \
			members | metrics | settings)
			echo "${COMP_WORDS[i]}"
			return
			;;
		esac
	done
}

_kumquatrock() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]} words=
	case $(_kumquatrock_command) in
	'') words='--platform --daemon --wait --json --help --version
		check publish dc status targets explain drain undrain trace
		members metrics settings' ;;
	check) words=--help ;;
	publish) words='--publication --expect --help' ;;
	dc) words='in out --region --ramp-ms --publication --expect --help' ;;
	status | targets | explain | drain | undrain | trace | members | metrics) words=--help ;;
	esac
	case $prev in
	--platform | --daemon | --publication | --expect | --region | --ramp-ms) words= ;;
	esac
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
}

complete -o default -F _kumquatrock kumquatrock
