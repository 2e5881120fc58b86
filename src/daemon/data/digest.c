#include <sodium.h>
#include <string.h>

#include "daemon/data/impl.h"

/* Adds a text with its NUL, which ends it: "ab" and "c" differ from "a" and
 * "bc". */
static void
add_text(crypto_generichash_state *s, const char *text)
{
	const char *t = text ? text : "";

	crypto_generichash_update(s, (const unsigned char *)t, strlen(t) + 1);
}

static uint64_t
finish(crypto_generichash_state *s)
{
	unsigned char hash[crypto_generichash_BYTES_MIN];
	uint64_t v;

	crypto_generichash_final(s, hash, sizeof hash);
	memcpy(&v, hash, sizeof v);
	return GUINT64_FROM_LE(v);
}

uint64_t
data_text_digest(const char *text)
{
	crypto_generichash_state s;

	crypto_generichash_init(&s, NULL, 0, crypto_generichash_BYTES_MIN);
	add_text(&s, text);
	return finish(&s);
}

uint64_t
data_request_digest(const struct data *d, const struct head_copy *h,
    const void *body, size_t n)
{
	const char *field = d->dialect->organisation_field;
	const char *organisation = field ? head_copy_find(h, field) : NULL;
	crypto_generichash_state s;

	crypto_generichash_init(&s, NULL, 0, crypto_generichash_BYTES_MIN);
	add_text(&s, h->method);
	add_text(&s, h->path);
	add_text(&s, head_copy_find(h, "Host"));
	add_text(&s, head_copy_find(h, "Authorization"));
	if (organisation)
		add_text(&s, organisation);
	crypto_generichash_update(&s, body, n);
	return finish(&s);
}
