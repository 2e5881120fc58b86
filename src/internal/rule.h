#ifndef KQ_RULE_H
#define KQ_RULE_H

#include "service.h"

/**
 * DOC: Which request a rule of a service file speaks of.
 *
 * A rule that says idempotent matches exactly. A rule that says not
 * idempotent also matches a path that differs in case or in a slash at the
 * end, since targets often take these for one path.
 */

/** service_rule_matches() - whether a rule matches a path without its query */
int service_rule_matches(const struct service_rule *, const char *method,
    const char *path);
/** service_rule_covers() - whether every request that @b matches exactly is
 * matched by @a */
int
service_rule_covers(const struct service_rule *a, const struct service_rule *b);
/** service_path_plain() - whether a path has one spelling only: no percent
 * encoding, dot segment, empty segment, path parameter, backslash, fragment,
 * or byte outside of printable ASCII */
int service_path_plain(const char *path);

#endif
