#ifndef KQ_STORE_FORM_H
#define KQ_STORE_FORM_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "error.h"
#include "rollout_object.h"

/**
 * DOC: Formats of the platform's object API: paths, conditions and bodies.
 *
 * The client in src/adapter/platform sends requests and applies timeouts; a
 * form writes the requests and parses the answers. Objects are listed and
 * watched by feeds; a feed holds objects of one or several kinds.
 */

#define STORE_FEEDS_MAX 4

/** struct store_request - a request to be sent
 * @path: of the URL, to be freed with g_free()
 * @condition_name: header field that makes a write conditional, or NULL
 * @condition_value: value of that field */
struct store_request {
	const char *method;
	char *path;
	const char *condition_name;
	char condition_value[32];
	GString *body;
};

/** struct store_page - answer to a list or a watch
 * @batch: objects that it brought
 * @after: name of the object after which the list continues, NULL if this is
 *	its last page; to be freed with g_free()
 * @invalid: entries that could not be used; they are in the batch as invalid
 *	objects if their name and version could be read
 * @invalid_version: highest version of these, 0 if none could be read */
struct store_page {
	struct config_batch *batch;
	char *after;
	int invalid;
	uint64_t invalid_version;
};

/**
 * struct store_form - formats of one object API
 * @nfeed: number of feeds
 * @kinds: kinds of each feed, bits 1 << enum config_kind; 0 for all kinds
 * @watched: nonzero for a feed that is watched; others are only listed
 * @conflict_status: HTTP status of a write whose condition does not hold
 * @era_field: field of each answer with the era of the platform's store, which
 *	rises by one whenever the store comes back from an older copy and gives
 *	revisions out again; NULL if there is none
 * @write_list: writes a request for the next page of a feed, after the object
 *	named @after, or for the first page if that is NULL; @stale allows an
 *	answer that is seconds old
 * @write_watch: writes a request for the changes of a feed after version @from;
 *	the answer may come up to @wait_ms later
 * @write_get: writes a request for one object
 * @write_put: writes a request to store an object that is at @version; 0 stores
 *	it only if it is absent
 * @write_remove: writes a request to remove an object that is at @version
 * @write_status: writes a request to set the status of a CONFIG_ROLLOUT object
 *	that is at @version
 * @read_page: parses a list or the events of a watch; 0 or -1
 * @read_object_answer: parses an answer with one object. Returns its version, 0
 *	when it can't be parsed, and stores its value in @value unless that is
 *	NULL; the value is to be freed with g_free()
 */
struct store_form {
	int nfeed;
	uint32_t kinds[STORE_FEEDS_MAX];
	int watched[STORE_FEEDS_MAX];
	int conflict_status;
	const char *era_field;
	void (*write_list)(struct store_request *, int feed, const char *after,
	    int stale);
	void (*write_watch)(struct store_request *, int feed, uint64_t from,
	    int wait_ms);
	void (*write_get)(struct store_request *, int kind, const char *name);
	void (*write_put)(struct store_request *, int kind, const char *name,
	    const char *value, uint64_t version);
	void (*write_remove)(struct store_request *, int kind, const char *name,
	    uint64_t version);
	void (*write_status)(struct store_request *, const char *name,
	    const struct rollout_object *, uint64_t version);
	int (*read_page)(struct store_page *, int feed, int is_list,
	    const char *text, size_t n, struct kq_error *);
	uint64_t (*read_object_answer)(const char *etag, int kind,
	    const char *text, size_t n, char **value);
};

extern const struct store_form store_form_own;

/** store_form_watches() - whether a feed is listed and watched
 * @rollouts: nonzero where roll-outs are followed; without it, that feed is
 *	neither listed nor watched */
int store_form_watches(const struct store_form *, int feed, int rollouts);

#endif
