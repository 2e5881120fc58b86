#ifndef KQ_CONFIG_H
#define KQ_CONFIG_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Table of all configuration objects in force.
 *
 * The platform has a single version counter, which orders all changes of all
 * objects. The table replaces an object only by one of a higher version, and
 * keeps the version up to which it is complete; neither ever goes back. A
 * removed object stays as a tombstone with the version of its removal. Values
 * are text that the table does not interpret.
 *
 * Objects of a list that may be stale are of no known version: the platform may
 * name its present version beside objects of some time ago. An empty table
 * holds them at version 0, below every other, until it gets the objects of a
 * version. They are not passed on.
 *
 * A platform that comes back from an older copy gives revisions out again, in a
 * new era (store_form.h). Versions here hold the era above the revision, so
 * that all of a later era are newer than all of an earlier one.
 *
 * The complete version is raised by a batch that covers every change after
 * version A up to version B, where A is not above the complete version. A
 * batch may be split into pages. An object that changes between two pages gets
 * a higher version and moves to a later place in the order. Therefore all pages
 * of a batch must come from one source, and each must be asked for after the
 * one before it has arrived. The last page raises the complete version to the
 * one that the source had at the first page.
 */

#define CONFIG_NAME_MAX 256 /* bytes with the final NUL */
#define CONFIG_VALUE_MAX 1048576 /* bytes */
#define CONFIG_PAGE_OBJECTS 512 /* most in a page; a message holds no more */
#define CONFIG_TOMBSTONES_MAX 4096 /* with more, the oldest are removed */
#define CONFIG_SOURCE_PLATFORM 0 /* source of batches from the platform */

#define CONFIG_REVISION_BITS 44 /* of a version, below the era */

/** config_version() - version of a revision of the platform in one of its eras;
 * the revision itself in era 0 */
uint64_t config_version(uint64_t era, uint64_t revision);
uint64_t config_version_era(uint64_t version);
/** config_version_revision() - revision that the platform knows the version by
 */
uint64_t config_version_revision(uint64_t version);

/** enum config_kind - kinds of objects */
enum config_kind {
	CONFIG_SERVICE,
	CONFIG_DATACENTRE,
	CONFIG_INSTANCE,
	CONFIG_ROUTING,
	/* where a daemon can be reached, whichever runs there; outlives the
	 * daemon that wrote it */
	CONFIG_ADDRESS,
	CONFIG_ROLLOUT /* an order and its status, see rollout_object.h */
};
#define CONFIG_KINDS 6

/** config_kind_name() - get the name of a kind in the platform's paths, or NULL
 */
const char *config_kind_name(int kind);
/** config_kind_of() - get the kind of a name, or -1 */
int config_kind_of(const char *name);

/**
 * struct config_object - one object at one version
 * @removed: nonzero for a tombstone
 * @invalid: nonzero for a version that can't be used: the table keeps what it
 *	has of the object; always 0 in a table
 * @version: of the last change, or of the removal
 * @serial: raised by the writer of the object with each change, 0 when not
 * known; an older copy of the object has a lower one whatever its version
 * @value: text, NULL when removed; owned by the table, the snapshot or the
 *         caller that filled it in
 * @unpacked_size: size of the text if @value is compressed, as between daemons,
 *         else 0; always 0 in a table
 */
struct config_object {
	int kind; /* enum config_kind */
	int removed;
	int invalid;
	uint32_t unpacked_size;
	uint64_t version;
	uint64_t serial;
	char name[CONFIG_NAME_MAX];
	GBytes *value;
};

/**
 * struct config_pull - pull of a page of a batch from a source
 * @after: version that the page begins after
 * @full: nonzero for a later page of a full list
 * @batch_id: id of the batch for its later pages, 0 for the first
 */
struct config_pull {
	uint64_t after;
	int full;
	uint32_t batch_id;
};

/**
 * struct config_batch - objects in order of version, from one source
 * @source: CONFIG_SOURCE_PLATFORM or the incarnation of a daemon
 * @after: version that the batch or page begins after
 * @upto: version of the page's last object, or @complete on the last page if
 *        that is higher
 * @complete: version up to which the source is complete; 0 for single
 *            objects that are not part of a batch
 * @more: nonzero if more pages follow, to be asked for with after = @upto
 * @full: nonzero for a list of all objects from the beginning; objects that it
 *        lacks are removed
 * @kinds: bits of kinds (1 << kind), nonzero for a list of all objects of only
 *         these kinds as of @upto: objects of these kinds that it lacks are
 *         removed, and the complete version stays
 * @hold: nonzero for such a list of a store that came back from an older copy:
 *        objects that it lacks may have been written since the copy was made
 * and are kept
 * @stale: nonzero for objects that may be older than the versions of the batch;
 *	only a table that is complete to no version takes them
 * @seen: highest version of any entry of the answer of a platform, also of
 *those that are not among the objects
 * @left_out: number of these
 * @batch_id: as in the pull, 0 on a first page
 */
