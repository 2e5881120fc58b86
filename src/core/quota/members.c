#include <stdlib.h>

#include "core/quota/impl.h"

#define GRANTORS_SALT 0x6b71756f74617331u /* of the hash of grantors */

/* The finalizer of MurmurHash3. */
static uint64_t
mix(uint64_t v)
{
	v = (v ^ (v >> 33)) * 0xff51afd7ed558ccdu;
	v = (v ^ (v >> 33)) * 0xc4ceb9fe1a85ec53u;
	return v ^ (v >> 33);
}

int
quota_members(const struct quota *q)
{
	return MAX(1, q->counted);
}

double
quota_share(const struct quota *q, int64_t now)
{
	if (!q->first_members || now < q->first_members + SETTLE_US || q->left)
		return 0;
	if (q->minority_since && now - q->minority_since > MINORITY_USES_US)
		return 0;
	return 1.0 / quota_members(q);
}

uint64_t
quota_grantor_of(const struct grantors *g, uint64_t id)
{
	uint64_t best = 0, weight, most = 0;
	int i;

	for (i = 0; i < g->n; i++) {
		weight = mix(id ^ mix(g->id[i]));
		if (!best || weight > most) {
			best = g->id[i];
			most = weight;
		}
	}
	return best;
}

uint64_t
quota_grantors_digest(const struct grantors *g)
{
	uint64_t digest = 0;
	int i;

	for (i = 0; i < g->n; i++)
		digest = mix(digest ^ g->id[i]) + 1;
	return digest;
}

struct link *
quota_link(struct quota *q, uint64_t grantor)
{
	struct link *l = g_hash_table_lookup(q->links, &grantor);

	if (l)
		return l;
	l = g_new0(struct link, 1);
	l->grantor = grantor;
	/* Answers to an earlier process of this daemon do not match. */
	l->number = rng_next(&q->rng) >> 1;
	g_hash_table_insert(q->links, &l->grantor, l);
	return l;
}

static int
by_incarnation(const void *a, const void *b)
{
	const struct member *x = a, *y = b;

	return (x->incarnation > y->incarnation) -
	       (x->incarnation < y->incarnation);
}

static enum member_seen
seen(enum quota_state state)
{
	if (state == QUOTA_LEFT)
		return MEMBER_LEFT;
	return state == QUOTA_ALIVE ? MEMBER_ALIVE : MEMBER_LOST;
}

/* Takes over the list: marks those alive, adds new ones, removes those that
 * left. */
static void
take_list(struct quota *q, const struct quota_member *list, int n, int64_t now)
{
	struct member *m, add = { 0 };
	guint i, known = q->members->len;
	int k;

	for (i = 0; i < known; i++)
		g_array_index(q->members, struct member, i).seen = MEMBER_GONE;
	for (k = 0; k < n; k++) {
		m = known ? bsearch(&list[k].incarnation, q->members->data,
				known, sizeof *m, by_incarnation)
			  : NULL;
		add.incarnation = list[k].incarnation;
		add.seen = seen(list[k].state);
		if (m)
			m->seen = add.seen;
		else if (add.seen != MEMBER_LEFT)
			g_array_append_val(q->members, add);
	}
	for (i = q->members->len; i > 0; i--) {
		m = &g_array_index(q->members, struct member, i - 1);
		if (m->seen == MEMBER_ALIVE)
			m->lost_at = m->forgotten = 0;
		else if (!m->lost_at)
			m->lost_at = now;
		if (m->seen == MEMBER_LEFT ||
		    (m->seen == MEMBER_GONE && m->forgotten))
			g_array_remove_index(q->members, i - 1);
	}
	g_array_sort(q->members, by_incarnation);
}

/* Counts members alive, and those that have a share. */
static void
count_members(struct quota *q)
{
	const struct member *m;
	guint i;

	q->alive = q->counted = 0;
	for (i = 0; i < q->members->len; i++) {
		m = &g_array_index(q->members, struct member, i);
		q->alive += !m->lost_at;
		q->counted += !m->forgotten;
	}
}

