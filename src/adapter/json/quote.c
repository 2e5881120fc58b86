#include "adapter/json/json_impl.h"

#include <string.h>
#include <yajl/yajl_gen.h>

void
json_append_string(GString *out, const char *text)
{
	yajl_gen g = yajl_gen_alloc(NULL);
	const unsigned char *buf;
	size_t n;

	yajl_gen_string(g, (const unsigned char *)text, strlen(text));
	yajl_gen_get_buf(g, &buf, &n);
	g_string_append_len(out, (const char *)buf, (gssize)n);
	yajl_gen_free(g);
}
