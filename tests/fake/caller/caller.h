#ifndef FAKE_CALLER_H
#define FAKE_CALLER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdint.h>

/**
 * DOC: Stand-in for callers at the moment of a planned stop.
 *
 * Each thread opens connections to one daemon, one after the other, and sends
 * requests on them in several ways, until no connection can be opened. A
 * request counts as cut if all of it was sent, no earlier answer announced the
 * end of the connection, and the connection ends without a whole answer.
 *
 * With --slow, it stands in for callers that read slowly or not at all: each
 * sends one request and reads its status, then so many bytes a second.
 *
 * With --half-close, each ends its sending side after its requests and reads
 * their answers, or closes the connection.
 */

/** enum way - how requests are sent on a connection */
enum way {
	WAY_WHOLE, /* in one write */
	WAY_HALVES, /* the second half some time after the first */
	WAY_LATE, /* some time after the connection was opened */
	WAY_BODY, /* with a body, which is sent after the head */
	WAY_PIPELINED, /* several at once */
	WAYS
};

/** struct counts - totals of all threads, by way */
struct counts {
	gint sent[WAYS];
	gint answered[WAYS];
	gint cut[WAYS];
	gint connections;
};

/** struct caller - what all threads share */
struct caller {
	struct sockaddr_in to;
	const char *host;
	const char *path;
	gint64
	    end; /* monotonic time at which no further connection is opened */
	gint next_id; /* of a request */
	int sends_body; /* a slow caller sends a body without end */
	int head_bytes; /* of a head that does not end, 0: heads end */
	struct counts counts;
};

/** connection_play() - open a connection and send requests on it in a way.
 * Return: 0, or -1 if it could not be opened */
int connection_play(struct caller *, enum way, GRand *);

#define BATCH_MAX 3 /* requests at once on a connection */

/** struct batch - requests sent at once by a caller that reads slowly; those
 * beyond the second have the host NULL if there are none */
struct batch {
	struct sockaddr_in to;
	const char *host[BATCH_MAX];
	const char *path;
	int kb_per_s;
};

/** struct batch_counts - answers to each of the requests: whole ones with
 * status 200, whole ones with another, and others of which a part came */
struct batch_counts {
	int batches;
	int whole[BATCH_MAX];
	int error[BATCH_MAX];
	int cut[BATCH_MAX];
};

/** batch_play() - send a batch and count its answers. Return: 0, or -1 if no
 * connection could be opened */
int batch_play(const struct batch *, struct batch_counts *);

/** struct slow_way - what callers that read slowly do */
struct slow_way {
	int connections; /* one request on each */
	int open_per_s; /* connections opened a second */
	gint64 bytes_per_s; /* read by each; 0 for the status alone */
	int deadline_ms;
};

/** slow_play() - hold connections until the end, and print what came on them */
void slow_play(const struct caller *, const struct slow_way *);

/**
 * struct half_way - what callers that end their sending side do
 * @connections: one after the other
 * @requests: sent at once, before the end
 * @is_kept: a request was answered on the connection before
 * @is_http10: they are sent in HTTP/1.0
 * @pause_ms: from the requests to the end
 * @leaves: the connection is closed, and nothing read
 * @reads_ms: for so long after the end of the sending side; 0: at the same time
 */
struct half_way {
	int connections;
	int requests;
	const char *method;
	int is_kept;
	int is_http10;
	int deadline_ms;
	int pause_ms;
	int leaves;
	int reads_ms;
};

/** half_play() - play these callers, and print what came */
void half_play(struct caller *, const struct half_way *);

#endif
