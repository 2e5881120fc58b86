#include "core/config/table_impl.h"

#include <inttypes.h>
#include <string.h>

/* How a batch or page counts towards the complete version. */
enum batch_role {
	ROLE_OBJECTS, /* not at all: only its objects are taken */
	ROLE_FIRST, /* first page of a batch, perhaps its only one */
	ROLE_NEXT /* next page of the batch in progress */
};

static int
object_valid(const struct config_object *o)
{
	if (!config_kind_name(o->kind) || o->version == 0 || !o->name[0] ||
	    !memchr(o->name, '\0', sizeof o->name))
		return 0;
	return o->removed ||
	       (o->value && g_bytes_get_size(o->value) <= CONFIG_VALUE_MAX);
}

static int
same_content(const struct config_object *a, const struct config_object *b)
{
	if (a->removed || b->removed)
		return !a->removed == !b->removed;
	return g_bytes_equal(a->value, b->value);
}

/* Whether an object comes from an older copy of the platform's store, although
 * the restored store gives it a later version. */
static int
is_older_copy(const struct config_object *has, const struct config_object *o)
{
	return !has->removed && !o->removed && o->serial &&
	       o->serial < has->serial;
}

static int
has_later_serial(const struct config_object *has, const struct config_object *o)
{
	return !has->removed && !o->removed && has->serial &&
	       o->serial > has->serial;
}

/* Version of a list that shows all objects of its kinds as they are now; 0 for
 * any other batch. */
static uint64_t
current_list_version(const struct config_table *t, const struct config_batch *b)
{
	return b->kinds && b->upto >= t->complete ? b->upto : 0;
}

/* Whether a list of version @listed shows an object that the table takes for
 * removed since a member lacked it. */
static int
disproves_removal(const struct config_object *has,
    const struct config_object *o, uint64_t listed)
{
	return has->removed && !o->removed && has->version <= listed;
}

/* Takes one object if it is newer; @current is the version of a current list
 * that it is in, or 0. Returns 1 if it was, 0 if not, -1 if it differs from the
 * one in the table at the same version. */
static int
apply_object(struct config_table *t, const struct config_object *o,
    uint64_t current)
{
	struct config_entry *n = config_entry_find(t, o->kind, o->name);
	struct config_object later = *o;

	if (n && is_older_copy(&n->object, o)) {
		if (o->version > t->complete)
			config_keep_object(t, n, o->version);
		t->counts.old++;
		return 0;
	}
	if (n && has_later_serial(&n->object, o)) {
		later.version = MAX(o->version, n->object.version);
		config_entry_put(t, &later);
		t->counts.updated++;
		return 1;
	}
	if (n && current && disproves_removal(&n->object, o, current)) {
		config_entry_put(t, o);
		t->counts.updated++;
		return 1;
	}
	if (n && n->object.version == o->version &&
	    !same_content(&n->object, o)) {
		t->counts.conflicts++;
		return -1;
	}
	/* An object at or below the complete version can't be new: if the table
	 * lacks it, it was removed, perhaps between two lists without its
	 * tombstone being received. A current list shows that it was not. */
	if ((o->version <= t->complete && !current) ||
	    (n && o->version <= n->object.version)) {
		t->counts.old++;
		return 0;
	}
	config_entry_put(t, o);
	t->counts.updated++;
	return 1;
}

/* Records that the list or page names the object. Does nothing if the table has
 * a newer version: an older tombstone in a list does not say whether the list
 * has that version. */
static void
mark_listed(struct config_table *t, const struct config_object *o,
    uint32_t kinds)
{
	struct config_entry *n = config_entry_find(t, o->kind, o->name);

	if (!n || o->version < n->object.version)
		return;
	if (kinds)
		n->listed_in = t->list_number;
	else
		n->paged_in = t->batch_number;
}

static enum batch_role
classify_batch(const struct config_table *t, const struct config_batch *b)
{
	const struct config_transfer *c = &t->transfer;

	if (b->batch_id != 0)
		return c->active && c->source == b->source &&
			       c->batch_id == b->batch_id &&
			       c->cursor == b->after
			   ? ROLE_NEXT
			   : ROLE_OBJECTS;
	if (b->complete <= t->complete)
		return ROLE_OBJECTS;
	if (b->full)
		return b->after == 0 ? ROLE_FIRST : ROLE_OBJECTS;
	return b->after <= t->complete ? ROLE_FIRST : ROLE_OBJECTS;
}

static void
finish_transfer(struct config_table *t)
{
	struct config_transfer *c = &t->transfer;

	c->active = 0;
	if (c->full) {
		config_remove_unlisted(t, c->complete, 0);
		t->removals_after = MAX(t->removals_after, c->complete);
	}
	t->complete = MAX(t->complete, c->complete);
}

