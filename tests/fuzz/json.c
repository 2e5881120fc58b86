#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "json.h"
#include "objects.h"
#include "settings.h"

/*
 * Gives the input to the readers of service files, data centre and instance
 * objects and settings. A service that is read must be the same when it is
 * written, read and written again. Every error must have a line, a column and a
 * text.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

static void
check_error(const struct kq_error *e)
{
	if (e->code == 0 || e->line < 1 || e->column < 1 || !e->text[0])
		abort();
}

static void
check_service(const char *text, size_t n)
{
	struct service a, b;
	struct kq_error e = { 0 };
	GString *out, *again;

	if (service_read(&a, text, n, &e) == -1) {
		check_error(&e);
		return;
	}
	out = g_string_new(NULL);
	service_write(out, &a);
	again = g_string_new(NULL);
	if (service_read(&b, out->str, out->len, &e) == -1)
		abort();
	service_write(again, &b);
	if (!g_string_equal(out, again))
		abort();
	g_string_free(again, TRUE);
	g_string_free(out, TRUE);
}

static void
check_objects(const char *text, size_t n)
{
	struct datacentre d;
	struct instance i;
	struct kq_error e = { 0 };

	if (datacentre_read(&d, text, n, &e) == -1)
		check_error(&e);
	memset(&e, 0, sizeof e);
	if (instance_read(&i, text, n, &e) == -1)
		check_error(&e);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
	const char *text = (const char *)data;
	struct settings s;
	struct kq_error e = { 0 };

	check_service(text, n);
	check_objects(text, n);
	/* Settings that name a key file would open it, and the fuzzer must not
	 * choose files. With \u escapes the name can be written otherwise. */
	if (!memmem(data, n, "key_file", strlen("key_file")) &&
	    !memmem(data, n, "\\u", 2) && settings_read(&s, text, n, &e) == -1)
		check_error(&e);
	return 0;
}
