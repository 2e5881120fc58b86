#ifndef KQ_MEMBER_IMPL_H
#define KQ_MEMBER_IMPL_H

#include <glib.h>

#include "member.h"

#define HEALTH_MAX 8 /* worst local health score (Lifeguard) */
#define SEND_FACTOR 4 /* times an update is sent, for each power of ten */
#define PIGGYBACK_BYTES 512 /* largest datagram of a probe */
#define NOTIFY_ROUNDS 3 /* times a new digest is sent to a few members */
#define SUSPECT_CHECKS 4 /* a suspect is pinged this often, less one */
#define RELAYS_MAX 256 /* probes on behalf of others at once */
#define JOIN_TRIES 3 /* requests without an answer until the next seed */
#define JOIN_RETRY_US 300000 /* between two requests of a newcomer */
#define JOIN_AT_ONCE 2 /* seeds asked at once */
#define CONFIRM_MAX_US 2000000 /* longest time between two attempts */

/**
 * struct row - one member and what we owe the others about it
 * @handle: its own place in the table
 * @live: place in the list of live members, -1 if not in it
 * @queued: nonzero while its state still has to be sent
 * @picked: nonzero while the message at hand has it
 * @sends: times the state was sent
 * @announce: nonzero to send the whole info along
 * @check_at: time at which a suspect is pinged once more
 * @dead_at: time at which a suspect counts as dead
 */
struct row {
	struct member m;
	int handle;
	int live;
	int queued;
	int picked;
	int sends;
	int announce;
	int64_t check_at;
	int64_t dead_at;
};

enum probe_phase { PROBE_IDLE, PROBE_DIRECT, PROBE_INDIRECT };

/** struct probe - the one probe that is under way */
struct probe {
	enum probe_phase phase;
	int acked;
	int asked;
	int nacks;
	uint32_t seq;
	uint64_t id;
	int64_t begun;
	int64_t next; /* time of the next step */
};

/** struct relay - a probe on behalf of another member; id 0 if unused */
struct relay {
	uint64_t id;
	uint64_t target;
	uint32_t seq;
	uint32_t asked_seq;
	struct member_address address;
	int64_t until;
};

/** struct join - a newcomer's way to the table; @id 0 until a seed answers */
struct join {
	int active;
	int nseed;
	int next_seed;
	int tries;
	uint32_t cursor;
	uint64_t id;
	int64_t next;
	struct member_address address;
	struct member_address seed[MEMBER_SEEDS_MAX];
};

/**
 * struct member_table - see member.h
 * @rows: struct row by handle, NULL where free
 * @live: handles of others that are alive or suspect, in no order
 * @order: handles still to be probed in this round, from @turn on
 * @queue: handles whose state still has to be sent
 * @suspects: handles of suspects
 * @due: time at which the next tick was promised
 * @paused: nonzero until confirmed after a pause
 * @confirm_seq: first probe that counts as confirmation
 */
struct member_table {
	GPtrArray *rows;
	GHashTable *by_id;
	GArray *live;
	GArray *order;
	guint turn;
	GArray *queue;
	GArray *suspects;
	struct member_limits limits;
	struct member_counts counts;
	const struct member_ops *ops;
	void *ctx;
	uint64_t random;
	uint64_t digest;
	int notify_rounds;
	int health;
	int leaving;
	int evicted;
	int paused;
	uint32_t confirm_seq;
	int64_t confirm_at;
	int64_t confirm_gap;
	uint32_t seq;
	uint32_t sync_cursor;
	int64_t gossip_at;
	int64_t sync_at;
	int64_t due;
	struct probe probe;
	struct relay relay[RELAYS_MAX];
	struct join join;
	struct member_message out;
};

/* random.c */
uint64_t member_random(struct member_table *);
uint32_t member_random_below(struct member_table *, uint32_t n);
/** member_confirm() - a member was heard of from another */
void member_confirm(struct member_table *, int handle);
void member_shuffle(struct member_table *, GArray *handles);
/** member_pick() - up to @k different live members at random, none of which is
 * @except; returns their count */
int member_pick(struct member_table *, int except, int k, int *handle);

/* row.c */
struct row *member_row(const struct member_table *, int handle);
int member_add(struct member_table *, const struct member_info *,
    enum member_state, uint32_t number, int64_t now);
void member_forget(struct member_table *, int handle);
/** member_change() - new state and number of a row, with its event */
void member_change(struct member_table *, int handle, enum member_state,
    uint32_t number, int64_t now);
/** member_power() - size of the fleet as a power of ten, at least 1 */
double member_power(const struct member_table *);

/* merge.c */
void
member_merge(struct member_table *, const struct member_update *, int64_t now);
/** member_overrides() - whether a statement is newer than what a row says */
int member_overrides(const struct member_update *, const struct row *);
/** member_refute() - raise our number above @number and tell it */
void member_refute(struct member_table *, uint32_t number);

/* queue.c */
void member_enqueue(struct member_table *, int handle, int announce);
/** member_piggyback() - add queued updates until the message has @bytes */
void
member_piggyback(struct member_table *, struct member_message *, size_t bytes);
/** member_append() - add one row's update if it fits; 0 if it does not */
int member_append(struct member_table *, struct member_message *, int handle,
    int with_info, size_t bytes);

/* message.c */
/** member_begin() - message to a member, without updates */
struct member_message *
member_begin(struct member_table *, enum member_kind, uint64_t to);
void member_send(struct member_table *, const struct member_address *,
    const struct member_message *);
/** member_send_to() - add piggybacked updates and send to a row */
void member_send_to(struct member_table *, int handle, struct member_message *,
    size_t bytes);
void member_ping(struct member_table *, int handle, uint32_t seq);
void member_gossip_to(struct member_table *, int handle);

/* probe.c, relay.c */
void member_probe_step(struct member_table *, int64_t now);
void member_probe_answer(struct member_table *, const struct member_message *);
void member_relay_start(struct member_table *, const struct member_message *,
    int64_t now);
void member_relay_answer(struct member_table *, const struct member_message *);
/** member_relay_expire() - refuse what is overdue; returns the next due time */
int64_t member_relay_expire(struct member_table *, int64_t now);

/* suspect.c */
void member_suspect(struct member_table *, int handle, int64_t now);
/** member_suspects_expire() - declare dead what is due; returns the next due
 * time */
int64_t member_suspects_expire(struct member_table *, int64_t now);

/* gossip.c, sync.c, join.c, pause.c */
void member_gossip_step(struct member_table *, int64_t now);
void member_sync_step(struct member_table *, int64_t now);
void member_sync_answer(struct member_table *, const struct member_message *);
void member_want_answer(struct member_table *, const struct member_message *);
void member_join_step(struct member_table *, int64_t now);
void member_join_welcome(struct member_table *, const struct member_message *,
    int64_t now);
void member_join_page(struct member_table *, const struct member_message *,
    int64_t now);
void member_pull_answer(struct member_table *, const struct member_message *);
/** member_note_time() - find out that we were paused */
void member_note_time(struct member_table *, int64_t now);
void member_confirm_step(struct member_table *, int64_t now);
/** member_confirm_answer() - whether an answer ends the time after a pause */
void
member_confirm_answer(struct member_table *, const struct member_message *);

#endif
