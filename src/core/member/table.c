#include "core/member/impl.h"

#include <string.h>

struct member_table *
member_new(const struct member_info *self, const struct member_limits *limits,
    uint64_t seed, const struct member_ops *ops, void *ctx, int64_t now)
{
	struct member_table *t = g_new0(struct member_table, 1);

	t->rows = g_ptr_array_new();
	t->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->live = g_array_new(FALSE, FALSE, sizeof(int));
	t->order = g_array_new(FALSE, FALSE, sizeof(int));
	t->queue = g_array_new(FALSE, FALSE, sizeof(int));
	t->suspects = g_array_new(FALSE, FALSE, sizeof(int));
	t->notes = g_array_new(FALSE, FALSE, sizeof(struct note));
	t->limits = *limits;
	t->rng_state = seed ^ self->id;
	t->ops = ops;
	t->ctx = ctx;
	member_add(t, self, MEMBER_ALIVE, 0, now);
	member_row(t, 0)->m.confirmed = 1;
	t->probe.next_at =
	    now + member_random_below(t, (uint32_t)limits->probe_period);
	t->sync_at =
	    now + member_random_below(t, (uint32_t)limits->sync_period);
	t->gossip_at = now;
	t->tick_due = now;
	return t;
}

void
member_free(struct member_table *t)
{
	guint i;

	if (!t)
		return;
	for (i = 0; i < t->rows->len; i++)
		g_free(g_ptr_array_index(t->rows, i));
	g_ptr_array_free(t->rows, TRUE);
	g_hash_table_destroy(t->by_id);
	g_array_free(t->live, TRUE);
	g_array_free(t->order, TRUE);
	g_array_free(t->queue, TRUE);
	g_array_free(t->suspects, TRUE);
	g_array_free(t->notes, TRUE);
	g_free(t);
}

int
member_find(const struct member_table *t, uint64_t id)
{
	const struct row *r = g_hash_table_lookup(t->by_id, &id);

	return r ? r->handle : MEMBER_NONE;
}

int
member_count(const struct member_table *t)
{
	return (int)t->live->len + 1;
}

int
member_handle_end(const struct member_table *t)
{
	return (int)t->rows->len;
}

const struct member *
member_at(const struct member_table *t, int handle)
{
	const struct row *r = member_row(t, handle);

	return r ? &r->m : NULL;
}

void
member_counts(const struct member_table *t, struct member_counts *counts)
{
	*counts = t->counts;
}

void
member_add_registered(struct member_table *t, const struct member_info *info,
    int64_t now)
{
	if (info->id != 0 && member_find(t, info->id) == MEMBER_NONE)
		member_add(t, info, MEMBER_ALIVE, 0, now);
}

void
member_mark_left(struct member_table *t, uint64_t id, int64_t now)
{
	struct member_update u = { .state = MEMBER_LEFT, .info.id = id };

	member_merge(t, &u, now);
}

static void
announce_target(struct member_table *t, int64_t now)
{
	struct row *self = member_row(t, 0);

	self->m.info.service_seq++;
	self->m.state_seq++;
	member_enqueue(t, 0, 1);
	t->gossip_at = MIN(t->gossip_at, now);
}

void
member_set_service(struct member_table *t, const char *service, int64_t now)
{
	struct member_info *self = &member_row(t, 0)->m.info;

	if (strcmp(self->service, service) == 0)
		return;
	g_strlcpy(self->service, service, sizeof self->service);
	announce_target(t, now);
}

void
member_set_version(struct member_table *t, const char *version, int64_t now)
{
	struct member_info *self = &member_row(t, 0)->m.info;

	if (strcmp(self->version, version) == 0)
		return;
	g_strlcpy(self->version, version, sizeof self->version);
	announce_target(t, now);
}
