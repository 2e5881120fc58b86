#ifndef KQ_MEMBER_IMPL_H
#define KQ_MEMBER_IMPL_H

#include <glib.h>

#include "member.h"

#define HEALTH_MAX 8 /* highest, i.e. worst, local health score (Lifeguard) */
/* Times an update is sent, multiplied by member_log10_size(). */
#define SEND_FACTOR 4
/* The same for a suspicion, as part of its sends go to members that are silent
 * and not yet suspected when many fail at once, and for an update with the
 * whole info: a member that misses all of these learns of a new one only from a
 * page.
 */
#define OFTEN_SEND_FACTOR 8
/* Largest probe, JOIN, PULL or answer with queued updates, in bytes. Other
 * messages are limited by limits.datagram_bytes. */
#define PIGGYBACK_BYTES 512
#define NOTIFY_ROUNDS 3 /* gossip rounds that announce a new config_version */
#define READING_ROUNDS 1 /* gossip rounds that announce a reading */
/* The time from suspect to dead has this many parts; the suspect is pinged
 * after each but the last. */
#define SUSPICION_PARTS 4
#define CHECKS_MAX 16 /* concurrent checks of silent members */
#define RELAYS_MAX 256 /* concurrent probes on behalf of other members */
#define JOIN_TRIES 3 /* unanswered PULLs before the seeds are asked again */
#define JOIN_RETRY_US 300000 /* between two JOINs or PULLs */
#define JOIN_AT_ONCE 2 /* seeds that a JOIN is sent to at once */
/* Longest time between two rounds of pings after a pause. */
#define RESUME_GAP_MAX_US 2000000

/**
 * struct row - one member and the state of its dissemination
 * @handle: index in the table's rows
 * @live_index: index in the list of live members, -1 if not in it
 * @queued: nonzero while the row is in the gossip queue
 * @in_message: nonzero while member_piggyback() fills a message that already
 *              has this row's update
 * @sends: times the state was sent since it was last queued
 * @with_info: nonzero if queued updates carry the whole info
 * @checked: nonzero while we check it as callers found it silent
 * @check_at: time at which a suspect is pinged once more
 * @dead_at: time at which a suspect is declared dead
 * @pull_failed: nonzero if the last pull from it failed
 * @pull_failed_version: our complete version at that time
 */
struct row {
	struct member m;
	int handle;
	int live_index;
	int queued;
	int in_message;
	int sends;
	int with_info;
	int checked;
	int64_t check_at;
	int64_t dead_at;
	int pull_failed;
	uint64_t pull_failed_version;
};

