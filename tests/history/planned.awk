# Judges the history of a run of scripts/planned by the users' rules on lost
# requests, from what callers and targets saw on their sockets. Reads the history,
# sorted by time, after the logs of the daemons; ends with 1 if a rule is broken.
# All times in us.
BEGIN {
	GRACE = 6000000		# grace_period_s
	APPLY = 2000000		# configuration_apply_ms
	SLACK = 200000		# loss_slack_ms
	TOUCH = 3000000		# touch_ms
	EARLY = 3000000		# after SIGTERM, up to which the grace excuses
	OVER = 1000000		# after the grace, and after a version is applied
	REFUSE_LATE = 1000000	# after a request was whole
	KEPT_MAX = 3		# losses beside no planned work
	PLAN_SLACK = 20000	# by which the plan's times may be early
	START = 1000000		# until a daemon's ports are open
	CONFIG_TIMES = 3	# as many cuts beside a configuration
	FINDINGS_MAX = 8	# printed with their events
	LINES_MAX = 40		# of these
}

function field(name, i) {
	for (i = 4; i <= NF; i++)
		if (index($i, name "=") == 1)
			return substr($i, length(name) + 2)
	return ""
}

function remember(what, line) { story[what, ++stories[what]] = line }

# Log line of a daemon.
$1 !~ /^[0-9]+$/ {
	if (match($0, /request=[^ ]+/)) {
		id = substr($0, RSTART + 8, RLENGTH - 8)
		remember(id, "  log " $0)
		waits_turn[id] = waits_turn[id] || / event=510 .* reason=(full|deadline) /
	}
	next
}

$2 == "plan" {
	at = field("at")
	if ($3 ~ /^(term|hup|start|kill|end)$/)
		when[$3, at, ++count[$3, at]] = $1
	else if ($3 == "config-sent")
		version[++versions] = field("version")
	if ($3 == "config-sent") {
		sent_at[field("version")] = $1
		for (i = 4; i <= NF; i++)
			if ($i ~ /^timeout_/)
				timeout[field("version"), substr($i, 9, index($i, "=") - 9)] = 1000 * substr($i, index($i, "=") + 1)
	}
	if ($3 == "config-acked")
		acked[field("version")] = $1
	if ($3 == "link")
		note_link(at, field("mode"), $1)
	if ($3 == "end" && !(was_killed(at, $1) && field("status") == 137) && (field("status") != 0 || !ends_in_time(at, $1)))
		ended[++ends] = $0
	if (at != "")
		remember(at, $0)
	next
}

$3 == "call" {
	id = field("id")
	ids[++calls] = id
	to[id] = field("to")
	conn[id] = $2 "/" field("conn")
	behind[id] = field("behind") + 0
	once[id] = field("once") + 0
	sent[id] = $1
	began[id] = field("start") + 0
	time[id] = 1000 * field("limit_ms")
	route[id] = field("route")
	remember(id, $0)
	remember(conn[id], $0)
	next
}

$3 == "answer" {
	id = field("id")
	outcome[id] = field("outcome")
	status[id] = field("status") + 0
	sealed[id] = field("signed") + 0
	over[id] = $1
	remember(id, $0)
	remember(conn[id], $0)
	next
}

$3 ~ /^(run|done|cut|broke|shed)$/ {
	id = field("key")
	remember(id, $0)
	passed_on[id] = 1
	if ($3 == "shed") {
		shed[id] = 1
	} else if ($3 == "run") {
		runs[id]++
		ran_beside[id] = $2
		sub(/:.*/, ":8400", ran_beside[id])
		run_end[id] = broke[id] = done[id] = 0
	} else if ($3 == "broke") {
		broke[id] = $1
	} else if (runs[id]) {
		run_end[id] = $1
		done[id] = $3 == "done"
		whole[id] = whole[id] || done[id]
	}
}

# Last event of a kind at a machine that is not later than t, 0 if none.
function last(kind, at, t, i, found) {
	for (i = 1; i <= count[kind, at]; i++)
		if (when[kind, at, i] <= t && when[kind, at, i] > found)
			found = when[kind, at, i]
	return found + 0
}

# Keeps the times in which connections from other daemons to one are cut or harmed.
function note_link(at, mode, t) {
	if (links[at] && !((at, links[at]) in harmed_to))
		harmed_to[at, links[at]] = t
	if (mode != "open")
		harmed_from[at, ++links[at]] = t
}

function link_harmed(at, from, to_time, i) {
	for (i = 1; i <= links[at]; i++)
		if (harmed_from[at, i] <= to_time &&
		    (!((at, i) in harmed_to) || harmed_to[at, i] >= from))
			return 1
	return 0
}

# Why a request is excused that ended beside a link in trouble; empty if there was none.
function cut_off_with(id) {
	if (link_harmed(to[id], began[id] - TOUCH, over[id]))
		return "the links of its daemon were in trouble"
	if (ran_beside[id] && ran_beside[id] != to[id] &&
	    link_harmed(ran_beside[id], sent[id] - PLAN_SLACK, over[id]))
		return "the links of the daemon beside the target were in trouble"
	return ""
}

