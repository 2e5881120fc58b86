#ifndef KQ_MEMBER_H
#define KQ_MEMBER_H

#include <stddef.h>
#include <stdint.h>

#include "objects.h"

/**
 * DOC: Membership of the daemons and detection of failed ones.
 *
 * A failure detector after SWIM (Das, Gupta, Motivala, DSN 2002) with the
 * local health, suspicion and buddy rules of Lifeguard (Dadgar, Phillips,
 * Currey, 2017). Each member probes one other member per period. If that one
 * does not answer, the member asks others to probe it too; if none of them
 * reaches it, it becomes suspect, and it is declared dead unless it refutes
 * the suspicion in time. Changes of state are piggybacked on the datagrams,
 * within a bound of bytes. The cost per member does not grow with the fleet.
 *
 * A member is identified by its incarnation, drawn anew at each start and
 * never used again. A sequence number orders the statements about the state
 * of one incarnation; only the member itself raises it.
 *
 * Every datagram carries the sender's configuration version. If the receiver
 * has a lower one, the behind callback is called, and the receiver pulls from
 * the sender (notify, then pull: Fouquet et al., DAIS 2012; without its
 * vector clocks, as one counter orders the versions).
 *
 * The module does no I/O and reads no clock: time is an argument in monotonic
 * microseconds, messages are sent through a callback, random numbers come
 * from a seed.
 */

#define MEMBERS_MAX 4096
#define MEMBER_NONE (-1)
#define MEMBER_SEEDS_MAX 32
#define MEMBER_UPDATES_MAX 64 /* updates in one message */
#define MEMBER_WANTS_MAX 32 /* incarnations asked for in one message */
/* Members chosen at once: watchers, receivers of gossip, helpers of a probe. */
#define MEMBER_CHOSEN_MAX 8
/* Value of view_seq if the sender does not know the receiver. */
#define MEMBER_VIEW_NONE UINT32_MAX

/** struct member_address - address of a UDP socket */
struct member_address {
	uint32_t ip; /* IPv4 number in host order */
	uint16_t port;
};

/** struct member_info - identity, addresses and service of an incarnation
 *
 * Only the service and the version change during an incarnation.
 */
struct member_info {
	uint64_t id; /* incarnation, never 0 */
	struct member_address address;
	uint16_t caller_port;
	uint16_t operator_port;
	char datacentre[DATACENTRE_NAME_MAX];
	char region[DATACENTRE_NAME_MAX];
	/* raised with each change of @service or @version */
	uint32_t service_seq;
	char service[SERVICE_NAME_MAX]; /* of its target, empty if none */
	char version[TARGET_VERSION_MAX]; /* of its target, empty if unknown */
};

/** enum member_state - state of a member, as others see it
 *
 * Of two statements with the same sequence number, the one with the state that
 * is later in this list overrides the other.
 */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD, /* overridden by a higher sequence number */
	MEMBER_LEFT /* final; overrides every other state */
};

/** struct member - a member as its row in the table shows it */
struct member {
	struct member_info info;
	enum member_state state;
	uint32_t state_seq; /* of @state; what SWIM calls incarnation */
	int confirmed; /* a datagram came from it or told of it */
	int64_t state_since; /* time of the last change of @state */
	uint64_t
	    config_version; /* highest configuration version it announced */
};

/**
 * struct member_update - a statement about one member
 * @has_info: all of @info is valid, otherwise only its id and the sequence
 *            number of its service
 */
struct member_update {
	enum member_state state;
	uint32_t state_seq;
	int has_info;
	struct member_info info;
};

#define MEMBER_NOTE_BYTES 224 /* of data in a note */
#define MEMBER_NOTES_MAX 8 /* notes in one message */
#define MEMBER_NOTES_KNOWN_MAX 128 /* notes that are known at once */