static void
advance_transfer(struct config_table *t, const struct config_batch *b,
    enum batch_role role)
{
	struct config_transfer *c = &t->transfer;

	if (role == ROLE_OBJECTS)
		return;
	if (role == ROLE_FIRST) {
		c->complete = b->complete;
		c->batch_id = c->batch_id == UINT32_MAX ? 1 : c->batch_id + 1;
	}
	c->active = 1;
	c->source = b->source;
	c->full = !!b->full;
	c->cursor = b->upto;
	if (!b->more)
		finish_transfer(t);
}

/* Whether the platform's version counter is lower than it was before. */
static int
platform_went_back(const struct config_table *t, const struct config_batch *b)
{
	if (b->source != CONFIG_SOURCE_PLATFORM || b->complete >= t->complete)
		return 0;
	return b->complete > 0 && (b->full || b->after >= t->complete);
}

static enum config_outcome
batch_outcome(struct config_table *t, const struct config_batch *b,
    enum batch_role role, int updated, struct kq_error *e)
{
	if (role != ROLE_OBJECTS)
		return CONFIG_APPLIED;
	if (b->complete > t->complete && b->after > t->complete) {
		t->counts.gaps++;
		kq_error_set(e, KQ_LAYER_CORE, CONFIG_GAP,
		    "batch begins after version %" PRIu64
		    ", but the table is complete only up to %" PRIu64,
		    b->after, t->complete);
		return CONFIG_GAP;
	}
	return updated > 0 ? CONFIG_GAP : CONFIG_OLD;
}

/* A list that brings something, @updated, shows that changes were missed. If
 * there were several, one of them may be the removal of an object that this
 * table never had and that a member still has. */
static void
finish_list(struct config_table *t, const struct config_batch *b, int updated)
{
	uint64_t before = t->counts.updated;

	if (b->hold)
		config_keep_unlisted(t, b->upto, b->kinds);
	else
		config_remove_unlisted(t, b->upto, b->kinds);
	if (!t->complete || (b->upto > t->complete + 1 &&
				(updated || t->counts.updated != before)))
		t->removals_after = MAX(t->removals_after, b->upto);
}

/* Takes objects of no known version for names that the table has not. */
static enum config_outcome
apply_stale_objects(struct config_table *t, const struct config_batch *b)
{
	struct config_object o;
	int i, updated = 0;

	for (i = 0; i < b->nobject && !t->complete; i++) {
		o = b->object[i];
		if (o.invalid || o.removed || !object_valid(&o) ||
		    config_entry_find(t, o.kind, o.name))
			continue;
		o.version = 0;
		config_entry_put(t, &o);
		t->counts.updated++;
		updated++;
	}
	return updated ? CONFIG_GAP : CONFIG_OLD;
}

enum config_outcome
config_apply_batch(struct config_table *t, const struct config_batch *b,
    struct kq_error *e)
{
	enum batch_role role;
	int i, updated = 0, conflict = 0;
	uint64_t current = current_list_version(t, b);

	if (b->stale)
		return apply_stale_objects(t, b);
	if (platform_went_back(t, b)) {
		t->counts.went_back++;
		kq_error_set(e, KQ_LAYER_CORE, CONFIG_WENT_BACK,
		    "platform is at version %" PRIu64
		    ", lower than version %" PRIu64 " in force",
		    b->complete, t->complete);
		return CONFIG_WENT_BACK;
	}
	role = b->kinds ? ROLE_OBJECTS : classify_batch(t, b);
	t->batch_number += role == ROLE_FIRST;
	t->list_number += b->kinds != 0;
	for (i = 0; i < b->nobject; i++) {
		const struct config_object *o = &b->object[i];
		int r;

		if (o->invalid || !object_valid(o)) {
			t->counts.invalid++;
			if (o->invalid && (role != ROLE_OBJECTS || b->kinds))
				mark_listed(t, o, b->kinds);
			continue;
		}
		r = apply_object(t, o, current);
		updated += r > 0;
		if (r < 0 && !conflict) {
			conflict = 1;
			kq_error_set(e, KQ_LAYER_CORE, CONFIG_CONFLICT,
			    "%s %s has other content at the same version"
			    " %" PRIu64,
			    config_kind_name(o->kind), o->name, o->version);
		}
		if (role != ROLE_OBJECTS || b->kinds)
			mark_listed(t, o, b->kinds);
	}
	if (b->kinds)
		finish_list(t, b, updated);
	advance_transfer(t, b, role);
	config_trim_tombstones(t);
	return conflict ? CONFIG_CONFLICT
			: batch_outcome(t, b, role, updated, e);
}
