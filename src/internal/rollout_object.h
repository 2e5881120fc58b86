#ifndef KQ_ROLLOUT_OBJECT_H
#define KQ_ROLLOUT_OBJECT_H

#include <glib.h>

#include "config.h"
#include "rollout.h"

/**
 * DOC: Values of CONFIG_ROLLOUT objects: an order and its status.
 *
 * In JSON: service, version, duration_ms and, once there is one, status with
 * version, state, share, started_ms and order. A status of another version is
 * one of an earlier order, and counts as none.
 */

#define ROLLOUT_STATE_MAX 16 /* bytes of a state's name with the final NUL */

/**
 * struct rollout_object - an order with its status
 * @serial: names the order among those of this service and version: the
 *	revision of the object when the order had no status yet, which the
 *	status keeps
 * @state: name of the state, empty without a status of this order
 * @share, @started_ms: as in struct rollout_status
 */
struct rollout_object {
	struct rollout_order order;
	uint64_t serial;
	char state[ROLLOUT_STATE_MAX];
	double share;
	int64_t started_ms;
};

/** rollout_object_read() - parse a value
 * @version: of the object
 * Return: 0, or -1 with line and column in the error */
int rollout_object_read(struct rollout_object *, uint64_t version,
    const char *text, size_t n, struct kq_error *);
/** rollout_object_write() - append the value as one line of JSON that the
 * reader accepts */
void rollout_object_write(GString *, const struct rollout_object *);

#endif
