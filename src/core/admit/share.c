#include "impl.h"

#include <math.h>
#include <stddef.h>

#define WORK_US 1000000.0 /* time over which work is summed */
#define NO_PLACE 0 /* in a chain; places count from 1 */

static double
decayed(const struct share_place *p, int64_t now)
{
	return p->had_us * exp(-(double)(now - p->at) / WORK_US);
}

static uint16_t *
bucket_of(struct shares *s, uint64_t organisation)
{
	return &s->bucket[organisation % SHARE_BUCKETS];
}

static struct share_place *
find(struct shares *s, uint64_t organisation)
{
	uint16_t i = *bucket_of(s, organisation);

	while (i != NO_PLACE && s->place[i - 1].organisation != organisation)
		i = s->place[i - 1].next;
	return i == NO_PLACE ? NULL : &s->place[i - 1];
}

/** The place to forget: of those not in use by this decision, if there are any,
 * the one with the least work. */
static struct share_place *
least(struct shares *s, int64_t now)
{
	struct share_place *found = &s->place[0], *p;
	double us, least_us = INFINITY;
	int i;

	for (i = 0; i < SHARE_PLACES; i++) {
		p = &s->place[i];
		us = p->decision == s->decision ? HUGE_VAL : decayed(p, now);
		if (us >= least_us)
			continue;
		least_us = us;
		found = p;
	}
	return found;
}

static void
forget(struct shares *s, struct share_place *p)
{
	uint16_t *link = bucket_of(s, p->organisation);
	uint16_t i = (uint16_t)(p - s->place + 1);

	while (*link != i)
		link = &s->place[*link - 1].next;
	*link = p->next;
}

/** Place of an organisation, decayed to @now; made if there is none. */
static struct share_place *
place_of(struct shares *s, uint64_t organisation, int64_t now)
{
	struct share_place *p = find(s, organisation);
	uint16_t *bucket = bucket_of(s, organisation);

	if (p) {
		p->had_us = decayed(p, now);
		p->at = now;
		return p;
	}
	if (s->n < SHARE_PLACES) {
		p = &s->place[s->n++];
	} else {
		p = least(s, now);
		forget(s, p);
	}
	*p = (struct share_place){ .organisation = organisation, .at = now };
	p->next = *bucket;
	*bucket = (uint16_t)(p - s->place + 1);
	return p;
}

void
share_charge(struct shares *s, int64_t now, uint64_t organisation, double us)
{
	struct share_place *p;

	if (!organisation)
		return;
	p = place_of(s, organisation, now);
	p->had_us += us;
	if (p->had_us < 0)
		p->had_us = 0;
}

double
share_waiting(int64_t now, int64_t start_by, double us)
{
	return start_by > now ? us * exp(-(double)(start_by - now) / WORK_US)
			      : us;
}

void
share_begin(struct shares *s)
{
	s->decision++;
}

struct share_place *
share_add_waiting(struct shares *s, int64_t now, uint64_t organisation,
    int64_t start_by, double us)
{
	struct share_place *p;

	if (!organisation)
		return NULL;
	p = place_of(s, organisation, now);
	if (p->decision != s->decision) {
		p->decision = s->decision;
		p->waiting_us = 0;
	}
	p->waiting_us += share_waiting(now, start_by, us);
	return p;
}

double
share_work(const struct share_place *p)
{
	return p->had_us + p->waiting_us;
}
