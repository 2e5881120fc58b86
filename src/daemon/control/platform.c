#include "daemon/control/impl.h"

/* After a restore of the store, lists may lack what was written before it for
 * this long: its writers write it again within about two seconds. */
#define RESTORED_HOLD_US 3000000

/* The delay doubles after each failure and is randomized, so that the daemons
 * of a fleet do not all retry at once. */
int64_t
control_platform_backoff(struct control *c)
{
	int64_t p = c->platform_backoff;

	c->platform_backoff = MIN(2 * p, PLATFORM_BACKOFF_MAX_US);
	return p / 2 + rng_below(&c->rng, (uint32_t)p);
}

/* An answer of an earlier era is one that is allowed to be stale. */
static void
note_era(struct control *c, const struct platform_result *r)
{
	int later = c->era_known && r->era > c->era;

	c->era_known |= r->status == PLATFORM_OK;
	c->era = MAX(c->era, r->era);
	if (!later)
		return;
	c->restored_at = control_now(c);
	log_event(EVENT_PLATFORM_RESTORED, G_LOG_LEVEL_MESSAGE, control_now(c),
	    "the store came back from an older copy era=%" G_GUINT64_FORMAT
	    " complete=%" G_GUINT64_FORMAT,
	    r->era, config_complete_version(c->config));
}

void
control_note_platform_result(struct control *c, const struct platform_result *r)
{
	int down =
	    r->status == PLATFORM_DOWN || r->status == PLATFORM_RATE_LIMITED;

	c->counters.platform_calls++;
	c->counters.platform_failures += down;
	note_era(c, r);
	if (r->status != PLATFORM_OK)
		log_event(EVENT_PLATFORM_CALL_FAILED, G_LOG_LEVEL_INFO,
		    control_now(c),
		    "platform call failed status=%s error=\"%s\"",
		    platform_status_name(r->status), r->error.text);

	if (!down)
		c->platform_backoff = PLATFORM_BACKOFF_MIN_US;
	if (down == c->platform_down)
		return;
	c->platform_down = down;
	if (down)
		log_event(EVENT_PLATFORM_DOWN, G_LOG_LEVEL_WARNING,
		    control_now(c),
		    "platform is unavailable status=%s; the last known state "
		    "stays in force",
		    platform_status_name(r->status));
	else
		log_event(EVENT_PLATFORM_UP, G_LOG_LEVEL_MESSAGE,
		    control_now(c), "platform is available again");
}

int
control_many_feeds(const struct control *c)
{
	return c->platform && platform_form(c->platform)->nfeed > 1;
}

int
control_has_config(const struct control *c)
{
	int i;

	if (config_complete_version(c->config))
		return 1;
	if (!control_many_feeds(c))
		return 0;
	for (i = 0; i < platform_form(c->platform)->nfeed; i++)
		if (control_is_watched_feed(c, i) && !c->feed[i].stale_listed)
			return 0;
	return 1;
}

int
control_has_open_watch(const struct control *c)
{
	int i;

	for (i = 0; i < STORE_FEEDS_MAX; i++)
		if (c->feed[i].watching)
			return 1;
	return 0;
}

int
control_is_watched_feed(const struct control *c, int i)
{
	return store_form_watches(platform_form(c->platform), i,
	    c->settings.rollout_share > 0);
}

static void
feed_due(void *ctx, int64_t now)
{
	struct feed *f = ctx;

	control_watch_platform(f->control);
}

static void
schedule_feed(struct feed *f, int64_t delay)
{
	struct control *c = f->control;

	f->timer.fire = feed_due;
	f->timer.ctx = f;
	io_timer_set(c->task.loop, &f->timer, control_now(c) + delay);
}

/* Moves the complete version to the lowest version of the watched feeds. */
static void
advance_complete(struct control *c)
{
	struct config_batch b = { .source = CONFIG_SOURCE_PLATFORM };
	uint64_t lowest = UINT64_MAX;
	int i;

	for (i = 0; i < platform_form(c->platform)->nfeed; i++)
		if (control_is_watched_feed(c, i))
			lowest = MIN(lowest, c->feed[i].version);
	if (lowest <= config_complete_version(c->config))
		return;
	b.after = config_complete_version(c->config);
	b.upto = b.complete = lowest;
	control_apply_batch(c, &b);
}

