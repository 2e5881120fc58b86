/*
 * Publication of a configuration, written conditionally on the version read and
 * with a publication id.
 *
 * Two operators write once each. One daemon, the watcher, reads the platform;
 * another, the peer, learns versions from the watcher and from the operators'
 * tool. A write and its answer can be lost, late or repeated, and so can what a
 * daemon is told; the platform can be down. The peer can start anew, from a list
 * that names the present version beside objects of an older one. Each of these
 * defines turns one mechanism off, which must break a property:
 * NO_CONDITION     the platform accepts a write whatever version it is based on
 * TAKE_ANY         a daemon takes a version older than its own
 * LOST_IS_REFUSED  the tool reports a write without an answer as refused
 * NEWEST_ID_ONLY   the tool looks for its publication id in the newest version
 *                  only
 * NO_PULL          the peer does not pull from the watcher
 * STALE_COUNTS     a daemon that starts takes the version that the list names
 */
#define VERSIONS 5
#define OUTAGES_MAX 2
#define STARTS_MAX 1
#define DELAYED_MAX 3	/* late or repeated messages to each daemon */

mtype = { OPEN, ACCEPTED, REFUSED, NOT_KNOWN }

bool up = true;		/* the platform answers */
byte current = 1;	/* newest version on the platform */
byte writer[VERSIONS];	/* publication id by version: operator plus 1 */
bool overwrote_unread;	/* a write replaced a version its writer missed */

bool write_pending[2];	/* the write can reach the platform at any time */
byte base[2];		/* version that the write is conditional on */
bool accept_pending[2];	/* "accepted" can arrive at any time */
bool applied[2];	/* the platform made a version of the write */
mtype outcome[2] = OPEN;

byte version[2];	/* in force at the watcher (0) and the peer (1) */
byte held[2];		/* version of the objects that they hold */
bool reverted;		/* a daemon went back to an older version */

inline learn_version(d, v)
{
	if
#ifdef TAKE_ANY
	:: v < version[d] -> reverted = true; version[d] = v; held[d] = v
#endif
	:: v > version[d] -> version[d] = v; held[d] = v
	:: else
	fi
}

#ifdef NO_CONDITION
#define accepts(i) (current < VERSIONS - 1)
#else
#define accepts(i) (current == base[i])
#endif

#ifdef NEWEST_ID_ONLY
#define has_id_of(i) (writer[current] == i + 1)
#else
#define has_id_of(i) (writer[1] == i + 1 || writer[2] == i + 1 || \
	writer[3] == i + 1 || writer[4] == i + 1)
#endif

inline apply_write(i)
{
	overwrote_unread = overwrote_unread || current != base[i];
	current++;
	writer[current] = i + 1;
	applied[i] = true;
	accept_pending[i] = true
}

proctype platform()
{
	byte noutages;
end:	do
	:: atomic { up && write_pending[0] && accepts(0) -> apply_write(0) }
	:: atomic { up && write_pending[1] && accepts(1) -> apply_write(1) }
	:: atomic { up && noutages < OUTAGES_MAX ->
		up = false; noutages++ }
	:: up = true
	od
}

proctype operator(byte i)
{
	atomic { up -> base[i] = current; write_pending[i] = true };
	do
	:: atomic { accept_pending[i] -> outcome[i] = ACCEPTED; break }
#ifdef LOST_IS_REFUSED
	:: atomic { outcome[i] = REFUSED; break }
#endif
	:: atomic { up && has_id_of(i) -> outcome[i] = ACCEPTED; break }
	:: atomic { up && !has_id_of(i) && current != base[i] ->
		outcome[i] = REFUSED; break }
	:: atomic { !up -> outcome[i] = NOT_KNOWN; break }
	od;
	/* The tool may hand the newest version to the peer after the write. */
	if
	:: atomic { outcome[i] == ACCEPTED -> learn_version(1, current) }
	:: true
	fi
}

proctype watcher()
{
end:	do
	:: atomic { up && version[0] < current -> learn_version(0, current) }
	od
}

proctype peer()
{
end:	do
#ifdef NO_PULL
	:: false
#else
	:: atomic { version[1] < version[0] -> learn_version(1, version[0]) }
#endif
	od
}

proctype starter()
{
	byte nstarts, v;
end:	do
	:: atomic { up && nstarts < STARTS_MAX -> nstarts++;
		do
		:: v < current -> v++
		:: break
		od;
		held[1] = v;
#ifdef STALE_COUNTS
		version[1] = current;
#else
		version[1] = 0;
#endif
		v = 0 }
	od
}

proctype network()
{
	byte ndelayed[2], v;
end:	do
	:: atomic { ndelayed[0] < DELAYED_MAX -> ndelayed[0]++; v = 1;
		do
		:: v < current -> v++
		:: break
		od;
		learn_version(0, v); v = 0 }
	:: atomic { ndelayed[1] < DELAYED_MAX && version[0] ->
		ndelayed[1]++; v = 1;
		do
		:: v < version[0] -> v++
		:: break
		od;
		learn_version(1, v); v = 0 }
	od
}

init {
	atomic {
		run platform();
		run operator(0);
		run operator(1);
		run watcher();
		run peer();
		run starter();
		run network()
	}
}

ltl never_reverts { [] !reverted }
ltl one_outcome_reported_truly {
	[] ((outcome[0] == ACCEPTED -> applied[0]) &&
	    (outcome[0] == REFUSED -> !applied[0]) &&
	    (outcome[1] == ACCEPTED -> applied[1]) &&
	    (outcome[1] == REFUSED -> !applied[1])) }
ltl builds_on_what_was_read { [] !overwrote_unread }
ltl in_force_everywhere {
	<> [] (held[0] == current && held[1] == current) }
ltl holds_what_it_names {
	[] ((version[0] == 0 || held[0] == version[0]) &&
	    (version[1] == 0 || held[1] == version[1])) }
