/*
 * At most one run of a non-idempotent request.
 *
 * One caller sends one request, through two outbound sides, to incarnation 0 of
 * an inbound side, which may die and be replaced by incarnation 1. Messages and
 * replies are flags that stay set, so each can arrive late, twice, in any order
 * or never. Each of these defines turns one mechanism off, which must break a
 * property:
 * NO_HORIZON       an evicted id counts as never seen
 * NO_TOMBSTONE     a refused id counts as never seen
 * NO_INCARNATION   an incarnation runs ids that name another
 * NO_RECHECK       the deadline is not checked again before the send
 * LOST_IS_NOT_RUN  a connection lost after the send counts as "not run"
 * RETRY_UNKNOWN    the outbound side sends a new id before it knows the outcome
 *                  of the last one
 */
#define IDS 4
#define REPEATS_MAX 2

mtype = { UNSEEN, PENDING, SENT, DONE, NOT_RUN, UNKNOWN, RETRY }

byte nminted;		/* ids so far, numbered in order of creation */
byte owner[IDS];	/* incarnation that an id names */
bool message[IDS];	/* sent; it may reach its incarnation from now on */
mtype fate[8] = UNSEEN;	/* index: incarnation * IDS + id */
bool past_deadline[8];	/* the pending request's deadline has passed */
bool alive[2];
bool evicted[2];	/* the incarnation has evicted an id */
byte horizon[2];	/* highest id that it has evicted */

bool replied_done[IDS], replied_not_run[IDS], replied_unknown[IDS];
byte runs;		/* of the request, with any id */
byte ran[IDS];
bool ran_past_deadline;
bool reported_not_run[IDS], reported_done[IDS];

/* The caller sends an outbound side the id to repeat, or IDS for a new call.
 * The reply is the outcome and the id sent last. */
chan request[2] = [1] of { byte };
chan reply = [2] of { mtype, byte };

#ifdef NO_INCARNATION
#define named_by(i, d) true
#else
#define named_by(i, d) (owner[d] == i)
#endif
#ifdef NO_HORIZON
#define below_horizon(i, d) false
#else
#define below_horizon(i, d) (evicted[i] && d <= horizon[i])
#endif
#ifdef NO_RECHECK
#define may_send(e) true
#else
#define may_send(e) !past_deadline[e]
#endif

inline refuse(e, d)
{
	replied_not_run[d] = true;
	past_deadline[e] = false;
#ifdef NO_TOMBSTONE
	fate[e] = UNSEEN
#else
	fate[e] = NOT_RUN
#endif
}

inline arrive(i, d)
{
	if
	:: fate[i * IDS + d] == UNSEEN && below_horizon(i, d) ->
		replied_unknown[d] = true
	:: fate[i * IDS + d] == UNSEEN && !below_horizon(i, d) ->
		if
		:: fate[i * IDS + d] = PENDING
		:: refuse(i * IDS + d, d) /* past its deadline */
		fi
	:: fate[i * IDS + d] == DONE -> replied_done[d] = true
	:: fate[i * IDS + d] == NOT_RUN -> replied_not_run[d] = true
	:: fate[i * IDS + d] == UNKNOWN -> replied_unknown[d] = true
	:: else /* pending or sent: the reply follows */
	fi
}

inline step(i, e, d)
{
	if
	:: fate[e] == PENDING && may_send(e) ->
		fate[e] = SENT;
		runs++;
		ran[d]++;
		ran_past_deadline = ran_past_deadline || past_deadline[e]
	:: fate[e] == PENDING -> refuse(e, d)
	:: fate[e] == SENT -> fate[e] = DONE; replied_done[d] = true
	:: fate[e] == SENT -> /* connection to the target lost */
#ifdef LOST_IS_NOT_RUN
		refuse(e, d)
#else
		fate[e] = UNKNOWN; replied_unknown[d] = true
#endif
	fi
}

inline evict(i, e, d)
{
	fate[e] = UNSEEN;
	past_deadline[e] = false;
	if
	:: d > horizon[i] -> horizon[i] = d
	:: else
	fi;
	evicted[i] = true
}

#define is_final(e) (fate[e] == DONE || fate[e] == NOT_RUN || \
	fate[e] == UNKNOWN)
#define is_active(e) (fate[e] == PENDING || fate[e] == SENT)

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
			:: alive[i] && message[d] && named_by(i, d) ->
				arrive(i, d)
			:: alive[i] && is_active(i * IDS + d) ->
				step(i, i * IDS + d, d)
			:: alive[i] && is_final(i * IDS + d) ->
				evict(i, i * IDS + d, d)
			:: alive[i] && fate[i * IDS + d] == PENDING ->
				past_deadline[i * IDS + d] = true
			:: alive[i] && i == 0 -> /* dies; 1 replaces it */
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
	d = nminted;
	nminted++;
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
		:: own && nminted < IDS -> mint(d)
		:: own && nminted == IDS -> goto end
		:: !own -> message[d] = true
		fi };
await:		if
		:: atomic { replied_not_run[d] && own && nminted < IDS ->
			mint(d); goto await }
#ifdef RETRY_UNKNOWN
		:: atomic { own && nminted < IDS -> mint(d); goto await }
#endif
		:: atomic { replied_not_run[d] ->
			reported_not_run[d] = true; reply!NOT_RUN, d }
		:: atomic { replied_done[d] ->
			reported_done[d] = true; reply!DONE, d }
		:: atomic { replied_unknown[d] -> reply!UNKNOWN, d }
		/* no reply in time, or the id's incarnation is gone */
		:: reply!UNKNOWN, d
		fi;
		d = 0;
		own = false
	od
}

/* After "unknown" the caller may repeat with the same id, through either
 * outbound side or both. It makes a new call only after "not run". */
proctype caller()
{
	byte d, left = REPEATS_MAX;

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
	[] ((reported_not_run[0] -> !ran[0]) &&
	    (reported_not_run[1] -> !ran[1]) &&
	    (reported_not_run[2] -> !ran[2]) &&
	    (reported_not_run[3] -> !ran[3])) }
ltl answer_is_of_a_run {
	[] ((reported_done[0] -> ran[0]) && (reported_done[1] -> ran[1]) &&
	    (reported_done[2] -> ran[2]) && (reported_done[3] -> ran[3])) }
ltl no_run_past_the_deadline { [] !ran_past_deadline }
