#ifndef KQ_TASK_H
#define KQ_TASK_H

#include <glib.h>

#include "io.h"

/**
 * DOC: Tasks and their messages.
 *
 * A task is a thread with a main context and an event loop of its own. Each
 * socket and each piece of state belongs to one task. Other threads post
 * messages to the task, whose thread handles them in order of posting.
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

/** task_init() - create the loop, without a thread; @name is not copied */
void task_init(struct task *, const char *name);
/** task_start() - run the loop in a new thread */
void task_start(struct task *);
/** task_stop() - end the loop and join its thread, if it has one; callable from
 * another thread. No timer and no watch of the task is called back afterwards,
 * but messages still are if the context is iterated. */
void task_stop(struct task *);
/** task_clear() - free the loop of a stopped task */
void task_clear(struct task *);
/** task_post() - have the task's thread call a function; callable from any
 * thread */
void task_post(struct task *, task_fn *, void *ctx, void *message);

#endif