/**
 * struct member_note - news for all members, whose data this module only
 * carries
 *
 * Each member passes a note on a few times, with its gossip only. Kept notes
 * are also in the pages of the table, for members that join later.
 *
 * @id: known notes are not taken again; never 0
 * @age_ms: time since it was told first
 * @keep_ms: time from then on for which it is kept, 0 if it is not
 */
struct member_note {
	uint64_t id;
	uint32_t age_ms;
	uint32_t keep_ms;
	uint32_t len;
	unsigned char data[MEMBER_NOTE_BYTES];
};

/** enum member_kind - kind of a message */
enum member_kind {
	MEMBER_PING, /* answered with ACK */
	MEMBER_PING_REQ, /* asks to probe @probed; answered with ACK or NACK */
	MEMBER_ACK,
	MEMBER_NACK, /* @probed has not answered the sender in time */
	MEMBER_GOSSIP, /* only updates, no answer expected */
	MEMBER_JOIN, /* to a seed's address; answered with WELCOME */
	MEMBER_WELCOME, /* tells a newcomer the seed's incarnation */
	MEMBER_PULL, /* asks for the rows from @cursor on; answered with PAGE */
	MEMBER_PAGE, /* rows of the table; @cursor is that of the next or 0 */
	MEMBER_WANT /* asks for the infos of @want; answered with GOSSIP */
};
#define MEMBER_KINDS 10

/**
 * struct member_message - one datagram
 * @from: incarnation of the sender
 * @to: incarnation of the receiver, 0 only in a JOIN
 * @seq: sequence number of a probe, echoed in its answer
 * @probed: incarnation to be probed, in PING_REQ and its answers
 * @probed_address: address of @probed, in PING_REQ
 * @config_version: version that the sender's configuration is complete to
 * @config_digest: of what the sender holds at that version, 0 if not known
 * @reading: number of the newest reading of the platform that the sender knows
 * @reading_age: time since that reading, microseconds
 * @view_state: state of the receiver in the sender's table
 * @view_seq: sequence number of that state, or MEMBER_VIEW_NONE if the
 *               receiver is not in the sender's table
 * @cursor: row that a page begins with (PULL) or the next one does (PAGE)
 * @source: address the datagram came from, filled in by the adapter
 */
struct member_message {
	enum member_kind kind;
	uint64_t from;
	uint64_t to;
	uint32_t seq;
	uint64_t probed;
	struct member_address probed_address;
	uint64_t config_version;
	uint64_t config_digest;
	uint32_t reading;
	uint32_t reading_age;
	enum member_state view_state;
	uint32_t view_seq;
	uint32_t cursor;
	struct member_address source;
	int nnote;
	int nwant;
	uint64_t want[MEMBER_WANTS_MAX];
	int nupdate;
	struct member_update update[MEMBER_UPDATES_MAX];
	struct member_note note[MEMBER_NOTES_MAX];
};

/** enum member_event - what happened to a member */
enum member_event {
	MEMBER_EVENT_JOINED,
	MEMBER_EVENT_SUSPECTED,
	MEMBER_EVENT_ALIVE, /* refuted that it is suspect or dead */
	MEMBER_EVENT_DEAD,
	MEMBER_EVENT_LEFT,
	MEMBER_EVENT_SERVICE, /* the service of its target changed */
	MEMBER_EVENT_CONFIRMED, /* @confirmed was set */
	MEMBER_EVENT_CHECK_ANSWERED, /* to us or to a helper */
	MEMBER_EVENT_CHECK_UNCONFIRMED, /* nobody said that it is silent */
	MEMBER_EVENT_CHECK_FAILED, /* it becomes suspect, if it is not yet */
	MEMBER_EVENT_FORGOTTEN /* its row is removed next, its handle freed */
};

/**
 * struct member_ops - callbacks of a table; @ctx is the one given to
 * member_new()
 * @send: send a message; it is valid until this returns
 * @event: called when a member has changed; LEFT for handle 0 means that others
 *         list us as left for good, so that we need a new incarnation
 * @behind: called for each datagram of a member that has a higher configuration
 *          version than ours; this callback must keep to one pull at a time
 * @differs: called for each datagram of a member that has our configuration
 *          version and another digest; may be NULL
 * @note: called for each note that another member told, once; may be NULL
 *
 * None of these may call a function that changes the table.
 */
