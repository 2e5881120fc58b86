/*
 * At most one run of a non-idempotent request.
 *
 * One caller with one piece of work, two outbound sides, an incarnation 0 of
 * an inbound side that may die and be replaced by incarnation 1. Messages and
 * replies are flags that stay set, so that each can come late, twice, in any
 * order or never. A mutant is a mechanism turned off by a define:
 * NO_HORIZON, NO_TOMBSTONE, NO_INCARNATION, NO_RECHECK, LOST_IS_NOT_RUN,
 * RETRY_UNKNOWN.
 */
#define IDS 4
#define REPEATS 2

mtype = { UNSEEN, PENDING, SENT, DONE, NOT_RUN, UNKNOWN, RETRY }

byte minted;		/* ids in order of birth */
byte owner[IDS];	/* incarnation that an id names */
bool message[IDS];	/* on its way, or already there */
mtype fate[8] = UNSEEN;	/* incarnation * IDS + id */
bool late[8];		/* past the deadline of the arrival that runs */
bool alive[2];
bool evicted[2];
byte horizon[2];

bool said_done[IDS], said_not_run[IDS], said_unknown[IDS];
byte runs;
byte ran[IDS];
bool ran_late;
bool told_not_run[IDS], told_done[IDS];

/* Request to an outbound side: an id, or IDS for none. Reply: outcome, id. */
chan request[2] = [1] of { byte };
chan reply = [2] of { mtype, byte };

#ifdef NO_INCARNATION
#define mine(i, d) true
#else
#define mine(i, d) (owner[d] == i)
#endif
#ifdef NO_HORIZON
#define behind(i, d) false
#else
#define behind(i, d) (evicted[i] && d <= horizon[i])
#endif
#ifdef NO_RECHECK
#define may_send(e) true
#else
#define may_send(e) !late[e]
#endif

inline refuse(e, d)
{
	said_not_run[d] = true;
	late[e] = false;
#ifdef NO_TOMBSTONE
	fate[e] = UNSEEN
#else
	fate[e] = NOT_RUN
#endif
}

inline arrive(i, d)
{
	if
	:: fate[i * IDS + d] == UNSEEN && behind(i, d) -> said_unknown[d] = true
	:: fate[i * IDS + d] == UNSEEN && !behind(i, d) ->
		if
		:: fate[i * IDS + d] = PENDING
		:: refuse(i * IDS + d, d) /* past its deadline */
		fi
	:: fate[i * IDS + d] == DONE -> said_done[d] = true
	:: fate[i * IDS + d] == NOT_RUN -> said_not_run[d] = true
	:: fate[i * IDS + d] == UNKNOWN -> said_unknown[d] = true
	:: else /* waits */
	fi
}

inline go_on(i, e, d)
{
	if
	:: fate[e] == PENDING && may_send(e) ->
		fate[e] = SENT;
		runs++;
		ran[d]++;
		ran_late = ran_late || late[e]
	:: fate[e] == PENDING -> refuse(e, d)
	:: fate[e] == SENT -> fate[e] = DONE; said_done[d] = true
	:: fate[e] == SENT -> /* connection lost */
#ifdef LOST_IS_NOT_RUN
		refuse(e, d)
#else
		fate[e] = UNKNOWN; said_unknown[d] = true
#endif
	fi
}

inline evict(i, e, d)
{
	fate[e] = UNSEEN;
	late[e] = false;
	if
	:: d > horizon[i] -> horizon[i] = d
	:: else
	fi;
	evicted[i] = true
}

#define final(e) (fate[e] == DONE || fate[e] == NOT_RUN || fate[e] == UNKNOWN)
#define busy(e) (fate[e] == PENDING || fate[e] == SENT)

proctype inbound(byte i)
{
	byte d;
end:	do
	:: alive[i] ->
		atomic {
			d = 0;
			do
			:: d < IDS - 1 -> d++
			:: break
			od;
			if
			:: alive[i] && message[d] && mine(i, d) -> arrive(i, d)
			:: alive[i] && busy(i * IDS + d) ->
				go_on(i, i * IDS + d, d)
			:: alive[i] && final(i * IDS + d) ->
				evict(i, i * IDS + d, d)
			:: alive[i] && fate[i * IDS + d] == PENDING ->
				late[i * IDS + d] = true
			:: alive[i] && i == 0 -> /* dies and is replaced */
				alive[0] = false;
				alive[1] = true
			:: else
			fi;
			d = 0
		}
	od
}

inline mint(d)
{
	d = minted;
	minted++;
	if
	:: owner[d] = 0
	:: alive[1] -> owner[d] = 1
	fi;
	message[d] = true
}

proctype outbound(byte o)
{
	byte d;
	bool own;
end:	do
	:: atomic { request[o]?d ->
		own = (d == IDS);
		if
		:: own && minted < IDS -> mint(d)
		:: own && minted == IDS -> goto end
		:: !own -> message[d] = true
		fi };
wait:		if
		:: atomic { said_not_run[d] && own && minted < IDS ->
			mint(d); goto wait }
#ifdef RETRY_UNKNOWN
		:: atomic { own && minted < IDS -> mint(d); goto wait }
#endif
		:: atomic { said_not_run[d] ->
			told_not_run[d] = true; reply!NOT_RUN, d }
		:: atomic { said_done[d] -> told_done[d] = true; reply!DONE, d }
		:: atomic { said_unknown[d] -> reply!UNKNOWN, d }
		:: reply!UNKNOWN, d /* no reply in time, or the owner is gone */
		fi;
		d = 0;
		own = false
	od
}

/* Repeats with the id after "unknown", here or there or at both; calls anew
 * only after "not run". */
proctype caller()
{
	byte d, left = REPEATS;

	request[0]!IDS;
end:	do
	:: atomic { reply?UNKNOWN, d ->
		if
		:: left > 0 && empty(request[0]) -> left--; request[0]!d
		:: left > 0 && empty(request[1]) -> left--; request[1]!d
		:: left > 1 && empty(request[0]) && empty(request[1]) ->
			left = left - 2; request[0]!d; request[1]!d
		:: true
		fi }
	:: atomic { reply?NOT_RUN, d -> request[1]!IDS; break }
	:: atomic { reply?DONE, d -> break }
	od
}

init {
	atomic {
		alive[0] = true;
		run inbound(0);
		run inbound(1);
		run outbound(0);
		run outbound(1);
		run caller()
	}
}

ltl runs_at_most_once { [] (runs <= 1) }
ltl not_run_is_true {
	[] ((told_not_run[0] -> !ran[0]) && (told_not_run[1] -> !ran[1]) &&
	    (told_not_run[2] -> !ran[2]) && (told_not_run[3] -> !ran[3])) }
ltl answer_is_of_a_run {
	[] ((told_done[0] -> ran[0]) && (told_done[1] -> ran[1]) &&
	    (told_done[2] -> ran[2]) && (told_done[3] -> ran[3])) }
ltl no_run_past_the_deadline { [] !ran_late }
