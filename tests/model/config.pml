/*
 * Configuration: conditional writes with a publication id, two operators,
 * a watcher that reads the platform, a peer that learns from the watcher and
 * from the operators' tool. A write and its answer can be lost, late or
 * doubled; the platform can be down. A mutant is a mechanism turned off by a
 * define: NO_CONDITION, TAKE_ANY, LOST_IS_REFUSED, NEWEST_ID_ONLY, NO_PULL.
 */
#define VERSIONS 5
#define OUTAGES 2
#define LATE 3	/* late or doubled messages to each daemon */

mtype = { OPEN, ACCEPTED, REFUSED, NOT_KNOWN }

bool up = true;
byte current = 1;
byte writer[VERSIONS];	/* publication id of each version; operator plus one */
bool behind_back;	/* a version replaced one that its writer had not read */

bool wrote[2];		/* a write is on its way; it can arrive any time */
byte base[2];		/* version that the write is conditional on */
bool answered[2];	/* an answer "accepted" is on its way */
bool applied[2];
mtype outcome[2] = OPEN;

byte version[2];	/* that the watcher and the peer go by */
bool reverted;

inline take(d, v)
{
	if
#ifdef TAKE_ANY
	:: v < version[d] -> reverted = true; version[d] = v
#endif
	:: v > version[d] -> version[d] = v
	:: else
	fi
}

#ifdef NO_CONDITION
#define accepts(i) (current < VERSIONS - 1)
#else
#define accepts(i) (current == base[i])
#endif

#ifdef NEWEST_ID_ONLY
#define mine(i) (writer[current] == i + 1)
#else
#define mine(i) (writer[1] == i + 1 || writer[2] == i + 1 || \
	writer[3] == i + 1 || writer[4] == i + 1)
#endif

inline apply(i)
{
	behind_back = behind_back || current != base[i];
	current++;
	writer[current] = i + 1;
	applied[i] = true;
	answered[i] = true
}

proctype platform()
{
	byte outages;
end:	do
	:: atomic { up && wrote[0] && accepts(0) -> apply(0) }
	:: atomic { up && wrote[1] && accepts(1) -> apply(1) }
	:: atomic { up && outages < OUTAGES -> up = false; outages++ }
	:: up = true
	od
}

proctype operator(byte i)
{
	atomic { up -> base[i] = current; wrote[i] = true };
	do
	:: atomic { answered[i] -> outcome[i] = ACCEPTED; break }
#ifdef LOST_IS_REFUSED
	:: atomic { outcome[i] = REFUSED; break }
#endif
	:: atomic { up && mine(i) -> outcome[i] = ACCEPTED; break }
	:: atomic { up && !mine(i) && current != base[i] ->
		outcome[i] = REFUSED; break }
	:: atomic { !up -> outcome[i] = NOT_KNOWN; break }
	od;
	/* The tool hands the accepted version to a daemon. */
	if
	:: atomic { outcome[i] == ACCEPTED -> take(1, current) }
	:: true
	fi
}

proctype watcher()
{
end:	do
	:: atomic { up && version[0] < current -> take(0, current) }
	od
}

proctype peer()
{
end:	do
#ifdef NO_PULL
	:: false
#else
	:: atomic { version[1] < version[0] -> take(1, version[0]) }
#endif
	od
}

proctype network()
{
	byte late[2], v;
end:	do
	:: atomic { late[0] < LATE -> late[0]++; v = 1;
		do
		:: v < current -> v++
		:: break
		od;
		take(0, v); v = 0 }
	:: atomic { late[1] < LATE && version[0] -> late[1]++; v = 1;
		do
		:: v < version[0] -> v++
		:: break
		od;
		take(1, v); v = 0 }
	od
}

init {
	atomic {
		run platform();
		run operator(0);
		run operator(1);
		run watcher();
		run peer();
		run network()
	}
}

ltl never_reverts { [] !reverted }
ltl one_outcome_reported_truly {
	[] ((outcome[0] == ACCEPTED -> applied[0]) &&
	    (outcome[0] == REFUSED -> !applied[0]) &&
	    (outcome[1] == ACCEPTED -> applied[1]) &&
	    (outcome[1] == REFUSED -> !applied[1])) }
ltl builds_on_what_was_read { [] !behind_back }
ltl in_force_everywhere {
	<> [] (version[0] == current && version[1] == current) }
