#include <math.h>

#include "io.h"
#include "rig.h"

#define PLAYERS 600 /* requests at a time */
#define WAVE_SWING 0.15
#define WAVE_S 11.0
#define BATCH_MEAN 3.0 /* of a pipeline */

/** struct source - arrivals of a kind in a data centre */
struct source {
	struct traffic *traffic;
	const struct kind *kind;
	int zone;
	GThread *thread;
};

struct traffic {
	struct rig *rig;
	GThreadPool *players;
	struct source source[64];
	int sources;
};

static void
play(gpointer data, gpointer ctx)
{
	attempt_play(ctx, data);
	g_free(data);
}

static double
rate_of(const struct source *s, int64_t now)
{
	struct rig *r = s->traffic->rig;
	double t = (double)(now - r->begin) / G_USEC_PER_SEC;
	double wave = 1 + WAVE_SWING * sin(2 * G_PI * (t / WAVE_S + s->zone));

	return s->kind->per_s * mesh_zone_share[s->zone - 1] * wave * r->load *
	       g_atomic_int_get(&r->burst) / 100;
}

static gpointer
arrive(gpointer arg)
{
	struct source *s = arg;
	struct rig *r = s->traffic->rig;
	GRand *rand = g_rand_new_with_seed(
	    r->seed * 64 + (guint32)(s - s->traffic->source));
	int64_t due = r->begin, now;
	double batch = s->kind->habit == HABIT_PIPELINE ? BATCH_MEAN : 1;
	struct task *t;

	while (due < r->end) {
		due += (int64_t)(-log(1 - g_rand_double(rand)) * batch *
				 G_USEC_PER_SEC / rate_of(s, due));
		now = io_clock();
		if (due > now)
			g_usleep((gulong)(due - now));
		t = g_new0(struct task, 1);
		t->kind = s->kind;
		t->zone = s->zone;
		t->n = batch > 1 ? g_rand_int_range(rand, 2, BATCH_MAX + 1) : 1;
		t->seed = g_rand_int(rand);
		g_thread_pool_push(s->traffic->players, t, NULL);
	}
	g_rand_free(rand);
	return NULL;
}

struct traffic *
traffic_start(struct rig *r)
{
	struct traffic *t = g_new0(struct traffic, 1);
	struct source *s;
	int i, zone;

	t->rig = r;
	t->players = g_thread_pool_new(play, r, PLAYERS, FALSE, NULL);
	for (i = 0; i < kind_count; i++)
		for (zone = 1; kinds[i].per_s > 0 && zone <= ZONES; zone++) {
			s = &t->source[t->sources++];
			s->traffic = t;
			s->kind = &kinds[i];
			s->zone = zone;
			s->thread = g_thread_new("arrive", arrive, s);
		}
	return t;
}

void
traffic_join(struct traffic *t)
{
	int i;

	for (i = 0; i < t->sources; i++)
		g_thread_join(t->source[i].thread);
	g_thread_pool_free(t->players, FALSE, TRUE);
	g_free(t);
}
