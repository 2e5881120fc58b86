#include <string.h>

#include "planned.h"

#define SPREAD 0.3 /* of the time of work, over its mean */
#define LEAST 0.3 /* of the mean */
#define UNIFORMS 6 /* summed up for a time of work */
#define BODY_BYTES 600
#define ANSWER_BYTES 1500

/** struct kind - a kind of request of the mesh */
struct kind {
	const char *route;
	const char *method;
	int once;
	int work_ms; /* mean */
	int deadline_ms;
	int calls; /* that its target makes while it runs */
	int body_bytes;
};

static const struct kind lookup = { "lookup", "GET", 0, 160, 2000, 0, 0 };
static const struct kind batch = { "batch", "POST", 1, 210, 2500, 2,
	BODY_BYTES };
static const struct kind pay = { "pay", "PUT", 1, 110, 1200, 0, BODY_BYTES };
static const struct kind scan = { "scan", "GET", 0, 640, 8000, 0, 0 };

/* What the connections of a caller are used for, in turn. */
static const struct {
	const struct kind *kind;
	enum way way;
} uses[] = { { &batch, WAY_SINGLE }, { &pay, WAY_SINGLE },
	{ &lookup, WAY_PIPELINED }, { &batch, WAY_IDLE }, { &scan, WAY_FRESH },
	{ &batch, WAY_HALVES }, { &pay, WAY_IDLE }, { &batch, WAY_SLOW_BODY } };

enum way
mesh_way(int thread)
{
	return uses[(size_t)thread % G_N_ELEMENTS(uses)].way;
}

static int
draw_work_ms(GRand *rand, int mean)
{
	double sum = 0;
	int i;

	for (i = 0; i < UNIFORMS; i++)
		sum += g_rand_double_range(rand, -1, 1);
	/* the deviation of one of them is 1 / sqrt(3) */
	sum *= SPREAD * 1.7320508 / 2.4494897;
	return (int)(mean * MAX(LEAST, 1 + sum));
}

void
mesh_draw(struct conn *c, struct request *r)
{
	const struct kind *k =
	    uses[(size_t)c->thread % G_N_ELEMENTS(uses)].kind;

	r->route = k->route;
	r->method = k->method;
	r->once = k->once;
	r->calls = k->calls;
	r->work_ms = draw_work_ms(c->rand, k->work_ms);
	r->bytes = g_rand_int_range(c->rand, 1, ANSWER_BYTES);
	r->body_bytes = k->body_bytes;
	r->limit_ms = k->deadline_ms;
	if (c->caller->chunked && r->body_bytes)
		r->chunked = g_rand_boolean(c->rand);
}
