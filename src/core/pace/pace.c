#include "pace.h"

int
pace_base(const struct pace *p)
{
	return p->base ? p->base : PACE_USUAL;
}

int
pace_over_base(const struct pace *p)
{
	return p->value * PACE_USUAL / pace_base(p);
}

/* Makes the least reading the new base when the readings have been slow for
 * longer than slow periods last. */
static void
note_slow_reading(struct pace *p, int64_t now, int value, int cold)
{
	if (!p->slow_since || now - p->read_at > PACE_USABLE_US) {
		p->slow_since = now;
		p->slow_min = value;
	}
	if (value < p->slow_min)
		p->slow_min = value;
	if (now - p->slow_since < (cold ? PACE_REBASE_COLD_US : PACE_REBASE_US))
		return;
	p->base = p->slow_min;
	p->slow_since = 0;
}

void
pace_note_reading(struct pace *p, int64_t now, int value, int cold)
{
	int base = pace_base(p);

	if (value * PACE_USUAL > base * PACE_SLOW) {
		note_slow_reading(p, now, value, cold);
	} else {
		p->slow_since = 0;
		if (value < base)
			p->base = value > PACE_USUAL ? value : PACE_USUAL;
	}
	p->value = value;
	p->read_at = now;
	p->awaiting_since = 0;
}

void
pace_await_reading(struct pace *p, int64_t now)
{
	p->awaiting_since = now;
}

void
pace_reading_failed(struct pace *p)
{
	p->awaiting_since = 0;
}

static int
reading_pending(const struct pace *p, int64_t now)
{
	return p->awaiting_since &&
	       now - p->awaiting_since < PACE_READING_WAIT_US;
}

int
pace_slow(const struct pace *p, int64_t now)
{
	return pace_over_base(p) > PACE_SLOW &&
	       now - p->read_at <= PACE_USABLE_US;
}

int
pace_above(const struct pace *p, int base)
{
	return p->value * PACE_USUAL > base * PACE_SLOW;
}

enum pace_verdict
pace_judge(const struct pace *p, int64_t now, int can_ask)
{
	if (!p->value)
		return PACE_GO;
	if (now - p->read_at <= PACE_FRESH_US)
		return pace_slow(p, now) ? PACE_HOLD : PACE_GO;
	if (reading_pending(p, now))
		return PACE_WAIT;
	/* If the requested reading did not arrive, do not wait for another. */
	if (can_ask && !p->awaiting_since)
		return PACE_MEASURE;
	return pace_slow(p, now) ? PACE_HOLD : PACE_GO;
}

int64_t
pace_next_check(const struct pace *p, int64_t now)
{
	if (reading_pending(p, now))
		return p->awaiting_since + PACE_READING_WAIT_US;
	return now + PACE_RECHECK_US;
}

int
pace_worth_starting(const struct pace *p, int64_t need_us)
{
	int over = pace_over_base(p) - PACE_USUAL;

	return need_us > 0 && over > 0 &&
	       need_us * over / PACE_USUAL < PACE_SLOW_LEFT_US;
}