# Nonzero if the process that ends at t was killed by the plan.
function was_killed(at, t) { return last("kill", at, t) > last("start", at, t) }

# Why a request is excused that ended with the killed process that took it or that it ran
# beside; empty if it did not.
function killed_with(id, t) {
	t = last("kill", to[id], over[id])
	if (t && t > over[id] - TOUCH)
		return "its daemon was killed"
	t = last("kill", ran_beside[id], over[id])
	if (t && t >= sent[id] - PLAN_SLACK)
		return "the daemon beside its target was killed"
	return ""
}

# Nonzero if a process that was not killed runs at a machine, so that it takes calls of
# its target's requests.
function runs_at(at, t) {
	return last("start", at, t - START) && last("start", at, t) > last("end", at, t) &&
	    last("start", at, t) <= t - START &&
	    !was_killed(at, t) && last("kill", at, t + 2 * PLAN_SLACK) <= last("start", at, t)
}

# Nonzero if a process that ends at t was told to by a SIGTERM whose grace is not over.
function ends_in_time(at, t, i, start) {
	start = last("start", at, t)
	for (i = 1; i <= count["term", at]; i++)
		if (when["term", at, i] >= start)
			return t <= when["term", at, i] + GRACE
	return 0
}

# Shortens a request's time, which counts from its first byte, to the least timeout of a
# version that may have been in force while it was open, which counts from its last.
function bound_time(id, i, v, next_version, limit_of) {
	for (i = 1; i <= versions; i++) {
		v = version[i]
		next_version = version[i + 1]
		limit_of = ((v, route[id]) in timeout) ? timeout[v, route[id]] : timeout[v, "ms"]
		limit_of += limit_of ? sent[id] - began[id] : 0
		if (limit_of && limit_of < time[id] && sent_at[v] <= over[id] &&
		    !(acked[next_version] && acked[next_version] + APPLY < began[id]))
			time[id] = limit_of
	}
	limit[id] = began[id] + time[id]
}

# SIGTERM whose time a request ended in: the first one to its process, else the last one
# to a process before it; 0 if none.
function stop_of(id, i, t, start, found, before) {
	start = last("start", to[id], sent[id])
	for (i = 1; i <= count["term", to[id]]; i++) {
		t = when["term", to[id], i]
		if (t > over[id] || over[id] > t + GRACE + OVER)
			continue
		if (t < start)
			before = t > before ? t : before
		else if (!found || t < found)
			found = t
	}
	return found ? found : before + 0
}

function beside_hup(id, i, t) {
	for (i = 1; i <= count["hup", to[id]]; i++) {
		t = when["hup", to[id], i]
		if (t <= over[id] && sent[id] <= t + APPLY)
			return 1
	}
	return 0
}

function beside_config(id, i, v) {
	for (i = 1; i <= versions; i++) {
		v = version[i]
		if (sent_at[v] <= over[id] &&
		    (!acked[v] || over[id] <= acked[v] + APPLY + OVER))
			return 1
	}
	return 0
}

function in_touch(id) {
	return over[id] - last("term", to[id], over[id]) > TOUCH &&
	    over[id] - last("start", to[id], over[id]) > TOUCH
}

# Nonzero if the worker was at work in the last sixth of the grace on a request
# that was sent early enough.
function grace_excuses(id, t) {
	return runs[id] && over[id] >= t + GRACE * 5 / 6 && sent[id] <= t + EARLY &&
	    (!run_end[id] || run_end[id] >= t + GRACE * 5 / 6)
}

function at_work(id) {
	return runs[id] && !broke[id] && !(done[id] && run_end[id] < over[id])
}

function finding(rule, id) {
	broken[rule]++
	beside_break[rule] += conn[id] in conn_broke
	rule_of[++findings] = rule
	id_of[findings] = id
}

function excuse(why) { excused[why]++ }

# A loss that the clauses on planned work don't count: that of machines in touch may.
function beside_planned(id, why) {
	if (outcome[id] == "cut" && passed_on[id] && in_touch(id))
		kept[++kepts] = id
	else
		excuse(why)
}

# The same for a loss that counts only if no byte of an answer came.
function without_answer(id, why) {
	if (status[id])
		return excuse(why)
	beside_planned(id, why)
}

# A request that got no whole answer, or at whose work the daemon gave its own.
function judge_loss(id, t) {
	if (broke[id])
		return excuse("worker broke off")
	if (killed_with(id))
		return excuse(killed_with(id))
	if (over[id] >= limit[id])
		return without_answer(id, "deadline or timeout reached")
	if (!passed_on[id] && behind[id])
		return excuse("behind another, not passed on")
	if (!passed_on[id] && over[id] <= sent[id] + SLACK)
		return excuse("crossed the close, not passed on")
	t = stop_of(id)
	if (t && grace_excuses(id, t))
		return without_answer(id, "worker at work in the last sixth")
	if (cut_off_with(id))
		return excuse(cut_off_with(id))
	if (t)
		return finding("LOST-STOP", id)
	if (outcome[id] != "cut")
		return excuse("own answer, no SIGTERM of the machine")
	if (beside_hup(id))
		return finding("LOST-HUP", id)
	if (beside_config(id)) {
		if (over[id] - began[id] >= time[id] * 0.7)
			return without_answer(id, "beside a configuration, seven tenths used")
		near_cut[to[id]]++
		candidate[++candidates] = id
		return
	}
	far_cut[to[id]]++
	beside_planned(id, "beside no planned work")
}

