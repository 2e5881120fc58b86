#include "daemon/control/impl.h"

#define CHECK_PERIOD_US 250000 /* longest time between two checks */
/* Time from a difference to a list, and for which the daemons that differ
 * spread their lists. */
#define REREAD_LEAST_US 200000
#define REREAD_SPREAD_US 1000000

/* The time of a reading is that of the oldest list of a watched feed. */
void
control_note_reading(struct feed *f, int64_t sent_at)
{
	struct control *c = f->control;
	int64_t oldest = INT64_MAX, now = control_now(c);
	int i;

	f->read_at = now;
	if (!control_many_feeds(c))
		return;
	for (i = 0; i < platform_form(c->platform)->nfeed; i++)
		if (control_is_watched_feed(c, i))
			oldest = MIN(oldest, c->feed[i].read_at);
	if (oldest <= member_reading_at(c->members))
		return;
	reader_succeeded(&c->reader, oldest, now - sent_at);
	member_set_reading(c->members, oldest, now);
	control_schedule_member_tick(c);
}

static void
read_done(void *ctx, struct platform_result *r)
{
	struct feed *f = ctx;
	struct control *c = f->control;

	int rereading = f->rereading;

	f->reading = f->rereading = 0;
	control_note_platform_result(c, r);
	control_note_invalid(f, r);
	if (r->status != PLATFORM_OK) {
		if (!rereading)
			reader_failed(&c->reader, rng_unit(&c->rng),
			    control_now(c));
		return;
	}
	if (r->batch->complete < f->version ||
	    control_apply_feed_batch(f, r->batch))
		return;
	if (rereading)
		f->reread_version = config_complete_version(c->config);
	control_note_reading(f, f->read_sent_at);
}

/* Lists a feed beside its watch. */
static void
read_feed(struct feed *f)
{
	if (f->reading || f->listing)
		return;
	f->reading = 1;
	f->read_sent_at = control_now(f->control);
	platform_list(f->control->platform, f->number, 0, read_done, f);
}

void
control_read_lagging_feeds(struct feed *ahead)
{
	struct control *c = ahead->control;
	struct feed *f;
	int i;

	for (i = 0; i < platform_form(c->platform)->nfeed; i++) {
		f = &c->feed[i];
		if (f == ahead || !control_is_watched_feed(c, i) ||
		    f->version >= ahead->version || !f->version)
			continue;
		read_feed(f);
	}
}

static int
verifier_rank(const struct control *c)
{
	int h[VERIFIERS], i, n = member_verifiers(c->members, VERIFIERS, h);

	for (i = 0; i < n; i++)
		if (h[i] == 0)
			return i;
	return READER_NO_RANK;
}

static int64_t
next_reading(const struct control *c)
{
	int64_t read_at = MAX(member_reading_at(c->members), c->started);

	return reader_due(&c->reader, read_at, verifier_rank(c),
	    member_count(c->members));
}

static void
read_feeds(struct control *c)
{
	int i;

	for (i = 0; i < platform_form(c->platform)->nfeed; i++)
		if (control_is_watched_feed(c, i) && !c->feed[i].timer.pos)
			read_feed(&c->feed[i]);
}

/* Whether a feed is watched and was not yet listed again at this version. */
static int
needs_reread(struct control *c, int i)
{
	return control_is_watched_feed(c, i) &&
	       c->feed[i].reread_version != config_complete_version(c->config);
}

static void
reread_due(void *ctx, int64_t now)
{
	struct control *c = ctx;
	int i;

	for (i = 0; i < platform_form(c->platform)->nfeed && !c->leaving; i++) {
		struct feed *f = &c->feed[i];

		if (!needs_reread(c, i) || f->reading || f->listing)
			continue;
		f->rereading = 1;
		read_feed(f);
	}
}

/* Members that differ say so in each datagram, so that a list which fails is
 * tried again. */
void
control_reread(struct control *c)
{
	int i, needed = 0;

	if (!control_many_feeds(c) || c->reread_timer.pos)
		return;
	for (i = 0; i < platform_form(c->platform)->nfeed; i++)
		needed |= needs_reread(c, i);
	if (!needed)
		return;
	c->reread_timer.fire = reread_due;
	c->reread_timer.ctx = c;
	io_timer_set(c->task.loop, &c->reread_timer,
	    control_now(c) + REREAD_LEAST_US +
		rng_below(&c->rng, REREAD_SPREAD_US));
}

/* A watch can stop delivering changes without an error, and the platform can
 * turn away all watchers. So the watched feeds are also listed, by one daemon
 * of the fleet at a time. */
static void
reading_due(void *ctx, int64_t now)
{
	struct control *c = ctx;
	int64_t due = next_reading(c);

	if (due <= now && !c->leaving)
		read_feeds(c);
	if (due <= now)
		due = now + CHECK_PERIOD_US;
	io_timer_set(c->task.loop, &c->reading_timer,
	    MIN(due, now + CHECK_PERIOD_US));
}

void
control_start_reading(struct control *c)
{
	c->reader.draw = rng_unit(&c->rng);
	c->reading_timer.fire = reading_due;
	c->reading_timer.ctx = c;
	reading_due(c, control_now(c));
}
