#ifndef KQ_PLATFORM_IMPL_H
#define KQ_PLATFORM_IMPL_H

#include <libsoup/soup.h>

#include "platform.h"

struct platform {
	SoupSession *session;
	GCancellable *cancel;
	char base[64];
	int refs; /* the owner and each request in flight */
};

/** platform_read_batch() - read a list or the events of a watch; NULL with the
 * error */
struct config_batch *platform_read_batch(const char *text, size_t n,
    uint64_t after, int full, struct kq_error *);
void platform_unref(struct platform *);

#endif
