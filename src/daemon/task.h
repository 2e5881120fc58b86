#ifndef KQ_TASK_H
#define KQ_TASK_H

#include <glib.h>

#include "io.h"

/**
 * DOC: Tasks and their messages.
 *
 * A task is a thread with a main context and a loop of its own. Sockets and
 * state belong to one task; others reach it by posting a message, which its
 * thread handles later in order of posting.
 */

struct task {
	const char *name;
	GMainContext *context;
	GMainLoop *main_loop;
	GThread *thread;
	struct io_loop *loop;
};

/** task_fn - handles a message in the receiving task; it owns @message */
typedef void task_fn(void *ctx, void *message);

void task_init(struct task *, const char *name);
/** task_start() - run the loop in a new thread */
void task_start(struct task *);
/** task_stop() - end the loop and join; safe to call from another thread */
void task_stop(struct task *);
void task_clear(struct task *);
void task_post(struct task *, task_fn *, void *ctx, void *message);

#endif
