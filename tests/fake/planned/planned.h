#ifndef FAKE_PLANNED_H
#define FAKE_PLANNED_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

#include "history.h"

/**
 * DOC: Stand-in for the callers of one daemon during planned work.
 *
 * Each thread opens connections one after the other and keeps sending requests
 * on them until the daemon or the end of the run closes them. What was sent and
 * what came back is written to a history, from which tests/history/planned.awk
 * tells which requests were lost.
 *
 * request.c draws requests and sends them, mesh.c draws those of the users'
 * mesh, answer.c reads answers, connection.c plays a connection.
 */

#define ID_MAX 48 /* bytes with the final NUL */
#define BATCH_MAX 4 /* requests sent at once */

/** enum way - how the requests of a connection are sent and read */
enum way {
	WAY_SINGLE, /* in one write, one after the other */
	WAY_PIPELINED, /* several safe requests at once */
	WAY_SLOW_READER, /* large answers, read slowly */
	WAY_SLOW_BODY, /* with a body, sent slowly */
	WAY_HALVES, /* the second half some time after the first */
	WAY_IDLE, /* with a long time between requests */
	WAYS,
	WAY_FRESH = WAYS /* one on each connection; only in the mesh */
};

/** struct caller - what all threads share */
struct caller {
	struct sockaddr_in to;
	const char *address; /* @to as text */
	const char *host;
	const char *name; /* first part of the ids of requests */
	int mesh; /* nonzero: requests are those of the users' mesh */
	int chunked; /* nonzero: half of the bodies of the mesh come in chunks
		      */
	int64_t end; /* io_clock() time at which no more requests are sent */
	gint last_conn; /* number of the last connection */
	gint last_request; /* number of the last request */
	struct history history;
};

/** struct request - a request and what was asked for; times in us */
struct request {
	char id[ID_MAX];
	const char *route; /* first part of the path; NULL: drawn when sent */
	const char *method; /* NULL: by whether there is a body */
	int once; /* nonzero: on a route that isn't idempotent */
	int calls; /* that the target makes while it runs */
	const char *call; /* route of these; NULL: the target's default */
	int together; /* nonzero: they are made at once */
	int fails; /* nonzero: the target answers with a failure */
	int breaks; /* nonzero: the target breaks its answer off */
	int work_ms;
	int bytes; /* of the answer */
	int body_bytes; /* of the request */
	int chunked; /* nonzero: the body is sent in chunks */
	int limit_ms; /* deadline */
	int patience_ms; /* after which the caller gives up, 0: @limit_ms */
	const char *kind; /* for the history, NULL: as the route */
	const char *first; /* id of the first attempt, NULL: this one */
	int64_t start; /* of sending */
};

/** enum outcome - how a request ended, see answer_outcome_name() */
enum outcome {
	OUTCOME_WHOLE,
	OUTCOME_CUT, /* the connection ended without a complete answer */
	OUTCOME_BAD, /* complete, but not the target's answer to it */
	OUTCOME_BEHIND, /* sent behind an answer that closes the connection */
	OUTCOME_LATE /* the caller gave up */
};

/** struct answer - an answer, or that there was none */
struct answer {
	enum outcome outcome;
	int status; /* 0 if there was no head */
	int is_signed;
	int closes; /* nonzero: it announces the end of the connection */
	int retry_after_ms;
};

/** struct conn - a connection; @in holds bytes received and not yet used;
 * @half_closes: nonzero if the caller ends its sending side after its requests
 */
struct conn {
	struct caller *caller;
	GRand *rand;
	enum way way;
	int thread; /* number of the thread that plays it */
	int id;
	int fd;
	int half_closes;
	int64_t sent_last; /* when sending of the last bytes began */
	size_t n;
	char in[16385]; /* with a final NUL */
};

/** request_draw() - draw a request for a way of sending */
void request_draw(struct conn *, struct request *);
/** request_share_limit() - give requests that are sent at once the longest
 * deadline among them, as each answer waits for those before it */
void request_share_limit(struct request *, int n);
/** request_send() - send requests at once and write that to the history, at the
 * time at which their last bytes were sent;
 * Return: 0, or -1 if the connection took only a part */
int request_send(struct conn *, struct request *, int n);
/** answer_read() - read the answer to a request */
void answer_read(struct conn *, const struct request *, struct answer *);
/** answer_outcome_name() - for the history */
const char *answer_outcome_name(enum outcome);
/** connection_play() - open a connection and send requests on it until it ends;
 * Return: 0, or -1 if it could not be opened */
int connection_play(struct caller *, enum way, int thread, GRand *);
/** mesh_way() - how a thread sends requests of the mesh */
enum way mesh_way(int thread);
/** mesh_draw() - draw a request of the mesh */
void mesh_draw(struct conn *, struct request *);

#endif
