#include <arpa/inet.h>
#include <string.h>

#include "daemon/control/impl.h"

/* Seeds: the addresses of daemons, kept in the store for new daemons to join
 * by. An address outlives the daemon that wrote it; the next daemon at this
 * address finds it and writes nothing. The first list request accepts a stale
 * answer, which costs a tenth of a current one. A store that comes back from an
 * older copy may lack addresses; each daemon looks for its own then. */

#define LIST_PERIOD_US 20000000 /* between two lists by the watchers */
#define LIST_JITTER_US 5000000
#define JOIN_SEEDS_MAX 4
#define JOIN_FAST_US 400000 /* between two rounds while daemons start */
#define JOIN_FAST_FOR_US 8000000 /* after a list */
#define JOIN_SLOW_US 5000000 /* between two rounds after that */
#define JOIN_JITTER_US 100000
#define SEED_EXPIRE_US \
	60000000 /* an address without a member for this long is removed */

/* From a restore of the store until a daemon looks for its address: a stale
 * answer may be some seconds old, and not all ask at once. */
#define RESTORED_CHECK_US 4000000
#define RESTORED_JITTER_US 4000000

static void list_seeds(struct control *, int stale);

static int
seeds_feed(const struct control *c)
{
	const struct store_form *f = platform_form(c->platform);
	int i;

	for (i = 0; i < f->nfeed; i++)
		if (f->kinds[i] == 1u << CONFIG_ADDRESS)
			return i;
	return -1;
}

static void
own_name(const struct control *c, char *name, size_t size)
{
	g_snprintf(name, size, "%s-%d", c->settings.ip, c->settings.peer_port);
}

/* Parses a name of the form "IP-PORT"; 0 or -1. */
static int
parse_name(const char *name, struct member_address *a)
{
	char ip[IP_TEXT_MAX];
	const char *dash = strrchr(name, '-');
	struct in_addr number;
	int64_t port;

	if (!dash || dash == name || dash - name >= IP_TEXT_MAX)
		return -1;
	g_strlcpy(ip, name, (gsize)(dash - name) + 1);
	port = g_ascii_strtoll(dash + 1, NULL, 10);
	if (inet_pton(AF_INET, ip, &number) != 1 || port < 1 ||
	    port > UINT16_MAX)
		return -1;
	a->ip = ntohl(number.s_addr);
	a->port = (uint16_t)port;
	return 0;
}

static int
has_member(const struct control *c, const struct member_address *a)
{
	const struct member *m;
	int h;

	for (h = 0; h < member_handle_end(c->members); h++) {
		m = member_at(c->members, h);
		if (m && m->state <= MEMBER_SUSPECT &&
		    m->info.address.ip == a->ip &&
		    m->info.address.port == a->port)
			return 1;
	}
	return 0;
}

static void
seed_deleted(void *ctx, struct platform_result *r)
{
	control_note_platform_result(ctx, r);
}

/* Removes an address that no member has had for SEED_EXPIRE_US, on condition
 * that its version is still the one that was listed. */
static void
check_seed(struct control *c, const struct config_object *o,
    const struct member_address *a, int64_t now)
{
	int64_t *since = g_hash_table_lookup(c->seeds_absent_since, o->name);

	if (has_member(c, a)) {
		g_hash_table_remove(c->seeds_absent_since, o->name);
		return;
	}
	if (!since) {
		g_hash_table_insert(c->seeds_absent_since, g_strdup(o->name),
		    g_memdup2(&now, sizeof now));
		return;
	}
	if (now - *since < SEED_EXPIRE_US)
		return;
	log_event(EVENT_ADDRESS_REMOVED, G_LOG_LEVEL_INFO, now,
	    "removing address without a member name=%s for_us=%" G_GINT64_FORMAT,
	    o->name, now - *since);
	platform_delete(c->platform, CONFIG_ADDRESS, o->name, o->version,
	    seed_deleted, c);
	g_hash_table_remove(c->seeds_absent_since, o->name);
}

/* Joins by a few random addresses that no member has. Daemons that started at
 * the same time may have formed separate groups; each group finds the others in
 * this way. */
static void
join_missing(struct control *c, int64_t now)
{
	struct member_address seed[JOIN_SEEDS_MAX];
	const struct member_address *a;
	uint32_t seen = 0, slot;
	int n = 0;
	guint i;

	for (i = 0; i < c->seeds->len; i++) {
		a = &g_array_index(c->seeds, struct member_address, i);
		if (has_member(c, a))
			continue;
		slot = rng_below(&c->rng, ++seen);
		if (n < JOIN_SEEDS_MAX)
			seed[n++] = *a;
		else if (slot < JOIN_SEEDS_MAX)
			seed[slot] = *a;
	}
	if (!n)
		return;
	member_join(c->members, seed, n, now);
	control_schedule_member_tick(c);
}

static void
join_due(void *ctx, int64_t now)
{
	struct control *c = ctx;
	int64_t age = now - c->seeds_listed_at;

	if (c->leaving)
		return;
	join_missing(c, now);
	/* A daemon missing for this long is found only by a new list. */
	if (age > SEED_EXPIRE_US)
		g_array_set_size(c->seeds, 0);
	io_timer_set(c->task.loop, &c->join_timer,
	    now + (age < JOIN_FAST_FOR_US ? JOIN_FAST_US : JOIN_SLOW_US) +
		rng_below(&c->rng, JOIN_JITTER_US));
}