struct member_ops {
	void (*send)(void *ctx, const struct member_address *to,
	    const struct member_message *);
	void (*event)(void *ctx, int handle, enum member_event);
	void (*behind)(void *ctx, int handle, uint64_t config_version);
	void (*differs)(void *ctx, int handle, uint64_t config_digest);
	void (*note)(void *ctx, const struct member_note *, int64_t at);
};

/**
 * struct member_limits - bounds and periods, times in microseconds
 * @probe_period: between two probes; prolonged while our local health score
 *                is bad
 * @probe_timeout: from a ping until it is repeated, if unanswered, and others
 *                 are asked to probe; prolonged like @probe_period
 * @gossip_period: between two rounds of gossip
 * @sync_period: between two pushes of a page of the table
 * @pause_after: lateness of a tick from which on we count as having been paused
 * @forget_after: time that a dead or left member stays in the table
 * @suspicion_mult: the time from suspect to dead is this many probe periods
 *                  times the decimal logarithm of the fleet's size, which
 *                  counts as at least 1; prolonged like @probe_period
 * @indirect_probes: members asked to probe a member that does not answer us
 * @fanout: members that a round of gossip is sent to
 * @datagram_bytes: largest datagram
 */
struct member_limits {
	int64_t probe_period;
	int64_t probe_timeout;
	int64_t gossip_period;
	int64_t sync_period;
	int64_t pause_after;
	int64_t forget_after;
	int suspicion_mult;
	int indirect_probes;
	int fanout;
	int datagram_bytes;
};
#define MEMBER_LIMITS_DEFAULT                                                \
	{                                                                    \
		500000, 100000, 100000, 5000000, 1000000, 60000000, 2, 3, 3, \
		    1200                                                     \
	}

/** struct member_counts - totals since the table was made */
struct member_counts {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t checks; /* of members found silent */
	uint64_t checks_unconfirmed; /* of these, without word of another */
	uint64_t suspected;
	uint64_t refuted; /* suspicions of us that we refuted */
	uint64_t died;
	uint64_t pauses;
	uint64_t table_full; /* members not added as the table was full */
	uint64_t ignored; /* messages with a wrong sender or receiver */
};

struct member_table;

/** member_new() - make a table that has ourselves in it, at handle 0 */
struct member_table *
member_new(const struct member_info *self, const struct member_limits *,
    uint64_t seed, const struct member_ops *, void *ctx, int64_t now);
void member_free(struct member_table *);

/** member_tick() - do the work that is due; returns the time at which it is to
 * be called next, at most a gossip period later */
int64_t member_tick(struct member_table *, int64_t now);
/** member_receive() - handle a message that came from the network */
void member_receive(struct member_table *, const struct member_message *,
    int64_t now);

/**
 * member_check() - find out whether a member that left calls unanswered is
 * silent to others too
 * @id: its incarnation
 *
 * Pings it and asks a few members to. It becomes suspect if none of them gets
 * an answer and one of them says so. No effect on a member that is not alive or
 * is being checked.
 */
void member_check(struct member_table *, uint64_t id, int64_t now);
/** member_join() - fetch the table from one of these addresses
 *
 * Asks them in random order, a bounded number at a time, until one answers.
 */
void member_join(struct member_table *, const struct member_address *seed,
    int nseed, int64_t now);
/** member_add_registered() - add the incarnation that an instance object names
 *
 * It counts as alive from now on, but as confirmed only once a datagram has
 * come from it or told of it. No effect if it is in the table.
 */
void member_add_registered(struct member_table *, const struct member_info *,
    int64_t now);
/** member_mark_left() - set an incarnation to LEFT since its instance object
 * was removed */
