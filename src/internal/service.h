#ifndef KQ_SERVICE_H
#define KQ_SERVICE_H

#include <stdint.h>

/**
 * DOC: Services and data centres as configured by the operators.
 *
 * There is one struct service for each service file and one struct datacentre
 * for each data centre object. Versions come from the platform's single
 * counter for all objects, so that one number orders all changes.
 */

#define SERVICE_NAME_MAX 128 /* bytes with the final NUL */
#define SERVICE_RULES_MAX 32
#define RULE_METHOD_MAX 16
#define RULE_PATH_MAX 128
#define HEALTH_PATH_MAX 1024
#define DATACENTRE_NAME_MAX 64

/**
 * struct service_rule - one entry of "requests"; the first that matches applies
 * @method: "*" is any
 * @path: exact path, or a prefix followed by "*"
 * @idempotent: nonzero if matching requests may be repeated
 */
struct service_rule {
	char method[RULE_METHOD_MAX];
	char path[RULE_PATH_MAX];
	int idempotent;
};

/**
 * struct service - one service file in force
 * @removed: nonzero if the file was removed
 * @timeout_ms: timeout of a call that brings no deadline
 * @measure_per_s: limit on health, load and probe requests a second to a target
 * @cold_limit: limit on requests in flight at a cold target
 * @cold_calls: good completions needed before that limit rises
 * @cold_good_ms: a completion that takes at most this long is good
 * @cold_idle_ms: a target idle for this long counts as cold; 0 is never
 * @cold_per_s: limit on requests a second to a cold target; 0 is no limit
 * @health_path: path of the health check, or empty
 * @queue_max: limit on requests that wait for a target
 * @retry_ratio: retries and hedges that a success allows
 * @hedge: nonzero if idempotent requests may be hedged
 */
struct service {
	char name[SERVICE_NAME_MAX];
	uint64_t version;
	int removed;
	int nrule;
	struct service_rule rule[SERVICE_RULES_MAX];
	int timeout_ms;
	double measure_per_s;
	int cold_limit;
	int cold_calls;
	int cold_good_ms;
	int cold_idle_ms;
	double cold_per_s;
	char health_path[HEALTH_PATH_MAX];
	int queue_max;
	double retry_ratio;
	int hedge;
};

enum datacentre_state { DATACENTRE_IN, DATACENTRE_OUT };

/**
 * struct datacentre - one data centre object in force
 * @ramp_ms: time until it has its full share again after state
 *           DATACENTRE_OUT
 */
struct datacentre {
	char name[DATACENTRE_NAME_MAX];
	char region[DATACENTRE_NAME_MAX];
	uint64_t version;
	enum datacentre_state state;
	int ramp_ms;
};

/** service_idempotent() - whether a request may be repeated; one that no rule
 * matches may not. @path may have a query. */
int service_idempotent(const struct service *, const char *method,
    const char *path);

#endif
