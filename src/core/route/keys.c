#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "routing.h"

#define DIGEST_BYTES crypto_generichash_BYTES_MIN
#define KEYS_FIRST 16 /* places allocated at first */

/* A key's digest; @organisation is ORGANISATION_NONE if two have the key. */
struct key {
	unsigned char digest[DIGEST_BYTES];
	int organisation;
};

struct routing_keys {
	unsigned char secret[ROUTING_SECRET_BYTES];
	int n;
	int room;
	struct key *key;
};

struct routing_keys *
routing_keys_new(const unsigned char secret[ROUTING_SECRET_BYTES])
{
	struct routing_keys *k = g_new0(struct routing_keys, 1);

	memcpy(k->secret, secret, sizeof k->secret);
	return k;
}

void
routing_keys_free(struct routing_keys *k)
{
	if (!k)
		return;
	g_free(k->key);
	g_free(k);
}

static void
digest_of(const struct routing_keys *k, const char *text,
    unsigned char digest[DIGEST_BYTES])
{
	crypto_generichash(digest, DIGEST_BYTES, (const unsigned char *)text,
	    strlen(text), k->secret, sizeof k->secret);
}

void
routing_keys_add(struct routing_keys *k, const char *key, int organisation)
{
	if (k->n == k->room) {
		k->room = k->room ? 2 * k->room : KEYS_FIRST;
		k->key = g_renew(struct key, k->key, k->room);
	}
	digest_of(k, key, k->key[k->n].digest);
	k->key[k->n++].organisation = organisation;
}

static int
compare_keys(const void *p, const void *q)
{
	const struct key *a = p, *b = q;

	return memcmp(a->digest, b->digest, DIGEST_BYTES);
}

int
routing_keys_sort(struct routing_keys *k)
{
	int i, kept = 0, conflicts = 0, last_conflict = -1;

	if (k->n)
		qsort(k->key, (size_t)k->n, sizeof *k->key, compare_keys);
	for (i = 0; i < k->n; i++) {
		if (!kept || compare_keys(&k->key[kept - 1], &k->key[i])) {
			k->key[kept++] = k->key[i];
			continue;
		}
		if (k->key[kept - 1].organisation == k->key[i].organisation ||
		    last_conflict == kept - 1)
			continue;
		k->key[kept - 1].organisation = ORGANISATION_NONE;
		last_conflict = kept - 1;
		conflicts++;
	}
	k->n = kept;
	return conflicts;
}

int
routing_keys_count(const struct routing_keys *k)
{
	int i, n = 0;

	for (i = 0; i < k->n; i++)
		n += k->key[i].organisation != ORGANISATION_NONE;
	return n;
}

int
routing_find_key(const struct routing *r, const char *key)
{
	const struct key *found;
	struct key wanted;

	if (!r->keys || !r->keys->n)
		return ORGANISATION_NONE;
	digest_of(r->keys, key, wanted.digest);
	found = bsearch(&wanted, r->keys->key, (size_t)r->keys->n,
	    sizeof *r->keys->key, compare_keys);
	return found ? found->organisation : ORGANISATION_NONE;
}
