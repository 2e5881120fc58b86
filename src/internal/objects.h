#ifndef KQ_OBJECTS_H
#define KQ_OBJECTS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "error.h"
#include "json.h"
#include "service.h"

/**
 * DOC: Values of the platform's objects, read strictly.
 *
 * Each reader refuses what it does not understand, with line and column in
 * the error (codes from enum json_error_code, layer KQ_LAYER_CONFIG). Readers
 * leave the version at 0, since it comes with the object.
 */

#define SERVICE_TIMEOUT_MS 1000
#define SERVICE_MEASURE_PER_S 2.0
#define SERVICE_COLD_LIMIT 1
#define SERVICE_COLD_CALLS 100
#define SERVICE_COLD_GOOD_MS 100
#define SERVICE_COLD_IDLE_MS 30000
#define SERVICE_QUEUE_MAX 32
#define SERVICE_RETRY_RATIO 0.1
#define SERVICE_HEDGE 0
#define DATACENTRE_RAMP_MS 10000

#define PUBLICATION_MAX 40 /* bytes with the final NUL */
#define IP_TEXT_MAX 16 /* bytes of an IPv4 number with the final NUL */

/**
 * struct instance - one instance object: a daemon and the service beside it
 * @incarnation: drawn anew at each start of the daemon, never 0
 * @service: service of its target, empty while none has announced itself
 */
struct instance {
	uint64_t incarnation;
	char service[SERVICE_NAME_MAX];
	char datacentre[DATACENTRE_NAME_MAX];
	char region[DATACENTRE_NAME_MAX];
	char ip[IP_TEXT_MAX];
	int caller_port;
	int peer_port;
	int operator_port;
};

/** object_read() - read an object with its kind, name, version and value from a
 * list, a watch or a hand-over; a kind that is not ours becomes -1. 0 or -1 */
int
object_read(struct json *, int node, struct config_object *, struct kq_error *);
/** service_read() - read a service file; 0 or -1 */
int
service_read(struct service *, const char *text, size_t n, struct kq_error *);
/** datacentre_read() - read the value of a data centre object; 0 or -1 */
int datacentre_read(struct datacentre *, const char *text, size_t n,
    struct kq_error *);
/** instance_read() - read the value of an instance object; 0 or -1 */
int
instance_read(struct instance *, const char *text, size_t n, struct kq_error *);

/** service_write(), datacentre_write(), instance_write() - append the value as
 * one line of JSON that the reader takes back */
void service_write(GString *, const struct service *);
void datacentre_write(GString *, const struct datacentre *);
void instance_write(GString *, const struct instance *);

/**
 * publication_add() - name the publication within a value, after its "{"
 * @id: letters, digits and "-"
 *
 * Service and data centre objects may hold it under "publication", so that a
 * publisher who lost the answer can tell whether the write was its own.
 */
void publication_add(GString *value, const char *id);
/** publication_read() - publication that a value names, or an empty string; 0
 * or -1 */
int publication_read(char id[PUBLICATION_MAX], const char *text, size_t n,
    struct kq_error *);

#endif
