#ifndef KQ_RULE_H
#define KQ_RULE_H

#include "service.h"

/**
 * DOC: Matching of requests with the rules of a service file.
 *
 * A rule for idempotent requests matches the path exactly. A rule for requests
 * that are not idempotent also matches a path that differs in case or by a
 * slash at the end, since targets often treat these as the same path.
 */

/** service_rule_matches() - whether a rule matches a method and a path without
 * query */
int service_rule_matches(const struct service_rule *, const char *method,
    const char *path);
/** service_rule_covers() - whether every request that @b matches exactly is
 * matched by @a */
int
service_rule_covers(const struct service_rule *a, const struct service_rule *b);
/** service_path_canonical() - whether a path can be written in only one way: it
 * begins with a slash and has no percent encoding, dot segment, empty segment
 * before its end, path parameter, backslash, fragment, or byte outside of
 * printable ASCII */
int service_path_canonical(const char *path);

#endif
