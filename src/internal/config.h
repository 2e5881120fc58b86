#ifndef KQ_CONFIG_H
#define KQ_CONFIG_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Table of every object in force.
 *
 * The platform's single version counter orders all changes of all objects.
 * The table takes an object only at a higher version than it holds, and knows
 * the version up to which it is complete; neither ever goes back. A removed
 * object stays as a tombstone with the version of its removal. Values are
 * text that the table does not look into.
 *
 * What moves the complete version is a batch that says "everything after A
 * up to B" with A not above it. A batch may be cut into pages. Since an object
 * that changes meanwhile moves behind the cursor of its old version, the
 * pages of one batch must come from one source, each asked for after the one
 * before it arrived, and the complete version moves with the last page, to
 * what the source held complete at the first.
 */

#define CONFIG_NAME_MAX 64 /* bytes with the final NUL */
#define CONFIG_VALUE_MAX 1048576 /* bytes */
#define CONFIG_PAGE_OBJECTS 512 /* of one page; a message takes no more */
#define CONFIG_TOMBSTONES_MAX 4096 /* older ones are dropped */
#define CONFIG_SOURCE_PLATFORM 0 /* source of batches from the platform */

enum config_kind {
	CONFIG_SERVICE,
	CONFIG_DATACENTRE,
	CONFIG_INSTANCE,
	CONFIG_ROUTING,
	CONFIG_ADDRESS /* where a daemon can be reached, whichever runs there */
};
#define CONFIG_KINDS 5

/** config_kind_name() - name in the platform's paths, or NULL;
 * config_kind_of() - kind of a name, or -1 */
const char *config_kind_name(int kind);
int config_kind_of(const char *name);

/**
 * struct config_object - one object at one version
 * @value: text, NULL when removed; it belongs to the table, the snapshot or
 *         the caller that filled it in
 */
struct config_object {
	int kind; /* enum config_kind */
	int removed;
	uint64_t version;
	char name[CONFIG_NAME_MAX];
	GBytes *value;
};

/**
 * struct config_pull - what to ask a source for
 * @after: version to go on after
 * @full: nonzero on a later page of a full list
 * @number: names the batch on its later pages, 0 on the first
 */
struct config_pull {
	uint64_t after;
	int full;
	uint32_t number;
};

/**
 * struct config_batch - objects in order of version, from one source
 * @source: CONFIG_SOURCE_PLATFORM or the incarnation of a daemon
 * @after: version the batch or page begins after
 * @upto: version of the page's last object, or @complete on the last page if
 *        that is higher
 * @complete: version up to which the source is complete; 0 for single
 *            objects that are not part of a batch
 * @more: more pages follow, to be asked for with after = @upto
 * @full: list of all objects from the beginning; what it lacks is removed
 * @kinds: bits of kinds (1 << kind), nonzero for a list of all objects of these
 *        kinds alone as of @upto: what it lacks of them is removed, and the
 *        complete version stays
 * @number: as asked for, 0 on a first page
 */
struct config_batch {
	uint64_t source;
	uint64_t after;
	uint64_t upto;
	uint64_t complete;
	int more;
	int full;
	uint32_t kinds;
	uint32_t number;
	int nobject;
	struct config_object *object;
};

enum config_outcome {
	CONFIG_APPLIED, /* complete version moved, or a page was taken */
	CONFIG_OLD, /* nothing new in it */
	CONFIG_GAP, /* objects taken, but the complete version stays: the
		       batch begins after it, or is not one */
	CONFIG_WENT_BACK, /* platform's version is below ours: refused */
	CONFIG_CONFLICT /* an object differs at the version we hold: refused */
};

/** struct config_counts - totals since the table was made */
struct config_counts {
	uint64_t taken; /* objects that became newer */
	uint64_t old; /* objects refused as not newer */
	uint64_t gaps; /* batches that could not move the version */
	uint64_t went_back; /* batches refused with a lower platform version */
	uint64_t conflicts; /* objects that differed at an equal version */
	uint64_t bad; /* objects with a bad kind, name or value */
};

/** config_changed_fn - one object became newer; it may not call the table */
typedef void config_changed_fn(void *ctx, const struct config_object *);

struct config_table;

struct config_table *config_new(config_changed_fn *, void *ctx);
void config_free(struct config_table *);

/** config_apply() - take what is newer in a batch or page; outcomes other than
 * CONFIG_APPLIED fill in the error if they refuse or lack something */
enum config_outcome config_apply(struct config_table *,
    const struct config_batch *, struct kq_error *);
/** config_complete() - version up to which nothing is missing; the digest that
 * rides on peers' messages and requests */
uint64_t config_complete(const struct config_table *);
/** config_highest() - highest version of any object held */
uint64_t config_highest(const struct config_table *);
/** config_next() - what to ask a source for next */
void
config_next(const struct config_table *, uint64_t source, struct config_pull *);
/** config_find() - object in force or its tombstone, or NULL; lasts until the
 * next config_apply() */
const struct config_object *
config_find(const struct config_table *, int kind, const char *name);
void config_counts(const struct config_table *, struct config_counts *);

/**
 * config_changes() - page of what comes after a version
 * @source: our own incarnation
 * @pull: what was asked for; one below the oldest version whose removals are
 *        all known is answered with the first page of a full list
 * @bytes: bound on the names and values of the page; at least one version is
 *         always in it
 *
 * Objects of one version are never parted. Free with config_batch_clear().
 */
void config_changes(const struct config_table *, uint64_t source,
    const struct config_pull *pull, size_t bytes, struct config_batch *);
void config_batch_clear(struct config_batch *);

/** struct config_snapshot - immutable copy, in order of kind and name, without
 * tombstones; may pass to another thread */
struct config_snapshot {
	uint64_t complete;
	int nobject;
	struct config_object *object;
};

struct config_snapshot *config_snapshot_new(const struct config_table *);
void config_snapshot_free(struct config_snapshot *);
/** config_snapshot_find() - object by kind and name, or NULL */
const struct config_object *config_snapshot_find(const struct config_snapshot *,
    int kind, const char *name);

#endif
