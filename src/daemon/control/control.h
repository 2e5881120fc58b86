#ifndef KQ_CONTROL_H
#define KQ_CONTROL_H

#include "daemon/data/data.h"
#include "settings.h"

/**
 * DOC: The control task: membership, configuration, registration and the
 * operators' port. No call passes through it.
 */

struct control;

/** control_new() - open its sockets; the data task must exist already */
struct control *
control_new(const struct settings *, uint64_t incarnation, struct kq_error *);
/** control_set_data() - the data task it works for, before control_start() */
void control_set_data(struct control *, struct data *);
void control_start(struct control *);
/** control_set_settings() - settings that changed while we run, copied */
void control_set_settings(struct control *, const struct settings *);
/** control_leave() - stop gracefully; @done is called in the control task when
 * nothing is in flight and the others were told */
void control_leave(struct control *, void (*done)(void *ctx), void *ctx);
/** control_stop() - end the task; nothing is posted to the data task from then
 * on */
void control_stop(struct control *);
/** control_free() - after control_stop(), and after data_stop(), which still
 * posts to it */
void control_free(struct control *);
/** control_data_events - events of the data task, its ctx is the control */
extern const struct data_events control_data_events;

#endif
