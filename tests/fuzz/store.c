#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "dialect.h"
#include "platform/platform.h"
#include "routing.h"

/*
 * Gives the input to the readers of what other writers store or send: lists and
 * events of each feed in both forms of the store, the routing that results, and
 * reports of targets. Objects of a batch have a name, a version and a value
 * that can be read again, unless they are removed or invalid.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

static void
check_object(const struct config_object *o)
{
	struct kq_error e = { 0 };
	struct routing *r;
	gsize n;
	const char *v;

	if (o->invalid || o->removed)
		return;
	if (!o->name[0] || !o->version || !o->value)
		abort();
	if (o->kind != CONFIG_ROUTING)
		return;
	v = g_bytes_get_data(o->value, &n);
	r = routing_read(v, n, &e);
	if (r && !r->ninvalid != !e.code)
		abort();
	if (r)
		routing_find(r, "h.example", "/p/1");
	routing_unref(r);
}

static void
read_page(const struct store_form *f, int feed, int is_list, const char *text,
    size_t n)
{
	struct config_batch b = { 0 };
	struct store_page p = { .batch = &b };
	struct kq_error e = { 0 };
	int i, bad = f->read_page(&p, feed, is_list, text, n, &e);

	if ((bad || p.invalid) && !e.code)
		abort();
	for (i = 0; !bad && f == &platform_store_form && i < b.nobject; i++)
		check_object(&b.object[i]);
	g_free(p.after);
	config_batch_clear(&b);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	const char *text = (const char *)data;
	struct kq_error e = { 0 };
	struct heartbeat h;
	int feed;

	for (feed = 0; feed < platform_store_form.nfeed; feed++) {
		read_page(&platform_store_form, feed, 1, text, n);
		read_page(&platform_store_form, feed, 0, text, n);
	}
	read_page(&store_form_own, 0, 1, text, n);
	read_page(&store_form_own, 0, 0, text, n);
	if (dialect_platform.read_report(&h, "call=instances.heartbeat&of=i-7",
		text, n, &e) == TARGET_REPORT_NONE &&
	    !e.code)
		abort();
	return 0;
}
