#ifndef KQ_OBJECTS_RULES_H
#define KQ_OBJECTS_RULES_H

#include "json.h"
#include "service.h"

/** rules_read() - read the optional list "requests" into the rules of a
 * service. Return: 0 or -1 */
int rules_read(struct json *, int object, struct service *, struct kq_error *);

#endif
