#ifndef KQ_ROUTING_H
#define KQ_ROUTING_H

#include <glib.h>
#include <stdint.h>

#include "error.h"
#include "service.h"

/**
 * DOC: Routes: which service a request goes to, and with which time limits,
 * priority and number of attempts.
 *
 * A route is found by the host and the longest matching prefix of the path. It
 * names one service, or several with weights. One configuration object holds
 * all routes, the settings of services that have no service file, and the
 * limits on callers, so that all of them take effect together. It also holds
 * the organisations and their keys: where there are any, a request needs a key
 * unless its route allows anonymous ones.
 */

#define ROUTE_NONE (-1)
#define ORGANISATION_NONE (-1)
#define ORGANISATION_NAME_MAX 64 /* bytes with the final NUL */
#define ORGANISATION_KEY_MAX 256 /* bytes of a key */
#define ORGANISATION_PRIORITY_MAX 1000
#define ROUTING_SECRET_BYTES 32 /* under which keys are hashed */

/** struct route_part - one of the services of a route
 * @weight: over the sum of all weights, the service's share of requests */
struct route_part {
	const char *service;
	double weight;
};

/**
 * struct route - requests of one host and path prefix
 * @host: compared without regard to case
 * @prefix: of the path; it begins and ends with a slash
 * @idempotent: nonzero if requests may run more than once
 * @timeout_ms: longest time that a caller waits for its answer
 * @objective_ms: latency objective; an answer within this time is in time
 * @anonymous: nonzero if its requests need no key
 * @priority: rank among waiting requests, 0 is the most urgent
 * @max_attempts: maximum number of targets that a request may be sent to;
 *	attempts that a daemon refused do not count
 * @npart: number of services in @part; 0 if the route is invalid, so that its
 *	requests are refused and don't go to a route with a shorter prefix
 */
struct route {
	const char *host;
	const char *prefix;
	int idempotent;
	int timeout_ms;
	int objective_ms;
	int anonymous;
	int priority;
	int max_attempts;
	int npart;
	struct route_part *part;
};

/**
 * struct routing_service - settings of a service, apart from its routes
 * @health_path: path of its health check, empty for none
 * @connections: connections that each target accepts, 0 when not given
 * @cold_ms: time for which a target is cold after its start
 * @cold_per_s: requests per second that a cold target can take, 0 when not
 *	given
 */
struct routing_service {
	const char *name;
	const char *health_path;
	int connections;
	int cold_ms;
	double cold_per_s;
};

/**
 * struct routing_organisation - whom requests with certain keys belong to
 * @name: visible ASCII, shorter than ORGANISATION_NAME_MAX
 * @priority: rank among waiting requests before that of the route, 0 to
 *	ORGANISATION_PRIORITY_MAX, 0 is the most urgent
 * @rate_per_s: requests per second at all daemons together; 0: no limit
 * @burst: requests beyond the rate, at once
 */
struct routing_organisation {
	const char *name;
	int priority;
	double rate_per_s;
	double burst;
};

/** struct routing_limits - limits on callers; 0 keeps that of the settings */
struct routing_limits {
	int head_bytes;
	int64_t body_bytes;
	int head_ms;
	int idle_ms;
};

struct routing_keys;

/**
 * struct routing - a routing object; routes are sorted by host, then by length
 * of prefix, longest first. Tasks share it, so it is not modified once it has
 * been read.
 * @strings: text of all names
 * @ninvalid: routes, services, organisations, keys and limits that are invalid
 * @needs_key: nonzero if the object holds organisations, valid or not, so that
 *	requests need a key
 * @organisation: in the order of the object
 * @by_name: names to indices in @organisation; NULL without organisations
 * @keys: digests of the keys; NULL without organisations
 */
struct routing {
	gatomicrefcount refs;
	GStringChunk *strings;
	int ninvalid;
	int nroute;
	struct route *route;
	int nservice;
	struct routing_service *service;
	int needs_key;
	int norganisation;
	struct routing_organisation *organisation;
	GHashTable *by_name;
	struct routing_keys *keys;
	struct routing_limits limits;
};

