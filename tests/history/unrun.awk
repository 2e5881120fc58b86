# Counts failures that say less than is known: 502 or 504 of the daemon's own to a request
# that no target ran, sooner than its deadline and its route's time limit.
# usage: sort -s -n -k 1,1 DIRECTORY/*.history | awk -f unrun.awk
function value(name, i, n, f) {
	for (i = 3; i <= NF; i++) {
		n = index($i, "=")
		if (substr($i, 1, n - 1) == name)
			return substr($i, n + 1)
	}
	return ""
}
function lower(id, ms) {
	if (ms && ms < most[id])
		most[id] = ms
}
$3 == "config-sent" {
	for (i = 4; i <= NF; i++)
		if (split($i, f, "=") == 2 && index(f[1], "timeout_") == 1) {
			route = substr(f[1], 9)
			before[route] = limit[route]
			limit[route] = f[2] + 0
		}
}
$3 == "call" {
	id = value("id")
	sent[id] = $1
	once[id] = value("once") == 1
	most[id] = value("limit_ms") + 0
	lower(id, limit[value("route")])
	lower(id, before[value("route")])
}
$3 == "run" { run[value("key")] = 1 }
$3 == "answer" && value("signed") == 0 && value("outcome") == "whole" {
	id = value("id")
	status = value("status")
	if (id in sent && (status == 502 || status == 504) && ($1 - sent[id]) / 1000 < most[id])
		failed[id] = status
}
END {
	for (id in failed)
		if (!(id in run)) {
			print id " status=" failed[id] (once[id] ? " once" : "")
			n++
		}
	printf "unrun %d\n", n
}