void member_mark_left(struct member_table *, uint64_t id, int64_t now);
/** member_leave() - tell the others that we leave
 *
 * The caller goes on calling member_tick() for a second, so that this spreads.
 * While it does, the others are asked for their configuration versions.
 */
void member_leave(struct member_table *, int64_t now);
/** member_set_service() - set our target's service, empty if there is none, and
 * gossip it to the others, which does not need the platform */
void
member_set_service(struct member_table *, const char *service, int64_t now);
/** member_set_version() - set the version of our target, empty if it is not
 * known, and gossip it to the others
 *
 * A daemon of a release without versions refuses datagrams that hold one. */
void
member_set_version(struct member_table *, const char *version, int64_t now);
/** member_set_config_version() - set the version that our configuration is
 * complete to
 * @digest: of what is held at that version, see config_digest()
 *
 * A higher one than before is announced to a few members at once.
 */
void member_set_config_version(struct member_table *, uint64_t config_version,
    uint64_t digest, int64_t now);

/** member_tell() - tell a note to all members */
void
member_tell(struct member_table *, const struct member_note *, int64_t now);

/**
 * member_set_reading() - note that we have read what the platform held at @at,
 * and tell the others, each of which tells a few more
 *
 * Readings are numbered: one replaces all that are known here, and a number is
 * passed on once by each member.
 */
void member_set_reading(struct member_table *, int64_t at, int64_t now);
/** member_reading_at() - time of the newest reading of the platform by any
 * member that is known, by our clock; 0 if none is */
int64_t member_reading_at(const struct member_table *);

/**
 * member_may_act() - whether decisions may be based on our view of the members
 *
 * Return: 0 after a pause (a late tick) until another member has acknowledged
 * us at our present sequence number, after member_leave(), and once others list
 * us as left; else nonzero.
 */
int member_may_act(const struct member_table *);

/** member_count() - count members that are alive or suspect, with ourselves */
int member_count(const struct member_table *);
/** member_handle_end() - get the end of the range of handles, to iterate over
 * them */
int member_handle_end(const struct member_table *);
/** member_at() - get the member of a handle; NULL if the handle is free */
const struct member *member_at(const struct member_table *, int handle);
/** member_find() - find the handle of an incarnation, or MEMBER_NONE */
int member_find(const struct member_table *, uint64_t id);
/**
 * member_watchers() - choose the members that watch the platform for a data
 * centre, or for all of them if @datacentre is NULL
 * @handle: filled in, highest weight first
 *
 * By rendezvous hashing (Thaler, Ravishankar, 1998) over the members of the
 * data centre that are alive and confirmed. Return: count, at most @k.
 */
int member_watchers(const struct member_table *, const char *datacentre, int k,
    int *handle);
/**
 * member_verifiers() - choose the members that check whether the watches still
 * deliver changes
 * @handle: filled in; members that are not the first watcher of their data
 *          centre go first, so that a member whose calls the platform
 *          rejects does not fail in both roles
 *
 * Chosen from all data centres in the same way as watchers. Return: count, at
 * most @k.
 */
int member_verifiers(const struct member_table *, int k, int *handle);
/**
 * member_source() - choose a member to pull the configuration from
 * @version: complete version here, which it must be above
 *
 * One at random of those that have announced such a version and are alive, in
 * our data centre if there is one, but in another one after one of ours has
 * failed. Those that failed at this version come again only after all others.
 * Return: its handle, or MEMBER_NONE if there is none, and once after all of
 * them have failed, so that a caller which tries at once comes to an end.
 */
int member_source(struct member_table *, uint64_t version);
/**
 * member_source_failed() - note that a pull from a member failed
 * @id: its incarnation, ignored if unknown
 * @version: complete version here at that time
 */
void member_source_failed(struct member_table *, uint64_t id, uint64_t version);
/** member_counts() - copy the totals */
void member_counts(const struct member_table *, struct member_counts *);

/** member_message_size() - size of a message as a datagram, in bytes */
size_t member_message_size(const struct member_message *);

#endif