/** routing_read() - parse the value of a routing object.
 *
 * Routes, services and limits are checked one by one; the others stay valid.
 * Return: the routing, to be released with routing_unref(), or NULL if the text
 * is no routing object. The error describes the first fault, also in a routing
 * that is returned. */
struct routing *routing_read(const char *text, size_t n, struct kq_error *);
/** routing_new() - make an empty routing with one reference */
struct routing *routing_new(void);
/** routing_ref() - take a reference; may be called from any thread */
struct routing *routing_ref(struct routing *);
/** routing_unref() - release a reference, and free the routing with the last
 * one; may be called from any thread */
void routing_unref(struct routing *);
/** routing_sort() - sort the routes, as routing_find() requires */
void routing_sort(struct routing *);

/**
 * routing_find() - find the route of a request
 * @host: value of the Host field; a port is ignored
 * @path: request target; the query, from "?" on, is ignored
 * Return: index of the route, or ROUTE_NONE
 */
int routing_find(const struct routing *, const char *host, const char *path);
/** routing_allows() - whether the route of a request sends any requests to a
 * service, that is, names it with a weight above 0 */
int routing_allows(const struct routing *, const char *host, const char *path,
    const char *service);
/** routing_service() - settings of a service, or NULL if it has none */
const struct routing_service *
routing_service(const struct routing *, const char *name);

/** routing_add_organisation() - append an organisation; the name is not copied.
 * Return: its index, or -1 if there is one of that name */
int
routing_add_organisation(struct routing *, const struct routing_organisation *);
/** routing_find_organisation() - index of an organisation by its name, or
 * ORGANISATION_NONE */
int routing_find_organisation(const struct routing *, const char *name);
/** routing_find_key() - index of the organisation that a key belongs to, or
 * ORGANISATION_NONE. The time that it takes doesn't depend on how much of the
 * text agrees with a key */
int routing_find_key(const struct routing *, const char *key);
/**
 * enum route_access - whether a route takes a request by its key
 * @ROUTE_KEY_UNCONFIRMED: the keys known may be out of date
 */
enum route_access {
	ROUTE_OPEN,
	ROUTE_KEY_MISSING,
	ROUTE_KEY_SEVERAL,
	ROUTE_KEY_UNKNOWN,
	ROUTE_KEY_UNCONFIRMED,
	ROUTE_ACCESSES
};
/**
 * routing_check_key() - find the organisation of a request, and whether a route
 * takes it
 * @nkey: number of key fields in the request
 * @key: value of the first one
 * @confirmed: zero if the configuration may be out of date
 * @organisation: set to the index of its organisation, or ORGANISATION_NONE
 */
enum route_access
routing_check_key(const struct routing *, const struct route *, int nkey,
    const char *key, int confirmed, int *organisation);
/** routing_keys_new() - make an empty table, which keeps keys as digests under
 * a secret */
struct routing_keys *
routing_keys_new(const unsigned char secret[ROUTING_SECRET_BYTES]);
void routing_keys_free(struct routing_keys *);
/** routing_keys_add() - add a key of an organisation; routing_find_key()
 * requires a call of routing_keys_sort() after the last one */
void routing_keys_add(struct routing_keys *, const char *key, int organisation);
/** routing_keys_count() - number of keys that belong to an organisation */
int routing_keys_count(const struct routing_keys *);
/** routing_keys_sort() - sort the keys; one of several organisations belongs to
 * none of them from then on. Return: the number of such keys */
int routing_keys_sort(struct routing_keys *);

/**
 * struct route_sequence - point in the sequence that distributes requests over
 * the parts of a route
 *
 * The sequence consists of the fractional parts of a start value plus multiples
 * of the golden ratio. Any consecutive elements of it are spread evenly over
 * 0..1, so that shares are close to the weights after a few requests (Knuth,
 * The Art of Computer Programming, vol. 3, 6.4).
 */
struct route_sequence {
	double point; /* 0..1 */
};

/** route_next_part() - choose the part that the next request goes to, and
 * advance the sequence. Return: index of the part */
int route_next_part(const struct route *, struct route_sequence *);

#endif
