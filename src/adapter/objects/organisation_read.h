#ifndef KQ_OBJECTS_ORGANISATION_READ_H
#define KQ_OBJECTS_ORGANISATION_READ_H

#include "json.h"
#include "routing.h"

/**
 * organisations_read() - read the organisations of a routing object, and their
 * keys
 *
 * An invalid organisation or key counts in routing.ninvalid and is left out; a
 * key that two organisations have is valid for neither. No error text contains
 * a key. Return: 0, or -1 if they are no list.
 */
int organisations_read(struct json *, int object, struct routing *,
    struct kq_error *);

#endif