/* Whether a version is of a later era than what is held. A daemon that has
 * started since the restore has seen no answer of the earlier era. */
static int
opens_era(const struct control *c, uint64_t version)
{
	uint64_t complete = config_complete_version(c->config);

	return complete &&
	       config_version_era(version) > config_version_era(complete);
}

/* Applies objects of one of several feeds; 0, or -1 if their version is below
 * the one that the feed has reached or, for a watched feed, below the complete
 * version. A list, which has @b->kinds set, counts by the version that it
 * names. A watch may miss changes without an error, so that only the versions
 * of its entries count, whether they are used or not. */
int
control_apply_feed_batch(struct feed *f, struct config_batch *b)
{
	struct control *c = f->control;
	uint64_t version = b->kinds ? b->complete : MAX(b->seen, f->version);
	uint64_t in_force = f->version;

	if (control_is_watched_feed(c, f->number))
		in_force = MAX(in_force, config_complete_version(c->config));
	if (version < in_force) {
		log_event(EVENT_PLATFORM_STALE, G_LOG_LEVEL_WARNING,
		    control_now(c),
		    "answer with an older version refused feed=%d"
		    " version=%" G_GUINT64_FORMAT
		    " in_force=%" G_GUINT64_FORMAT,
		    f->number, version, in_force);
		return -1;
	}
	f->version = version;
	b->complete = 0;
	if (opens_era(c, version))
		c->restored_at = control_now(c);
	b->hold = c->restored_at &&
		  control_now(c) - c->restored_at < RESTORED_HOLD_US;
	control_apply_batch(c, b);
	advance_complete(c);
	return 0;
}

void
control_note_invalid(struct feed *f, const struct platform_result *r)
{
	struct control *c = f->control;

	if (!r->invalid ||
	    (r->invalid_version && r->invalid_version <= f->invalid_version))
		return;
	f->invalid_version = MAX(f->invalid_version, r->invalid_version);
	c->counters.objects_invalid += r->invalid;
	log_event(EVENT_CONFIG_INVALID, G_LOG_LEVEL_WARNING, control_now(c),
	    "invalid objects ignored feed=%d count=%d"
	    " version=%" G_GUINT64_FORMAT " error=\"%s\"",
	    f->number, r->invalid, r->invalid_version, r->error.text);
}

/* Applies a batch and goes on watching. If a batch arrives early and changes
 * nothing, such as a replay, waits first, so that a platform that went back to
 * an older version is not polled in a tight loop. */
static void
handle_batch(struct feed *f, struct config_batch *b)
{
	struct control *c = f->control;
	uint64_t before = config_complete_version(c->config);
	int64_t elapsed = control_now(c) - f->requested_at;
	int progress, changes = b->nobject + b->left_out;

	if (control_many_feeds(c)) {
		before = f->version;
		progress = !control_apply_feed_batch(f, b) &&
			   (f->version > before || !changes);
		if (f->version > before && before && changes)
			control_read_lagging_feeds(f);
	} else {
		control_apply_batch(c, b);
		progress = config_complete_version(c->config) > before;
	}
	if (before && !progress && elapsed < WATCH_WAIT_MS * INT64_C(1000) / 2)
		schedule_feed(f, control_platform_backoff(c));
	else
		control_watch_platform(c);
}

static void
list_done(void *ctx, struct platform_result *r)
{
	struct feed *f = ctx;
	struct control *c = f->control;

	f->listing = 0;
	control_note_platform_result(c, r);
	control_note_invalid(f, r);
	if (r->status != PLATFORM_OK) {
		schedule_feed(f, control_platform_backoff(c));
		return;
	}
	f->listed = 1;
	f->list_next = 0;
	control_note_reading(f, f->requested_at);
	handle_batch(f, r->batch);
}

/* Lists a feed in place of its watch. */
static void
list_feed(struct feed *f)
{
	struct control *c = f->control;

	if (f->listing)
		return;
	f->listing = 1;
	f->requested_at = control_now(c);
	platform_list(c->platform, f->number, 0, list_done, f);
}