function judge_call(id, own) {
	if (once[id] && runs[id] > 1)
		finding("TWICE", id)
	if (!(id in outcome))
		return excuse("open at the end of the run")
	bound_time(id)
	if (beside_config(id))
		near[to[id]]++
	else
		far[to[id]]++
	if (once[id] && runs[id] && status[id] ~ /^(408|421|429|503)$/)
		finding("REFUSED", id)
	if (outcome[id] == "bad" || (outcome[id] == "whole" &&
	    status[id] ~ /^2/ && (!sealed[id] || !whole[id])))
		finding("MIXED", id)
	own = outcome[id] == "whole" && status[id] >= 400 && !sealed[id] && at_work(id)
	if (outcome[id] == "cut" || own)
		judge_loss(id)
	else if (outcome[id] == "behind")
		excuse("behind an answer that closes")
	else if (outcome[id] == "unsent" && runs_at(to[id], over[id]))
		finding("CALL-UNSENT", id)
	else if (outcome[id] == "late")
		excuse("the caller gave up")
	if (outcome[id] == "whole")
		answers[status[id]]++
	if (status[id] != 503 && status[id] != 429)
		return
	if (behind[id]) {
		wait_behind[++waits_behind] = over[id] - sent[id]
		return
	}
	wait[++waits] = over[id] - sent[id]
	# other refusals may wait in a queue
	if (wait[waits] > REFUSE_LATE && !waits_turn[id])
		finding("REFUSED-LATE", id)
}

function judge_candidates(i, id, m) {
	for (i = 1; i <= candidates; i++) {
		id = candidate[i]
		m = to[id]
		if (near_cut[m] * (far[m] + !far[m]) > CONFIG_TIMES * far_cut[m] * near[m])
			finding("LOST-CONFIG", id)
		else
			beside_planned(id, "beside a configuration, as often as else")
	}
	for (i = 1; i <= kepts; i++)
		if (kepts > KEPT_MAX)
			finding("LOST-KEPT", kept[i])
		else
			excuse("no planned work, up to " KEPT_MAX)
}

# Prints what is known of a request in the order of its files: its own events,
# those of its connection, the plan for its machine.
function tell(what, from, to_time, i, n, t) {
	for (i = 1; i <= stories[what] && n < LINES_MAX; i++) {
		t = story[what, i] + 0
		if (t && (t < from || t > to_time))
			continue
		print "    " story[what, i]
		n++
	}
}

# An answer behind another one on its connection waits for it.
function print_sorted(name, values, n, i, j, v) {
	for (i = 2; i <= n; i++) {
		v = values[i]
		for (j = i - 1; j >= 1 && values[j] > v; j--)
			values[j + 1] = values[j]
		values[j + 1] = v
	}
	printf "%s %d", name, n
	if (n)
		printf ", waited ms: median %.1f, p99 %.1f, most %.1f",
		    values[int((n + 1) / 2)] / 1000,
		    values[int((n * 99 + 99) / 100)] / 1000, values[n] / 1000
	print ""
}

END {
	for (i = 1; i <= calls; i++)
		if (broke[ids[i]])
			conn_broke[conn[ids[i]]] = 1
	for (i = 1; i <= calls; i++)
		judge_call(ids[i])
	judge_candidates()
	for (i = 1; i <= findings; i++) {
		id = id_of[i]
		print rule_of[i] " " id " at " to[id] " on " conn[id]
		if (i > FINDINGS_MAX)
			continue
		tell(id, 0, 1e18)
		print "   its connection:"
		tell(conn[id], sent[id] - SLACK, over[id])
		print "   its machine:"
		tell(to[id], sent[id] - GRACE - OVER, over[id])
	}
	for (i = 1; i <= ends; i++)
		print "ENDED " ended[i]
	printf "requests %d, whole answers by status:", calls
	for (s = 100; s < 600; s++)
		if (answers[s])
			printf " %d: %d", s, answers[s]
	print ""
	for (why in excused)
		print "excused " excused[why] ": " why | "sort"
	close("sort")
	print_sorted("refused", wait, waits)
	print_sorted("refused behind another", wait_behind, waits_behind)
	n = split("LOST-STOP LOST-HUP LOST-CONFIG LOST-KEPT TWICE REFUSED REFUSED-LATE MIXED CALL-UNSENT", name, " ")
	for (i = 1; i <= n; i++)
		print name[i] " " broken[name[i]] + 0 ", on a connection with an answer broken off: " \
		    beside_break[name[i]] + 0
	print "ENDED " ends + 0
	exit (findings + ends > 0)
}
