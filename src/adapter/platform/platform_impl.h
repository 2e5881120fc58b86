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

#endif
