#ifndef KQ_PLATFORM_IMPL_H
#define KQ_PLATFORM_IMPL_H

#include <libsoup/soup.h>

#include "platform.h"

struct platform {
	SoupSession *session;
	GCancellable *cancel; /* cancels all requests */
	const struct store_form *form;
	char base[64]; /* URL without the path */
	int refs; /* the owner and each request in flight */
};

enum request_kind { REQUEST_WRITE, REQUEST_GET, REQUEST_LIST, REQUEST_WATCH };

struct request {
	struct platform *platform;
	SoupMessage *msg;
	enum request_kind kind;
	int object_kind;
	int feed;
	int stale;
	uint64_t from;
	uint64_t era; /* of the store that answered */
	struct config_batch *batch; /* pages of a list so far */
	int invalid; /* entries of the pages so far that can't be used */
	uint64_t invalid_version; /* highest version of these */
	struct kq_error error; /* of the first of these */
	platform_fn *fn;
	void *ctx;
	GSource *timeout;
	GCancellable *cancel; /* of this request */
	gulong cancel_handler; /* passes on a cancel of the platform's */
};

/** platform_answer_era() - era of the store that sent an answer, 0 if it names
 * none */
uint64_t platform_answer_era(const struct store_form *, SoupMessage *);
/** platform_fails_by_era() - whether the store came back from a copy while a
 * request went on: the history of a watch's revision is gone then, even if the
 * store has given the revision out again, and pages of a list do not fit
 * together. Sets status and error then. */
int platform_fails_by_era(const struct request *, struct platform_result *);
/** platform_stamp_batch() - set the era in the versions that a page brought */
void platform_stamp_batch(struct config_batch *, uint64_t era);
/** platform_revision() - revision of a version in a request; without eras,
 * versions are revisions */
uint64_t platform_revision(const struct platform *, uint64_t version);
/** platform_object_version() - version of an object in an answer, 0 for none */
uint64_t platform_object_version(uint64_t era, uint64_t revision);

#endif
