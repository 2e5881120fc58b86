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
	struct counts counts;
};

/** connection_play() - open a connection and send requests on it in a way.
 * Return: 0, or -1 if it could not be opened */
int connection_play(struct caller *, enum way, GRand *);

#define PAIR 2 /* requests at once on a connection */

/** struct pair - two requests sent at once to a caller that reads slowly */
struct pair {
	struct sockaddr_in to;
	const char *host[PAIR];
	const char *path;
	int kb_per_s;
};

/** struct pair_counts - answers to the first and the second request: whole ones
 * with status 200, whole ones with another, and others of which a part came */
struct pair_counts {
	int pairs;
	int whole[PAIR];
	int error[PAIR];
	int cut[PAIR];
};

/** pair_play() - send a pair and count its answers. Return: 0, or -1 if no
 * connection could be opened */
int pair_play(const struct pair *, struct pair_counts *);

#endif