/* Puts a daemon among the grantors if its hash is smaller than another's. */
static void
offer_grantor(struct grantors *g, uint64_t *hash, uint64_t id)
{
	uint64_t h = mix(id ^ GRANTORS_SALT);
	int k = g->n;

	if (k == QUOTA_GRANTORS && h >= hash[k - 1])
		return;
	if (k < QUOTA_GRANTORS)
		g->n++;
	else
		k--;
	for (; k > 0 && hash[k - 1] > h; k--) {
		hash[k] = hash[k - 1];
		g->id[k] = g->id[k - 1];
	}
	hash[k] = h;
	g->id[k] = id;
}

/* Chooses the grantors: those alive with the smallest hashes. */
static void
choose_grantors(struct quota *q)
{
	struct grantors *g = &q->grantors;
	uint64_t hash[QUOTA_GRANTORS];
	const struct member *m;
	guint i;

	g->n = 0;
	for (i = 0; i < q->members->len; i++) {
		m = &g_array_index(q->members, struct member, i);
		if (!m->lost_at)
			offer_grantor(g, hash, m->incarnation);
	}
	g->digest = quota_grantors_digest(g);
}

static void
change_grantor(struct quota *q, struct org *o, int64_t now)
{
	uint64_t id = quota_grantor_of(&q->grantors, o->id);
	const struct link *l = g_hash_table_lookup(q->links, &o->grantor);

	if (id == o->grantor)
		return;
	/* The former grantor uses what was lent until the term is over. */
	if (l)
		o->blocked_until = MAX(o->blocked_until, l->lent_until);
	if (o->grantor == q->self)
		g_ptr_array_remove_fast(q->granted, o);
	if (id == q->self)
		g_ptr_array_add(q->granted, o);
	o->grantor = id;
	o->ask_after = o->ahead_after = 0;
	o->stock_at = now;
	o->stock = 0;
	quota_drop_rows(q, o);
}

static void
change_grantors(struct quota *q, int64_t now)
{
	uint64_t before = q->grantors.digest;
	GHashTableIter it;
	gpointer v;

	choose_grantors(q);
	if (q->grantors.digest == before)
		return;
	g_hash_table_iter_init(&it, q->orgs);
	while (g_hash_table_iter_next(&it, NULL, &v))
		change_grantor(q, v, now);
}

static void
note_minority(struct quota *q, int64_t now)
{
	if (q->alive * 2 >= q->counted)
		q->minority_since = 0;
	else if (!q->minority_since)
		q->minority_since = now;
}

void
quota_set_members(struct quota *q, const struct quota_member *list, int n,
    uint64_t self, int64_t now)
{
	int k;

	quota_accrue_all(q, now);
	q->self = self;
	q->left = 0;
	for (k = 0; k < n; k++)
		if (list[k].incarnation == self)
			q->left = list[k].state == QUOTA_LEFT;
	take_list(q, list, n, now);
	count_members(q);
	change_grantors(q, now);
	note_minority(q, now);
	if (!q->first_members)
		q->first_members = MAX(now, 1);
}

void
quota_forget_lost(struct quota *q, int64_t now)
{
	int majority = q->alive * 2 > q->counted;
	int64_t keep = majority ? LOST_KEEP_US : LOST_KEEP_MINORITY_US;
	struct member *m;
	guint i;

	for (i = 0; i < q->members->len; i++) {
		m = &g_array_index(q->members, struct member, i);
		if (m->forgotten || !m->lost_at || now - m->lost_at <= keep)
			continue;
		quota_accrue_all(q, now);
		g_hash_table_remove(q->links, &m->incarnation);
		m->forgotten = 1;
	}
	count_members(q);
	note_minority(q, now);
}