static void
watch_done(void *ctx, struct platform_result *r)
{
	struct feed *f = ctx;
	struct control *c = f->control;

	f->watching = 0;
	control_note_platform_result(c, r);
	control_note_invalid(f, r);
	if (r->status == PLATFORM_TOO_OLD) {
		list_feed(f);
		return;
	}
	if (r->status != PLATFORM_OK) {
		/* Lists may be answered while watches are not. */
		f->list_next = 1;
		schedule_feed(f, control_platform_backoff(c));
		return;
	}
	handle_batch(f, r->batch);
}

int
control_is_watcher(const struct control *c)
{
	int h[MEMBER_CHOSEN_MAX], i, n;

	n = member_watchers(c->members, c->settings.datacentre,
	    control_many_feeds(c) ? 1 : WATCHERS_PER_DATACENTRE, h);
	for (i = 0; i < n; i++)
		if (h[i] == 0)
			return 1;
	return 0;
}

/* A new daemon asks its peers first: the platform charges for each call, and a
 * list of a store that came back from a copy would undo what the peers hold. */
static int
needs_first_list(struct control *c, const struct feed *f)
{
	int64_t age = control_now(c) - c->started;

	if (f->listed || config_complete_version(c->config))
		return 0;
	if (!control_many_feeds(c))
		return !f->version;
	return age >= CONFIG_WAIT_US ||
	       (age >= JOIN_WAIT_US && control_is_watcher(c));
}

static void
watch_feed(struct feed *f)
{
	struct control *c = f->control;

	if (f->watching || f->listing || f->timer.pos)
		return;
	if (needs_first_list(c, f)) {
		list_feed(f);
		return;
	}
	if (!control_is_watcher(c) ||
	    (!f->version && !f->listed && !config_complete_version(c->config)))
		return;
	if (f->list_next) {
		list_feed(f);
		return;
	}
	f->watching = 1;
	f->requested_at = control_now(c);
	f->version = MAX(f->version, config_complete_version(c->config));
	platform_watch(c->platform, f->number, f->version, WATCH_WAIT_MS,
	    watch_done, f);
}

void
control_watch_platform(struct control *c)
{
	int i;

	if (!c->platform || c->leaving || c->start_timer.pos)
		return;
	for (i = 0; i < platform_form(c->platform)->nfeed; i++)
		if (control_is_watched_feed(c, i))
			watch_feed(&c->feed[i]);
}

static void
start_due(void *ctx, int64_t now)
{
	struct control *c = ctx;

	control_watch_platform(c);
	if (control_many_feeds(c))
		control_start_reading(c);
}

static void
stale_list_done(void *ctx, struct platform_result *r)
{
	struct feed *f = ctx;
	struct control *c = f->control;

	control_note_platform_result(c, r);
	if (r->status == PLATFORM_OK)
		f->stale_listed = 1;
	/* With a version of the feed, a current list has come first. */
	if (r->status == PLATFORM_OK && !f->version) {
		r->batch->stale = 1;
		control_apply_batch(c, r->batch);
	}
	control_watch_platform(c);
}

/* A stale list lets a daemon serve at once and costs a tenth of a current one.
 * The objects of a version come from the peers, or from the watchers' own
 * lists. */
static void
list_all_stale(struct control *c)
{
	int i;

	for (i = 0; i < platform_form(c->platform)->nfeed; i++) {
		if (!control_is_watched_feed(c, i))
			continue;
		platform_list(c->platform, i, 1, stale_list_done, &c->feed[i]);
	}
}

void
control_platform_start(struct control *c)
{
	int64_t wait = c->settings.npeer ? PLATFORM_BACKOFF_MIN_US : 0;
	int i;

	if (!c->platform)
		return;
	c->started = control_now(c);
	for (i = 0; i < STORE_FEEDS_MAX; i++) {
		c->feed[i].control = c;
		c->feed[i].number = i;
	}
	if (control_many_feeds(c)) {
		control_seeds_start(c);
		list_all_stale(c);
		wait = JOIN_WAIT_US;
	}
	/* Peers named in the settings or in the store are asked first. */
	c->start_timer.fire = start_due;
	c->start_timer.ctx = c;
	io_timer_set(c->task.loop, &c->start_timer, c->started + wait);
}
