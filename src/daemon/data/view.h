#ifndef KQ_VIEW_H
#define KQ_VIEW_H

#include <glib.h>

#include "objects.h"
#include "rollout.h"
#include "routing.h"
#include "service.h"

/**
 * DOC: Configuration in force and instances known, as used by the data task.
 *
 * The control task builds a new view at each change and posts it to the data
 * task, which only reads it.
 */

/** struct view_instance - an instance from the configuration or the membership
 * @live: zero if the membership table has its daemon as dead, left or
 *        forgotten, or does not have it confirmed; for this daemon, zero while
 *        it is leaving
 * @left: nonzero if its daemon told the members that it leaves, which is
 *        final */
struct view_instance {
	struct instance instance;
	int live;
	int left;
};

/** struct view_rollout - an order to move a service to another version
 * @status: in force at this daemon
 * @decider: incarnation of the daemon that decides, 0 if there is none */
struct view_rollout {
	struct rollout_order order;
	struct rollout_status status;
	uint64_t decider;
};

/**
 * struct view - one state of configuration and membership
 * @complete_version: version up to which the configuration is complete
 * @rules_version: version under which calls are picked: the highest one of an
 *                 object other than an instance, taken over each time that the
 *                 configuration is complete up to it
 * @may_act: 0 while this daemon may have been paused and has not caught up
 * @pause_number: number of the last pause of the data task that the control
 * task knew of when it built the view
 * @routing: routes in force, or NULL if callers name the service
 * @nmember: members alive or suspect, this daemon among them
 */
struct view {
	uint64_t complete_version;
	uint64_t rules_version;
	int may_act;
	uint32_t pause_number;
	struct routing *routing;
	int nservice;
	struct service *service;
	int ndatacentre;
	struct datacentre *datacentre;
	int nmember;
	int ninstance;
	struct view_instance *instance;
	int nrollout;
	struct view_rollout *rollout;
};

void view_free(struct view *);
const struct service *view_service(const struct view *, const char *name);
const struct datacentre *view_datacentre(const struct view *, const char *name);
/** view_rollout() - find the order of a service, or NULL */
const struct view_rollout *
view_rollout(const struct view *, const char *service);
/** view_datacentre_out() - whether a data centre is out; one without an object
 * is in */
int view_datacentre_out(const struct view *, const char *datacentre);

#endif
