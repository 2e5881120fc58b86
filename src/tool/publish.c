#include <stdio.h>
#include <string.h>

#include "objects.h"
#include "tool.h"

#define TRIES_MAX 8
#define TRY_PAUSE_US 300000

/* State of one publication in progress. */
struct publish_state {
	struct platform *platform;
	struct sync_request sync;
	struct publication *p;
	uint64_t condition; /* version that the write is conditional on */
};

static struct platform_result *
wait_result(struct publish_state *r)
{
	g_main_loop_run(r->sync.loop);
	return &r->sync.result;
}

/* Reads the object's version and value, 0 and NULL if it is absent; -1 when the
 * platform gave no answer. */
static int
read_current(struct publish_state *r, uint64_t *version, char **value)
{
	struct platform_result *res;

	platform_get(r->platform, r->p->kind, r->p->name, sync_request_done,
	    &r->sync);
	res = wait_result(r);
	*version = 0;
	*value = NULL;
	if (res->status == PLATFORM_ABSENT)
		return 0;
	if (res->status != PLATFORM_OK)
		return -1;
	*version = res->version;
	*value = res->value;
	return 0;
}

static int
has_our_id(const struct publish_state *r, const char *value)
{
	char id[PUBLICATION_MAX];

	if (!value || publication_read(id, value, strlen(value), NULL))
		return 0;
	return !strcmp(id, r->p->id);
}

/* Looks for our write among the changes since the condition's version, in case
 * it took effect and was then overwritten. Returns 1 if found, 0 if not, -1 if
 * unknown. */
static int
find_in_changes(struct publish_state *r)
{
	struct platform_result *res;
	const struct config_object *o;
	int i, found = 0;
	gsize n;

	platform_watch(r->platform, 0, r->condition, 0, sync_request_done,
	    &r->sync);
	res = wait_result(r);
	if (res->status != PLATFORM_OK)
		return -1;
	for (i = 0; i < res->batch->nobject; i++) {
		o = &res->batch->object[i];
		if (o->kind == r->p->kind && !strcmp(o->name, r->p->name) &&
		    o->value && has_our_id(r, g_bytes_get_data(o->value, &n))) {
			found = 1;
			r->p->version = o->version;
		}
	}
	config_batch_clear(res->batch);
	g_free(res->batch);
	return found;
}

static void
set_refused(struct publish_state *r, const struct platform_result *res)
{
	r->p->outcome = PUBLISH_REFUSED;
	r->p->error = res->error;
}

/* Finds out whether our own write or somebody else's changed the object; -1 if
 * unknown. */
static int
resolve_conflict(struct publish_state *r)
{
	uint64_t version;
	char *value;
	int found;

	if (read_current(r, &version, &value))
		return -1;
	found = has_our_id(r, value);
	g_free(value);
	if (found) {
		r->p->version = version;
		r->p->outcome = PUBLISH_ACCEPTED;
		return 0;
	}
	found = find_in_changes(r);
	if (found < 0)
		return -1;
	r->p->outcome = found ? PUBLISH_ACCEPTED : PUBLISH_CONFLICT;
	if (!found)
		r->p->version = version;
	return 0;
}

/* Sends the conditional write; -1 while its outcome is not known. The same
 * write may be sent again: it takes effect only once, since the object is then
 * no longer at the version that the write is conditional on. */
static int
write_once(struct publish_state *r)
{
	struct platform_result *res;

	platform_put(r->platform, r->p->kind, r->p->name, r->p->value,
	    r->condition, sync_request_done, &r->sync);
	res = wait_result(r);
	switch (res->status) {
	case PLATFORM_OK:
		r->p->version = res->version;
		r->p->outcome = PUBLISH_ACCEPTED;
		return 0;
	case PLATFORM_CONFLICT:
	case PLATFORM_ABSENT:
		return resolve_conflict(r);
	case PLATFORM_REFUSED:
		set_refused(r, res);
		return 0;
	default:
		r->p->error = res->error;
		return -1;
	}
}

/* Reads the version to make the write conditional on. Returns 0, 1 if the
 * outcome is already known, -1 when the platform gave no answer. */
static int
find_condition(struct publish_state *r)
{
	uint64_t version;
	char *value;
	int i;

	for (i = 0; read_current(r, &version, &value); i++) {
		if (i == TRIES_MAX)
			return -1;
		g_usleep(TRY_PAUSE_US);
	}
	r->condition = version;
	if (has_our_id(r, value)) {
		r->p->version = version;
		r->p->outcome = PUBLISH_ACCEPTED;
		g_free(value);
		return 1;
	}
	g_free(value);
	if (r->p->expect == PUBLISH_ANY || r->p->expect == version)
		return 0;
	if (!r->p->is_retry || r->p->expect > version) {
		r->p->version = version;
		r->p->outcome = PUBLISH_CONFLICT;
		return 1;
	}
	r->condition = r->p->expect;
	return resolve_conflict(r) ? -1 : 1;
}

static void
run_publication(struct publish_state *r)
{
	int i, found = find_condition(r);

	if (found > 0)
		return;
	if (found < 0) {
		r->p->version = r->p->expect;
		r->p->outcome =
		    r->p->is_retry ? PUBLISH_UNDECIDED : PUBLISH_REFUSED;
		kq_error_set(&r->p->error, KQ_LAYER_TOOL, 1,
		    "the platform does not answer; nothing was written");
		return;
	}
	for (i = 0; i < TRIES_MAX; i++) {
		if (!write_once(r))
			return;
		fprintf(stderr,
		    "kumquatrock: no answer from the platform; retrying "
		    "(%d of %d)\n",
		    i + 1, TRIES_MAX);
		g_usleep(TRY_PAUSE_US);
	}
	r->p->version = r->condition;
	r->p->outcome = PUBLISH_UNDECIDED;
}

void
tool_publish(struct tool *t, struct publication *p)
{
	struct publish_state r = { 0 };

	r.p = p;
	r.sync.loop = g_main_loop_new(NULL, FALSE);
	r.platform =
	    platform_new(t->platform.ip, t->platform.port, &store_form_own);
	run_publication(&r);
	platform_free(r.platform);
	while (g_main_context_iteration(NULL, FALSE))
		;
	g_main_loop_unref(r.sync.loop);
}