enum probe_phase { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

/**
 * struct probe - our current probe
 * @acked: nonzero once the probed member or a helper has sent an ACK
 * @nasked: helpers that were asked to probe it
 * @nnack: helpers that answered NACK
 * @seq: sequence number that the answers must carry
 * @probed: incarnation of the probed member
 * @begun: time at which the probe was begun
 * @next_at: time at which the next phase begins
 */
struct probe {
	enum probe_phase phase;
	int acked;
	int nasked;
	int nnack;
	uint32_t seq;
	uint64_t probed;
	int64_t begun;
	int64_t next_at;
};

/**
 * struct check - a check of a member that callers found silent
 * @acked: nonzero once the member or a helper has sent an ACK
 * @nacked: nonzero once a helper has answered NACK
 * @rounds: times that helpers were asked, 0 while the member got a ping alone
 * @seq: sequence number that the answers must carry
 * @probed: incarnation of the member, 0 if the entry is unused
 */
struct check {
	int acked;
	int nacked;
	int rounds;
	uint32_t seq;
	uint64_t probed;
	int64_t ends_at;
};

/**
 * struct relay - a probe on behalf of another member
 * @requester: incarnation of the member that asked, 0 if the entry is unused
 * @probed: incarnation of the probed member
 * @seq: sequence number of our ping
 * @requester_seq: sequence number of the requester's probe
 * @expires_at: time at which the requester is answered with NACK
 */
struct relay {
	uint64_t requester;
	uint64_t probed;
	uint32_t seq;
	uint32_t requester_seq;
	struct member_address requester_address;
	int64_t expires_at;
};

/**
 * struct join - fetches the table from a seed, page by page
 * @next_seed: index of the seed that the next JOIN is sent to
 * @tries: PULLs sent since the last answer of @id
 * @cursor: row that the next page begins with
 * @seq: number that the answer to our PULL must carry
 * @id: incarnation of the seed that answered, 0 until one has
 * @next_at: time of the next JOIN or PULL
 * @address: where @id is reached
 */
struct join {
	int active;
	int nseed;
	int next_seed;
	int tries;
	uint32_t cursor;
	uint32_t seq;
	uint64_t id;
	int64_t next_at;
	struct member_address address;
	struct member_address seed[MEMBER_SEEDS_MAX];
};

/** struct note - a note that is known
 * @at: time at which it was told first, by our clock
 * @sends: times that it was gossiped
 * @in_message: it is in the message that is being built */
struct note {
	struct member_note note;
	int64_t at;
	int sends;
	int in_message;
};

/**
 * struct member_table - see member.h
 * @notes: struct note, in the order in which they came
 * @note_cursor: index of the note that the next page begins with
 * @rows: struct row by handle, NULL where free
 * @by_id: struct row by incarnation
 * @live: handles of others that are alive or suspect, in no order
 * @order: handles still to be probed in this round, from @order_next on
 * @queue: handles whose state still has to be sent
 * @suspects: handles of suspects
 * @rng_state: state of the random number generator
 * @config_version: version that our configuration is complete to
 * @config_digest: of what we hold at that version
 * @notify_rounds: gossip rounds left that announce @config_version or @reading
 * @reading: number of the newest reading of the platform, 0 for none
 * @reading_at: its time
 * @now: time of the call that is being handled
 * @health: local health score, 0 (healthy) to HEALTH_MAX
 * @leaving: nonzero after member_leave()
 * @declared_left: nonzero once others list us as left
 * @paused: nonzero after a pause until another member has acknowledged us
 * @resume_seq: first sequence number whose ACK ends @paused
 * @resume_ping_at: time of the next round of pings while @paused
 * @resume_ping_gap: time between two of these rounds, doubled with each
 * @seq: sequence number of the last ping
 * @sync_cursor: row that the next pushed page begins with
 * @tick_due: time at which the next tick is expected
 * @out: the message that is being built
 */
struct member_table {
	GPtrArray *rows;
	GHashTable *by_id;
	GArray *live;
	GArray *order;
	guint order_next;
	GArray *queue;
	GArray *suspects;
	GArray *notes;
	guint note_cursor;
	struct member_limits limits;
	struct member_counts counts;
	const struct member_ops *ops;
	void *ctx;
	uint64_t rng_state;
	uint64_t config_version;
	uint64_t config_digest;
	int notify_rounds;
	uint32_t reading;
	int64_t reading_at;
	int64_t now;
	int health;
	int leaving;
	int declared_left;
	int paused;
	uint32_t resume_seq;
	int64_t resume_ping_at;
	int64_t resume_ping_gap;
	uint32_t seq;
	uint32_t sync_cursor;
	int64_t gossip_at;
	int64_t sync_at;
	int64_t tick_due;
	struct probe probe;
	struct check check[CHECKS_MAX];
	struct relay relay[RELAYS_MAX];
	struct join join;
	struct member_message out;
};

/* random.c */
uint64_t member_random(struct member_table *);
/** member_random_below() - uniform random number in [0, @n) */
uint32_t member_random_below(struct member_table *, uint32_t n);
/** member_confirm() - note that a message came from a member or told of it
 *
 * In row.c. Raises MEMBER_EVENT_CONFIRMED at the first time.
 */
void member_confirm(struct member_table *, int handle);
void member_shuffle(struct member_table *, GArray *handles);
/** member_sample() - choose up to @k different live members at random, none of
 * which is @except; returns their count
 *
 * Suspects and members that are being checked are chosen only if there are no
 * others.
 */
int member_sample(struct member_table *, int except, int k, int *handle);

/* row.c */
struct row *member_row(const struct member_table *, int handle);
/** member_add() - add a row; returns its handle, MEMBER_NONE if there are
 * MEMBERS_MAX */
int member_add(struct member_table *, const struct member_info *,
    enum member_state, uint32_t state_seq, int64_t now);
/** member_forget() - remove a row and free its handle */
void member_forget(struct member_table *, int handle);
/** member_set_state() - set a row's state and its sequence number, raise the
 * event */
void member_set_state(struct member_table *, int handle, enum member_state,
    uint32_t state_seq, int64_t now);
/** member_log10_size() - decimal logarithm of the count of live members,
 * ourselves among them; at least 1 */
double member_log10_size(const struct member_table *);

/* merge.c */
/** member_merge() - apply an update, queue the row if that changed it */
void
member_merge(struct member_table *, const struct member_update *, int64_t now);
/** member_overrides() - whether an update is newer than what a row says */
int member_overrides(const struct member_update *, const struct row *);
/** member_refute() - raise our sequence number above @state_seq and queue our
 * state */
void member_refute(struct member_table *, uint32_t state_seq);

/* queue.c */
/** member_enqueue() - queue a row's state to be gossiped
 * @with_info: nonzero to send the whole info along
 */
void member_enqueue(struct member_table *, int handle, int with_info);
/** member_piggyback() - add queued updates up to a message size of @bytes */
void
member_piggyback(struct member_table *, struct member_message *, size_t bytes);
/** member_append_update() - add one row's update if the message has at most
 * @bytes with it; returns 0 if it does not fit */
int member_append_update(struct member_table *, struct member_message *,
    int handle, int with_info, size_t bytes);

/* note.c */
void member_receive_notes(struct member_table *, const struct member_message *,
    int64_t now);
/** member_has_notes() - whether a note still has to be gossiped */
int member_has_notes(const struct member_table *);
/** member_append_notes() - add notes to be gossiped, up to a message size of
 * @bytes */
void member_append_notes(struct member_table *, struct member_message *,
    size_t bytes);
/** member_append_kept_notes() - add kept notes, beginning where the last
 * message ended */
void member_append_kept_notes(struct member_table *, struct member_message *,
    size_t bytes);

/* message.c */
/** member_begin_message() - begin a message to an incarnation, without
 * updates; valid until the next call, as the table has one message buffer */
struct member_message *
member_begin_message(struct member_table *, enum member_kind, uint64_t to);
void member_send(struct member_table *, const struct member_address *to,
    const struct member_message *);
/** member_send_piggybacked() - add queued updates up to @bytes and send the
 * message to a row's address */
void member_send_piggybacked(struct member_table *, int handle,
    struct member_message *, size_t bytes);
void member_send_ping(struct member_table *, int handle, uint32_t seq);
/** member_send_ping_req() - ask @helper to probe @probed */
void member_send_ping_req(struct member_table *, int helper, int probed,
    uint32_t seq);
void member_send_gossip(struct member_table *, int handle);

/* probe.c, relay.c */
/** member_probe_step() - begin the next phase of the probe, or the next probe,
 * when it is due */
void member_probe_step(struct member_table *, int64_t now);
/** member_receive_probe_answer() - take an ACK or NACK to our own probe */
void member_receive_probe_answer(struct member_table *,
    const struct member_message *);
/** member_relay_start() - probe on behalf of the sender of a PING_REQ */
void member_relay_start(struct member_table *, const struct member_message *,
    int64_t now);
/** member_receive_relay_answer() - pass the answer to a relayed ping on as ACK
 * to the member that asked for it */
void member_receive_relay_answer(struct member_table *,
    const struct member_message *);
/** member_relay_expire() - answer overdue relays with NACK; returns the next
 * due time */
int64_t member_relay_expire(struct member_table *, int64_t now);

/* check.c */
/** member_receive_check_answer() - take an ACK or NACK to one of our checks */
void member_receive_check_answer(struct member_table *,
    const struct member_message *);
/** member_checks_expire() - end the checks that are over; returns the next due
 * time */
int64_t member_checks_expire(struct member_table *, int64_t now);

/* suspect.c */
/** member_suspect() - mark an alive member as suspect and tell that member */
void member_suspect(struct member_table *, int handle, int64_t now);
/** member_suspects_expire() - declare overdue suspects dead, ping the others
 * when that is due; returns the next due time */
int64_t member_suspects_expire(struct member_table *, int64_t now);

/* gossip.c, sync.c, join.c, pause.c */
void member_gossip_step(struct member_table *, int64_t now);
/** member_note_reading() - take the reading that a message tells of, if it is
 * newer */
void member_note_reading(struct member_table *, const struct member_message *,
    int64_t now);
/** member_sync_step() - when it is due, push a page of the table to a random
 * member, ping a dead member and forget old rows */
void member_sync_step(struct member_table *, int64_t now);
/** member_compare_updates() - ask the sender for the infos that we miss, and
 * answer a PAGE with the states that are newer here */
void
member_compare_updates(struct member_table *, const struct member_message *);
void member_answer_want(struct member_table *, const struct member_message *);
/** member_join_step() - send the JOINs or the PULL that is due */
void member_join_step(struct member_table *, int64_t now);
void member_receive_welcome(struct member_table *,
    const struct member_message *, int64_t now);
/** member_receive_page() - ask for the page that follows the one received */
void member_receive_page(struct member_table *, const struct member_message *,
    int64_t now);
void member_answer_pull(struct member_table *, const struct member_message *);
/** member_detect_pause() - find out from a late tick that we were paused */
void member_detect_pause(struct member_table *, int64_t now);
/** member_resume_step() - ping a few members while paused, when it is due */
void member_resume_step(struct member_table *, int64_t now);
/** member_receive_resume_ack() - end the pause if an ACK shows that its sender
 * lists us as alive at our present sequence number */
void
member_receive_resume_ack(struct member_table *, const struct member_message *);

#endif
