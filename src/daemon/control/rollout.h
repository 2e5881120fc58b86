#ifndef KQ_CONTROL_ROLLOUT_H
#define KQ_CONTROL_ROLLOUT_H

#include "daemon/control/impl.h"
#include "rollout_codec.h"
#include "rollout_object.h"

/**
 * struct control_rollout - an order and what is in force of it
 * @name: of the object
 * @version: of the object, as read last
 * @object: as read last
 * @listed: the object is in the table
 * @seen_at: when this daemon first read this order
 * @status: in force at this daemon. A final state stays, whatever the object
 *	holds later
 * @stored_final: @status is final and was read from the store
 * @decider: incarnation of the daemon that decides, 0 if there is none
 * @core: evidence and steps; NULL while another daemon decides
 * @verdict: of the last step
 * @logged: the last result of a step that was logged
 * @reason: of that result
 * @totals: answers at the last step of this daemon
 * @writing: a write of the status, or a read after one, is in flight
 * @wanted: what it writes
 * @write_after: no write before this time
 */
struct control_rollout {
	struct control *control;
	char name[CONFIG_NAME_MAX];
	uint64_t version;
	struct rollout_object object;
	int listed;
	int64_t seen_at;
	struct rollout_status status;
	int stored_final;
	uint64_t decider;
	struct rollout *core;
	struct rollout_verdict verdict;
	struct rollout_status logged;
	enum rollout_reason reason;
	struct rollout_totals totals;
	int writing;
	struct rollout_status wanted;
	int64_t write_after;
};

/**
 * struct control_rollouts - all orders; only where roll-outs are followed
 * @by_name: name of the object to struct control_rollout
 * @rolled_back: ids of orders that are known to be rolled back, also of those
 *	that were not read yet
 */
struct control_rollouts {
	GHashTable *by_name;
	GHashTable *rolled_back;
	struct io_timer timer;
};

int rollout_is_final(enum rollout_state);
/** control_rollout_set() - put a state and share in force. Return: whether that
 * changed anything */
int
control_rollout_set(struct control_rollout *, const struct rollout_status *);
/** control_rollout_stored() - status of the object, as read last */
struct rollout_status control_rollout_stored(const struct control_rollout *);
/** control_rollout_decider() - daemon that decides about a service, 0 if there
 * is none */
uint64_t control_rollout_decider(const struct control *, const char *service);
/** control_rollouts_step() - decide about the orders that are this daemon's */
void control_rollouts_step(struct control *, int64_t now);
/** control_rollout_tell() - tell all members that an order is rolled back */
void control_rollout_tell(struct control_rollout *);
/** control_rollout_write() - write a status, unless a write is in flight or the
 * last one failed a moment ago. Return: whether it does */
int
control_rollout_write(struct control_rollout *, const struct rollout_status *);

#endif
