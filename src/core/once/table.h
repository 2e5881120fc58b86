#ifndef KQ_ONCE_TABLE_H
#define KQ_ONCE_TABLE_H

#include <glib.h>

#include "once.h"

/** enum entry_state - state of an id, see the diagram in once.h; the values
 * after ENTRY_SENT are final */
enum entry_state {
	ENTRY_PENDING,
	ENTRY_SENT,
	ENTRY_DONE,
	ENTRY_NOT_RUN,
	ENTRY_UNKNOWN
};

/**
 * struct stored_answer - copy of an answer, complete or still being received
 * @body_len: bytes of the body received so far
 * @body_room: bytes allocated for @body
 * @bytes: counted against the table's limit: array and text of the fields,
 *         and @body_room
 * @older: previous in the list of complete answers
 * @newer: next in the list of complete answers
 * @entry: slot of the entry that it belongs to
 */
struct stored_answer {
	struct once_answer answer;
	struct once_field *field;
	unsigned char *body;
	size_t body_len;
	size_t body_room;
	size_t bytes;
	struct stored_answer *older;
	struct stored_answer *newer;
	uint32_t entry;
};

/**
 * struct entry - one id
 * @deadline: of the request that is run, microseconds
 * @stored: its answer, or NULL if that is not stored
 * @generation: number of ids that the slot has held; part of the handle
 * @first_waiter: slot of the first waiter of the list, plus one; 0 is none
 * @nwaiter: waiters in the list
 */
struct entry {
	struct once_id id;
	int64_t deadline;
	struct stored_answer *stored;
	uint32_t generation;
	uint32_t first_waiter;
	uint32_t nwaiter;
	enum entry_state state;
};

/**
 * struct waiter - one repeat that waits for the answer of an id
 * @deadline: of the repeat, microseconds
 * @arg: passed to the table's reply function
 * @generation: number of repeats that the slot has held; part of the handle
 * @entry: slot of the entry waited for
 * @next: slot of the next waiter of the entry, plus one; 0 is none
 * @used: nonzero if the slot is in use
 */
struct waiter {
	int64_t deadline;
	void *arg;
	uint32_t generation;
	uint32_t entry;
	uint32_t next;
	int used;
};

/**
 * struct once - table of ids
 * @entry: array of limits.entries slots
 * @nentry: slots that have been used at some time
 * @free_slots: those of them that are free again, uint32_t
 * @by_id: hash table from the struct once_id in an entry to the entry
 * @heap: min-heap by creation time of the slots in a final state
 * @nheap: slots in @heap
 * @waiter: array of limits.waiters slots
 * @oldest: first in the list of complete answers
 * @newest: last in the list of complete answers
 */
struct once {
	uint64_t incarnation;
	struct once_limits limits;
	once_reply_fn *reply;
	void *ctx;
	struct entry *entry;
	uint32_t nentry;
	GArray *free_slots;
	GHashTable *by_id;
	uint32_t *heap;
	uint32_t nheap;
	struct waiter *waiter;
	struct stored_answer *oldest;
	struct stored_answer *newest;
	struct once_stats stats;
};

/** once_handle() - make a handle; never 0 */
static inline uint64_t
once_handle(uint32_t generation, uint32_t slot)
{
	return (uint64_t)generation << 32 | (slot + 1);
}

/** once_find_entry() - find the entry of an id; NULL if the id was never
 * received or has been evicted */
struct entry *once_find_entry(struct once *, const struct once_id *);
/** once_add_entry() - add an entry in state ENTRY_PENDING. A full table evicts
 * a final id for it; if no id is final, returns NULL and raises the horizon as
 * if the new id had been evicted. */
struct entry *once_add_entry(struct once *, const struct once_id *);
/** once_active_entry() - find the entry of a handle; NULL if its state is final
 * or the handle is invalid */
struct entry *once_active_entry(struct once *, uint64_t handle);
/** once_finish_entry() - set the final state and reply to the waiters */
void once_finish_entry(struct once *, struct entry *, enum entry_state);

/** once_final_outcome() - outcome to report for an entry in a final state
 * @answer: set only with ONCE_ANSWER; may be NULL */
enum once_outcome
once_final_outcome(const struct entry *, const struct once_answer **answer);

/** once_heap_push() - add the slot of an entry that became final */
void once_heap_push(struct once *, uint32_t slot);
/** once_heap_pop() - remove the slot with the lowest creation time; the heap
 * must not be empty */
uint32_t once_heap_pop(struct once *);

/** once_stored_complete() - mark the answer of an entry, if any, as complete
 * and add it to the list */
void once_stored_complete(struct once *, struct entry *);
/** once_stored_free() - free the answer of an entry, if any */
void once_stored_free(struct once *, struct entry *);

/** once_add_waiter() - add a waiter. Returns its handle, or 0 if the entry or
 * the table has as many as its limit allows. */
uint64_t
once_add_waiter(struct once *, struct entry *, int64_t deadline, void *arg);
/** once_reply_waiters() - remove all waiters of a final entry and reply to
 * them */
void once_reply_waiters(struct once *, struct entry *);

#endif