struct config_batch {
	uint64_t source;
	uint64_t after;
	uint64_t upto;
	uint64_t complete;
	int more;
	int full;
	uint32_t kinds;
	int hold;
	int stale;
	uint64_t seen;
	int left_out;
	uint32_t batch_id;
	int nobject;
	struct config_object *object;
};

/** enum config_outcome - what config_apply_batch() did with a batch or page */
enum config_outcome {
	CONFIG_APPLIED, /* raised the complete version, or took a page */
	CONFIG_OLD, /* found nothing new */
	CONFIG_GAP, /* took objects, but the complete version stays: the
		       batch begins after it, or these are single objects */
	CONFIG_WENT_BACK, /* rejected it: the platform's version is below the
			     complete version */
	CONFIG_CONFLICT /* rejected an object: its content differs from that
			   in the table at the same version */
};

/**
 * struct config_counts - totals since the table was made
 * @updated: objects that were added, replaced or removed
 * @old: objects ignored because they were not newer
 * @gaps: batches that begin after the complete version, so could not raise it
 * @went_back: batches rejected because the platform's version was lower
 * @conflicts: objects that differed from the table at the same version
 * @invalid: objects with an invalid kind, version, name or value
 */
struct config_counts {
	uint64_t updated;
	uint64_t old;
	uint64_t gaps;
	uint64_t went_back;
	uint64_t conflicts;
	uint64_t invalid;
};

/** config_changed_fn - called for each object that was added, replaced or
 * removed; must not call into the table */
typedef void config_changed_fn(void *ctx, const struct config_object *);

struct config_table;

/** config_new() - create an empty table; the function may be NULL */
struct config_table *config_new(config_changed_fn *, void *ctx);
void config_free(struct config_table *);

/** config_apply_batch() - take the newer objects of a batch or page. Fills in
 * the error with CONFIG_WENT_BACK, with CONFIG_CONFLICT, and with CONFIG_GAP if
 * the batch begins after the complete version. */
enum config_outcome config_apply_batch(struct config_table *,
    const struct config_batch *, struct kq_error *);
/** config_complete_version() - get the version up to which no change is
 * missing; datagrams and calls to peers carry it as config_version */
uint64_t config_complete_version(const struct config_table *);
/** config_highest_version() - get the highest version of any object in the
 * table */
uint64_t config_highest_version(const struct config_table *);
/** config_digest() - get a digest of the kinds, names and values in force, to
 * compare with that of another table complete to the same version; 0 unless the
 * table holds exactly what that version names: it is complete to none, or holds
 * newer objects, too */
uint64_t config_digest(const struct config_table *);
/** config_next_pull() - fill in the next pull from a source */
void config_next_pull(const struct config_table *, uint64_t source,
    struct config_pull *);
/** config_find() - find an object in force or its tombstone, or NULL; valid
 * until the next config_apply_batch() */
const struct config_object *
config_find(const struct config_table *, int kind, const char *name);
void config_counts(const struct config_table *, struct config_counts *);

/**
 * config_read_page() - fill in a page with the objects after a version
 * @source: incarnation of this daemon
 * @pull: what was asked for; if it begins after a version so old that removals
 *        since then may be missing here, or after none, the page is the first
 * of a full list
 * @bytes: limit on the size of versions, names and values; the page always has
 *         all objects of at least one version
 *
 * Objects of one version are never split between pages. Free the page with
 * config_batch_clear().
 */
void config_read_page(const struct config_table *, uint64_t source,
    const struct config_pull *pull, size_t bytes, struct config_batch *);
void config_batch_clear(struct config_batch *);

/** struct config_snapshot - immutable copy of a table without tombstones, in
 * order of kind and name; may be passed to another thread */
struct config_snapshot {
	uint64_t complete;
	int nobject;
	struct config_object *object;
};

struct config_snapshot *config_snapshot_new(const struct config_table *);
void config_snapshot_free(struct config_snapshot *);
/** config_snapshot_find() - find an object by kind and name, or NULL */
const struct config_object *config_snapshot_find(const struct config_snapshot *,
    int kind, const char *name);

#endif
