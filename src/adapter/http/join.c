#include <string.h>

#include "in.h"

void
in_pass_joined(struct http_in *in)
{
	char *joined = in->joined;
	size_t n = in->joined_len;

	if (!joined)
		return;
	in->joined = NULL;
	in->joined_len = 0;
	in->ops->body(in->ctx, joined, n);
	g_free(joined);
}

void
in_join_body(struct http_in *in, const char *p, size_t n)
{
	if (in->joined_len + n > HTTP_JOIN_BYTES)
		in_pass_joined(in);
	if (n >= HTTP_JOIN_BYTES) {
		in->ops->body(in->ctx, p, n);
		return;
	}
	if (!in->joined)
		in->joined = g_malloc(HTTP_JOIN_BYTES);
	memcpy(in->joined + in->joined_len, p, n);
	in->joined_len += n;
}
