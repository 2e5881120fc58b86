#ifndef KQ_CONTROL_H
#define KQ_CONTROL_H

#include "daemon/data/data.h"
#include "settings.h"

/**
 * DOC: The control task: membership, configuration, registration and the
 * operators' port. Calls do not pass through it.
 */

struct control;

/** control_new() - create the control task and open its sockets; NULL with the
 * error */
struct control *
control_new(const struct settings *, uint64_t incarnation, struct kq_error *);
/** control_set_data() - set the data task to post to; before control_start() */
void control_set_data(struct control *, struct data *);
/** control_start() - run the task in a thread of its own */
void control_start(struct control *);
/** control_set_settings() - take settings that changed at run time; copied */
void control_set_settings(struct control *, const struct settings *);
/** control_leave() - stop gracefully by an order that came after @since; @done
 * is called in the control task when nothing is in flight and the members were
 * told, or shortly before the grace period is over */
void control_leave(struct control *, int64_t since, void (*done)(void *ctx),
    void *ctx);
/** control_exit_by() - until when the end of the process may wait; 0 if it was
 * not told to stop; after control_stop() */
int64_t control_exit_by(const struct control *);
/** control_stop() - stop the task and join its thread; it posts nothing to the
 * data task from then on */
void control_stop(struct control *);
/** control_free() - free the task; after control_stop(), and after data_stop(),
 * which still posts to the control task */
void control_free(struct control *);
/** control_data_events - handlers of the data task's events; their ctx is the
 * control task */
extern const struct data_events control_data_events;

#endif