static void
set_seeds(struct control *c, const struct config_batch *b)
{
	struct member_address a;
	char own[CONFIG_NAME_MAX];
	int i;

	own_name(c, own, sizeof own);
	g_array_set_size(c->seeds, 0);
	for (i = 0; i < b->nobject; i++)
		if (!b->object[i].invalid && strcmp(b->object[i].name, own) &&
		    !parse_name(b->object[i].name, &a))
			g_array_append_val(c->seeds, a);
	c->seeds_listed_at = control_now(c);
	c->join_timer.fire = join_due;
	c->join_timer.ctx = c;
	join_due(c, c->seeds_listed_at);
}

static int
lists_own_name(const struct control *c, const struct config_batch *b)
{
	char own[CONFIG_NAME_MAX];
	int i;

	own_name(c, own, sizeof own);
	for (i = 0; i < b->nobject; i++)
		if (!strcmp(b->object[i].name, own))
			return 1;
	return 0;
}

static void
list_due(void *ctx, int64_t now)
{
	struct control *c = ctx;

	if (c->leaving)
		return;
	if (c->seeds_listed && !control_is_watcher(c) &&
	    c->seeds_era ==
		config_version_era(config_complete_version(c->config))) {
		c->seeds_timer.fire = list_due;
		c->seeds_timer.ctx = c;
		io_timer_set(c->task.loop, &c->seeds_timer,
		    now + LIST_PERIOD_US);
		return;
	}
	list_seeds(c, 0);
}

static void
schedule_list(struct control *c, int64_t delay)
{
	c->seeds_timer.fire = list_due;
	c->seeds_timer.ctx = c;
	io_timer_set(c->task.loop, &c->seeds_timer, control_now(c) + delay);
}

/* On a conflict the address exists: an earlier daemon here wrote it. */
static void
own_seed_put(void *ctx, struct platform_result *r)
{
	struct control *c = ctx;

	control_note_platform_result(c, r);
	if (r->status != PLATFORM_OK && r->status != PLATFORM_CONFLICT) {
		schedule_list(c, control_platform_backoff(c));
		return;
	}
	log_event(EVENT_REGISTERED, G_LOG_LEVEL_INFO, control_now(c),
	    "registered version=%" G_GUINT64_FORMAT, r->version);
	c->own_seed_written = 1;
	list_seeds(c, 0);
}

static void
put_own_seed(struct control *c)
{
	char name[CONFIG_NAME_MAX];

	own_name(c, name, sizeof name);
	platform_put(c->platform, CONFIG_ADDRESS, name, "{}", 0, own_seed_put,
	    c);
}

static void
list_done(void *ctx, struct platform_result *r)
{
	struct control *c = ctx;
	struct member_address a;
	int i;

	control_note_platform_result(c, r);
	if (r->status != PLATFORM_OK) {
		schedule_list(c, control_platform_backoff(c));
		return;
	}
	if (r->era < config_version_era(config_complete_version(c->config))) {
		schedule_list(c, RESTORED_CHECK_US);
		return;
	}
	control_note_invalid(&c->feed[seeds_feed(c)], r);
	if (r->era > c->seeds_era)
		c->own_seed_written = 0;
	set_seeds(c, r->batch);
	if (!c->own_seed_written && !lists_own_name(c, r->batch)) {
		put_own_seed(c);
		return;
	}
	for (i = 0; c->seeds_listed && i < r->batch->nobject; i++)
		if (!r->batch->object[i].invalid &&
		    !parse_name(r->batch->object[i].name, &a))
			check_seed(c, &r->batch->object[i], &a, control_now(c));
	c->seeds_listed = 1;
	c->seeds_era = r->era;
	/* A daemon that knows no other member tries some of the addresses once
	 * more, so that parts of a partitioned fleet join. */
	if (member_count(c->members) <= 1)
		set_seeds(c, r->batch);
	schedule_list(c, LIST_PERIOD_US + rng_below(&c->rng, LIST_JITTER_US));
}

void
control_check_seeds_era(struct control *c)
{
	uint64_t era = config_version_era(config_complete_version(c->config));

	if (!c->seeds || !c->seeds_listed || era <= c->seeds_era ||
	    era <= c->seeds_check_era)
		return;
	c->seeds_check_era = era;
	schedule_list(c,
	    RESTORED_CHECK_US + rng_below(&c->rng, RESTORED_JITTER_US));
}

static void
list_seeds(struct control *c, int stale)
{
	platform_list(c->platform, seeds_feed(c), stale, list_done, c);
}

void
control_seeds_start(struct control *c)
{
	c->seeds = g_array_new(FALSE, FALSE, sizeof(struct member_address));
	c->seeds_absent_since =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_seeds(c, 1);
}

void
control_seeds_stop(struct control *c)
{
	io_timer_clear(c->task.loop, &c->seeds_timer);
	io_timer_clear(c->task.loop, &c->join_timer);
	if (c->seeds)
		g_array_unref(c->seeds);
	if (c->seeds_absent_since)
		g_hash_table_unref(c->seeds_absent_since);
}
