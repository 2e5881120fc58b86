#ifndef KQ_CONFIG_TABLE_IMPL_H
#define KQ_CONFIG_TABLE_IMPL_H

#include "config.h"

/**
 * struct config_entry - object in the table
 * @position: of the entry in the table's @by_version
 * @listed_in: the table's @list_number when a list of some kinds last named the
 *             object; 0 if none did since it changed
 * @paged_in: the same of @batch_number and the pages of a batch
 * @digest: of the object, 0 for a tombstone
 */
struct config_entry {
	struct config_object object;
	GSequenceIter *position;
	uint64_t listed_in;
	uint64_t paged_in;
	uint64_t digest;
};

/**
 * struct config_transfer - the last batch of which a page was taken
 * @active: nonzero while more pages are to come
 * @full: nonzero if the batch is a list of all objects
 * @batch_id: id that names the batch in pulls of its later pages, from 1
 * @source: where the pages come from
 * @cursor: version that the next page begins after
 * @complete: complete version of the source at the first page
 */
struct config_transfer {
	int active;
	int full;
	uint32_t batch_id;
	uint64_t source;
	uint64_t cursor;
	uint64_t complete;
};

/**
 * struct config_table - all objects and tombstones
 * @by_name: hash table from the object's kind and name to its entry
 * @by_version: entries in order of config_entry_compare(); owns them
 * @complete: version up to which no change is missing
 * @removals_after: tombstones of removals up to this version may be missing
 * @list_number: number of the last list of only some kinds
 * @batch_number: number of the last batch of which a page was taken; lists may
 *                come between its pages
 * @ntombstone: tombstones in the table
 * @digest: sum of the digests of all objects
 */
struct config_table {
	GHashTable *by_name;
	GSequence *by_version;
	uint64_t complete;
	uint64_t removals_after;
	uint64_t list_number;
	uint64_t batch_number;
	int ntombstone;
	uint64_t digest;
	struct config_transfer transfer;
	struct config_counts counts;
	config_changed_fn *changed;
	void *ctx;
};

/** config_entry_compare() - compare two entries by version, kind and name */
gint config_entry_compare(gconstpointer p, gconstpointer q, gpointer unused);
/** config_entry_find() - find the entry of an object or its tombstone, or NULL
 */
struct config_entry *
config_entry_find(const struct config_table *, int kind, const char *name);
/** config_entry_put() - add an object, or replace the one with its kind and
 * name */
void config_entry_put(struct config_table *, const struct config_object *);
/** config_object_digest() - digest of kind, name and value; 0 for a tombstone
 */
uint64_t config_object_digest(const struct config_object *);
/** config_trim_tombstones() - remove the oldest tombstones if there are more
 * than CONFIG_TOMBSTONES_MAX */
void config_trim_tombstones(struct config_table *);
/** config_keep_object() - raise the version of an object that stays as it is */
void config_keep_object(struct config_table *, struct config_entry *,
    uint64_t version);
/** config_remove_unlisted() - replace by tombstones at @version all objects
 * below that version that were not named: of the kinds whose bit is set, by the
 * last list; of all kinds, by the last batch, if @kinds is 0 */
void
config_remove_unlisted(struct config_table *, uint64_t version, uint32_t kinds);
/** config_keep_unlisted() - raise the versions of the same objects to @version
 * instead */
void
config_keep_unlisted(struct config_table *, uint64_t version, uint32_t kinds);

#endif
