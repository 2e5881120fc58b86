#ifndef KQ_ONCE_TABLE_H
#define KQ_ONCE_TABLE_H

#include <glib.h>

#include "once.h"

enum fate { FATE_PENDING, FATE_SENT, FATE_DONE, FATE_NOT_RUN, FATE_UNKNOWN };

/** struct kept - an answer, complete or being collected
 * @bytes: charged to the table: text of the fields and room of the body
 * @older: neighbours in the list of complete answers */
struct kept {
	struct once_answer answer;
	struct once_field *field;
	unsigned char *body;
	size_t body_len;
	size_t body_room;
	size_t bytes;
	struct kept *older;
	struct kept *newer;
	uint32_t entry;
};

struct entry {
	struct once_id id;
	int64_t deadline; /* of the arrival that runs */
	struct kept *kept;
	uint32_t generation;
	uint32_t waiter; /* first of the list, plus one; 0 is none */
	uint32_t nwaiter;
	enum fate fate;
};

struct waiter {
	int64_t deadline;
	void *arg;
	uint32_t generation;
	uint32_t entry;
	uint32_t next; /* in the entry's list, plus one */
	int used;
};

struct once {
	uint64_t incarnation;
	struct once_limits limits;
	once_reply_fn *reply;
	void *ctx;
	struct entry *entry;
	uint32_t nentry; /* slots ever used */
	GArray *unused; /* slots free again */
	GHashTable *by_id; /* struct once_id in the entry, to the entry */
	uint32_t *heap; /* slots with a final fate, lowest birth first */
	uint32_t nheap;
	struct waiter *waiter;
	struct kept *oldest; /* of the complete answers */
	struct kept *newest;
	struct once_stats stats;
};

static inline uint64_t
once_handle(uint32_t generation, uint32_t slot)
{
	return (uint64_t)generation << 32 | (slot + 1);
}

/** once_find() - entry of an id, or NULL if unseen or evicted */
struct entry *once_find(struct once *, const struct once_id *);
/** once_remember() - new entry, after evicting an id if the table is full; NULL
 * if all are in progress: the id is then as if evicted */
struct entry *once_remember(struct once *, const struct once_id *);
/** once_entry() - entry in progress of a handle, or NULL */
struct entry *once_entry(struct once *, uint64_t handle);
/** once_finish() - make the fate final and reply to the waiters */
void once_finish(struct once *, struct entry *, enum fate);

/** once_said() - what is said of a final fate */
enum once_outcome
once_said(const struct entry *, const struct once_answer **answer);

void once_heap_push(struct once *, uint32_t slot);
/** once_heap_pop() - slot with the lowest birth; the heap must not be empty */
uint32_t once_heap_pop(struct once *);

void once_kept_complete(struct once *, struct entry *);
void once_kept_drop(struct once *, struct entry *);

/** once_wait() - add a waiter; its handle, or 0 if there is no room */
uint64_t once_wait(struct once *, struct entry *, int64_t deadline, void *arg);
void once_reply_all(struct once *, struct entry *);

#endif
