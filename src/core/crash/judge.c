#include "core/crash/impl.h"

#include <string.h>

static int
has_start(const struct crash_request *r, uint64_t start)
{
	int i;

	for (i = 0; i < r->nstart; i++)
		if (r->start[i] == start)
			return 1;
	return 0;
}

/* Counts a start that ended under a request. */
static void
count_start(struct crash_table *t, uint64_t request, uint64_t start,
    int64_t now)
{
	struct crash_request *r;

	if (crash_was_answered(t, request, now))
		return;
	r = crash_add(t, request, now);
	r->at = now;
	if (r->nstart < CRASH_STARTS_KEPT && !has_start(r, start))
		r->start[r->nstart++] = start;
}

static void
refuse(struct crash_request *r, int64_t at, int64_t now,
    struct crash_news *refused)
{
	int known = r->refused_until > now;

	r->refused_until = MAX(r->refused_until, at + CRASH_REFUSE_US);
	if (known || r->refused_until <= now)
		return;
	refused->start = r->start[r->nstart - 1];
	refused->request[refused->n++] = r->request;
}

/* Refuses the request with the most counted starts of all that ran at one
 * target when it ended. */
static void
judge_group(struct crash_table *t, const struct crash_news *n, int64_t at,
    int64_t now, struct crash_news *refused)
{
	struct crash_request *r;
	int i, most = 0, top = 0;

	for (i = 0; i < n->n; i++) {
		r = crash_find(t, n->request[i]);
		if (!r || r->nstart < most)
			continue;
		top = r->nstart == most ? top + 1 : 1;
		most = r->nstart;
	}
	if (most < CRASH_STARTS || (top > 1 && most < CRASH_STARTS_TIED))
		return;
	for (i = 0; i < n->n; i++) {
		r = crash_find(t, n->request[i]);
		if (r && r->nstart == most)
			refuse(r, at, now, refused);
	}
}

static void
take_refusal(struct crash_table *t, uint64_t request, uint64_t start,
    int64_t at, int64_t now, struct crash_news *refused)
{
	struct crash_request *r;

	if (crash_was_answered(t, request, now) || at + CRASH_REFUSE_US <= now)
		return;
	r = crash_add(t, request, now);
	while (r->nstart < CRASH_STARTS)
		r->start[r->nstart++] = start;
	refuse(r, at, now, refused);
}

int
crash_apply(struct crash_table *t, const struct crash_news *n, int64_t at,
    int64_t now, struct crash_news *refused)
{
	int i;

	memset(refused, 0, sizeof *refused);
	refused->kind = CRASH_REFUSED;
	for (i = 0; i < n->n; i++) {
		if (n->kind == CRASH_ENDED) {
			count_start(t, n->request[i], n->start, now);
		} else if (n->kind == CRASH_ANSWERED) {
			crash_remember_answer(t, n->request[i], at);
			crash_forget(t, n->request[i]);
		} else if (n->kind == CRASH_REFUSED) {
			take_refusal(t, n->request[i], n->start, at, now,
			    refused);
		}
	}
	if (n->kind == CRASH_ENDED)
		judge_group(t, n, at, now, refused);
	return refused->n;
}

int
crash_answered(struct crash_table *t, uint64_t request, int64_t now,
    struct crash_news *n)
{
	const struct crash_request *r = crash_find(t, request);

	crash_remember_answer(t, request, now);
	if (!r)
		return 0;
	memset(n, 0, sizeof *n);
	n->kind = CRASH_ANSWERED;
	n->start = r->nstart ? r->start[r->nstart - 1] : 0;
	n->n = 1;
	n->request[0] = request;
	crash_forget(t, request);
	return 1;
}

/* Mixes a number into an id (the finalizer of MurmurHash3). */
static uint64_t
mix(uint64_t id, uint64_t v)
{
	id ^= v;
	id = (id ^ (id >> 33)) * 0xff51afd7ed558ccdu;
	id = (id ^ (id >> 33)) * 0xc4ceb9fe1a85ec53u;
	return id ^ (id >> 33);
}

uint64_t
crash_news_id(const struct crash_news *n)
{
	uint64_t id = mix(0, (uint64_t)n->kind);
	int i;

	id = mix(id, n->start);
	for (i = 0; i < n->n; i++)
		id = mix(id, n->request[i]);
	return id ? id : 1;
}
