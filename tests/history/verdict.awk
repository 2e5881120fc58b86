# Reads the histories of one run, sorted by time, and says whether what must
# always hold held. Prints a table; exit 1 when something was broken.
#
# -v timeout_ms=N        deadline of the calls
# -v measure="SERVICE=N ..."  measuring requests a second that a target of the
#                        service bears; the burst is that of one second
# -v settle_s=N          time in which a target or data centre must fall quiet
# -v straight=WHO        load tool that went straight to a target

BEGIN {
	n = split(measure, pair, " ")
	for (i = 1; i <= n; i++) {
		split(pair[i], part, "=")
		per_s[part[1]] = part[2]
	}
}

function field(name,    i) {
	for (i = 4; i <= NF; i++)
		if (index($i, name "=") == 1)
			return substr($i, length(name) + 2)
	return ""
}

function broke(rule, what) {
	broken[rule]++
	if (broken[rule] <= 3)
		print "BROKEN " rule ": " what > "/dev/stderr"
}

# Smallest element at or above the share q of n sorted values, in ms.
function quantile(v, n, q,    r) {
	if (n == 0)
		return 0
	r = int(q * n)
	if (r < q * n)
		r++
	return v[r < 1 ? 1 : r] / 1000
}

function sort(v, lo, hi,    i, j, p, t) {
	while (lo < hi) {
		p = v[int((lo + hi) / 2)]
		i = lo
		j = hi
		while (i <= j) {
			while (v[i] < p) i++
			while (v[j] > p) j--
			if (i <= j) {
				t = v[i]; v[i] = v[j]; v[j] = t
				i++; j--
			}
		}
		if (j - lo < hi - i) {
			sort(v, lo, j)
			lo = i
		} else {
			sort(v, i, hi)
			hi = j
		}
	}
}

$3 == "call" && $2 != straight {
	id = $2 " " field("id")
	if (!(id in final))
		calls++
	final[id] = "broken"
	kind[field("key")] = field("kind")
}

$3 == "answer" && $2 == straight {
	if (field("outcome") == "whole")
		direct[++ndirect] = field("us") + 0
}

$3 == "answer" && $2 != straight {
	id = $2 " " field("id")
	outcome = field("outcome")
	us = field("us") + 0
	if (!(id in final))
		calls++
	final[id] = outcome
	if (outcome == "whole")
		through[++nthrough] = us
	# status 0: nothing left the caller, and nobody said anything
	if (outcome == "not-run" && field("status") > 0)
		refused[field("key")] = 1
	if (outcome == "whole")
		answered[field("key")] = 1
	if (outcome == "bad")
		broke("own whole answer", $0)
	if ((outcome == "unknown" || outcome == "broken") &&
	    us < 900 * timeout_ms)
		broke("planned stop cuts nothing", $0)
}

$3 == "run" {
	key = field("key")
	if (key != "-")
		runs[key]++
	if ($2 in left && $1 > left[$2] + settle_s * 1000000)
		broke("leaving target gets no new work", $0)
	dc = field("dc")
	if (out[dc] && $1 > out[dc] + settle_s * 1000000)
		broke("data centre that is out gets no new work", $0)
}

$3 == "leave" {
	left[$2] = $1
}

$3 == "fell" {
	broke("cold target bears its load", $0)
}

$3 == "start" {
	began[$2] = $1
}

$3 == "measure" {
	measured[$2]++
	budget = per_s[field("service")]
	burst = budget < 1 ? 1 : budget
	# token bucket: what is above the budget must fit into the burst
	tokens[$2] += $2 in at ? ($1 - at[$2]) / 1000000 * budget : burst
	if (tokens[$2] > burst)
		tokens[$2] = burst
	at[$2] = $1
	if (--tokens[$2] < -0.05)
		broke("measuring stays in its budget", $0)
}

$3 == "write" && field("status") == 200 && index(field("name"), "datacentre/") == 1 {
	dc = substr(field("name"), 12)
	value = field("value")
	if (index(value, "\"state\":\"out\"") || index(value, "\"state\":_\"out\""))
		out[dc] = $1
	else
		delete out[dc]
}

{
	end = $1
}

END {
	for (id in final)
		total[final[id]]++
	for (key in kind) {
		if (kind[key] == "once" && runs[key] > 1) {
			twice++
			broke("runs at most once", key " ran " runs[key] " times")
		}
		if (refused[key] && runs[key])
			broke("not run is true", key " ran")
		if (answered[key] && !runs[key])
			broke("own whole answer", key " was answered and never ran")
	}
	for (w in began) {
		s = (end - began[w]) / 1000000
		if (s > 0 && measured[w] / s > cost)
			cost = measured[w] / s
	}
	sort(through, 1, nthrough)
	sort(direct, 1, ndirect)
	printf "%-28s %8d\n", "calls", calls
	printf "%-28s %8d\n", "whole answers", total["whole"]
	printf "%-28s %8d\n", "not run", total["not-run"]
	printf "%-28s %8d\n", "unknown", total["unknown"]
	printf "%-28s %8d\n", "failed", total["failed"]
	printf "%-28s %8d\n", "broken or wrong", total["broken"] + total["bad"]
	printf "%-28s %8d\n", "run twice", twice
	printf "%-28s %8.2f ms\n", "p50", quantile(through, nthrough, 0.5)
	printf "%-28s %8.2f ms\n", "p99", quantile(through, nthrough, 0.99)
	if (ndirect)
		printf "%-28s %8.2f ms\n", "p99 added", \
		    quantile(through, nthrough, 0.99) - quantile(direct, ndirect, 0.99)
	printf "%-28s %8.2f requests/s\n", "measuring, most per target", cost
	for (rule in broken) {
		printf "%-42s BROKEN %d\n", rule, broken[rule]
		bad = 1
	}
	if (calls == 0 || total["whole"] == 0) {
		print "no call came to an answer"
		bad = 1
	}
	if (!bad)
		print "what must always hold held"
	exit bad
}
