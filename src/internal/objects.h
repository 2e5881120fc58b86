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
 * DOC: Strict readers and writers of the values of the platform's objects.
 *
 * The readers of service, data centre and instance values refuse unknown keys
 * and invalid values, with line and column in the error (codes from enum
 * json_error_code, layer KQ_LAYER_CONFIG). They leave the version at 0, since
 * the object carries it.
 */

/* Defaults of the keys that a service file or data centre object omits. */
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
#define TARGET_VERSION_MAX 64 /* bytes with the final NUL */
#define IP_TEXT_MAX 16 /* bytes of an IPv4 address with the final NUL */

/**
 * struct instance - one instance object: a daemon and the target beside it
 * @incarnation: random number of this run of the daemon, never 0
 * @service: service of the target, empty until a target has announced itself
 * @version: version of the target, empty while unknown; members tell it, the
 *	object does not hold it
 */
struct instance {
	uint64_t incarnation;
	char service[SERVICE_NAME_MAX];
	char version[TARGET_VERSION_MAX];
	char datacentre[DATACENTRE_NAME_MAX];
	char region[DATACENTRE_NAME_MAX];
	char ip[IP_TEXT_MAX];
	int caller_port;
	int peer_port;
	int operator_port;
};

/**
 * object_read() - read kind, name, version and value of an object from a list,
 * from a watch or as sent by the command line tool
 *
 * An unknown kind becomes -1; an absent or null value sets removed.
 * Return: 0 or -1.
 */
int
object_read(struct json *, int node, struct config_object *, struct kq_error *);
/** service_read() - read a service file. Return: 0 or -1 */
int
service_read(struct service *, const char *text, size_t n, struct kq_error *);
/** datacentre_read() - read the value of a data centre object. Return: 0 or
 * -1 */
int datacentre_read(struct datacentre *, const char *text, size_t n,
    struct kq_error *);
/** instance_read() - read the value of an instance object. Return: 0 or -1 */
int
instance_read(struct instance *, const char *text, size_t n, struct kq_error *);

/** service_write(), datacentre_write(), instance_write() - append the value as
 * one line of JSON that the matching reader accepts */
void service_write(GString *, const struct service *);
void datacentre_write(GString *, const struct datacentre *);
void instance_write(GString *, const struct instance *);

/**
 * publication_add() - insert the id of a publication after the "{" of a value
 * @id: letters, digits and "-"
 *
 * Service and data centre objects may hold the id under "publication", so that
 * a publisher that lost the answer to its write can tell its own write from
 * another one.
 */
void publication_add(GString *value, const char *id);
/** publication_read() - read the id of the publication from a value; an empty
 * string if there is none. Return: 0 or -1 */
int publication_read(char id[PUBLICATION_MAX], const char *text, size_t n,
    struct kq_error *);

#endif
