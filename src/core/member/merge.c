#include "core/member/impl.h"

#include <string.h>

void
member_refute(struct member_table *t, uint32_t state_seq)
{
	struct row *self = member_row(t, 0);

	if (t->leaving || state_seq == UINT32_MAX)
		return;
	self->m.state_seq = MAX(self->m.state_seq, state_seq) + 1;
	t->counts.refuted++;
	t->health = MIN(t->health + 1, HEALTH_MAX);
	member_enqueue(t, 0, 0);
}

static void
merge_self(struct member_table *t, const struct member_update *u)
{
	const struct row *self = member_row(t, 0);

	if (u->state == MEMBER_LEFT && !t->leaving && !t->declared_left) {
		t->declared_left = 1;
		t->ops->event(t->ctx, 0, MEMBER_EVENT_LEFT);
	} else if (u->state != MEMBER_ALIVE &&
		   u->state_seq >= self->m.state_seq) {
		member_refute(t, u->state_seq);
	}
}

int
member_overrides(const struct member_update *u, const struct row *r)
{
	if (r->m.state == MEMBER_LEFT)
		return 0;
	if (u->state == MEMBER_LEFT)
		return 1;
	return u->state_seq > r->m.state_seq ||
	       (u->state_seq == r->m.state_seq && u->state > r->m.state);
}

/* Takes over service and version of a member's target. The update with the
 * higher sequence number wins, so that updates may arrive in any order. */
static void
merge_service(struct member_table *t, int handle,
    const struct member_info *info)
{
	struct member_info *known = &member_row(t, handle)->m.info;

	if (info->service_seq <= known->service_seq)
		return;
	known->service_seq = info->service_seq;
	memcpy(known->service, info->service, sizeof known->service);
	memcpy(known->version, info->version, sizeof known->version);
	member_enqueue(t, handle, 1);
	t->ops->event(t->ctx, handle, MEMBER_EVENT_SERVICE);
}

static void
merge_new(struct member_table *t, const struct member_update *u, int64_t now)
{
	int handle;

	if (!u->has_info || u->state == MEMBER_DEAD || u->state == MEMBER_LEFT)
		return;
	handle = member_add(t, &u->info, u->state, u->state_seq, now);
	if (handle == MEMBER_NONE)
		return;
	member_confirm(t, handle);
	member_enqueue(t, handle, 1);
}

void
member_merge(struct member_table *t, const struct member_update *u, int64_t now)
{
	int handle = member_find(t, u->info.id);
	struct row *r = member_row(t, handle);

	if (!r) {
		merge_new(t, u, now);
		return;
	}
	if (handle == 0) {
		merge_self(t, u);
		return;
	}
	member_confirm(t, handle);
	if (u->has_info)
		merge_service(t, handle, &u->info);
	if (!member_overrides(u, r))
		return;
	member_set_state(t, handle, u->state, u->state_seq, now);
	member_enqueue(t, handle, 0);
}
