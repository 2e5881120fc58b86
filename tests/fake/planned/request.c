#include <string.h>
#include <sys/socket.h>

#include "io.h"
#include "planned.h"

#define SAFE_ROUTES 4
#define ONCE_ROUTES 2
#define BREAK_SHARE 0.03
#define WORK_SHORT_MS 300
#define WORK_MIDDLE_MS 1500
#define WORK_LONG_MS 4500
#define LARGE_BYTES 400000
#define SMALL_BYTES 2000
#define BODY_MAX 20000
#define CHUNKS 5 /* that a body has */
#define PIECES 8 /* that a body is sent in */
#define PAUSE_MAX_US 200000 /* between them */
#define TEXT_MAX 1024

static int
draw_work_ms(GRand *rand)
{
	double share = g_rand_double(rand);

	if (share < 0.7)
		return g_rand_int_range(rand, 20, WORK_SHORT_MS);
	if (share < 0.88)
		return g_rand_int_range(rand, WORK_SHORT_MS, WORK_MIDDLE_MS);
	return g_rand_int_range(rand, WORK_MIDDLE_MS, WORK_LONG_MS);
}

void
request_draw(struct conn *c, struct request *r)
{
	GRand *rand = c->rand;
	int number = g_atomic_int_add(&c->caller->last_request, 1) + 1;
	int large = c->way == WAY_SLOW_READER || g_rand_double(rand) < 0.25;

	memset(r, 0, sizeof *r);
	g_snprintf(r->id, sizeof r->id, "%s-%d", c->caller->name, number);
	if (c->caller->mesh) {
		mesh_draw(c, r);
		return;
	}
	r->once = c->way != WAY_PIPELINED && g_rand_double(rand) < 0.4;
	r->breaks = g_rand_double(rand) < BREAK_SHARE;
	r->work_ms = draw_work_ms(rand);
	r->bytes = g_rand_int_range(rand, large ? LARGE_BYTES / 4 : 1,
	    large ? LARGE_BYTES : SMALL_BYTES);
	if (c->way == WAY_SLOW_BODY)
		r->body_bytes = g_rand_int_range(rand, PIECES, BODY_MAX);
	r->limit_ms = r->work_ms * 3 / 2 + 1500 +
		      (large ? LARGE_BYTES / 400 : 0) +
		      (r->body_bytes ? PIECES * PAUSE_MAX_US / 1000 : 0);
}

void
request_share_limit(struct request *r, int n)
{
	int i, most = 0;

	for (i = 0; i < n; i++)
		most = MAX(most, r[i].limit_ms);
	for (i = 0; i < n; i++)
		r[i].limit_ms = most;
}

static int
format_head(struct conn *c, const struct request *r, char *t, size_t size)
{
	char body[40] = "", route[16], calls[64] = "";

	if (r->route)
		g_strlcpy(route, r->route, sizeof route);
	else
		g_snprintf(route, sizeof route, "%s%d",
		    r->once ? "once" : "safe",
		    g_rand_int_range(c->rand, 0,
			r->once ? ONCE_ROUTES : SAFE_ROUTES));
	if (r->chunked)
		g_strlcpy(body, "Transfer-Encoding: chunked\r\n", sizeof body);
	else if (r->body_bytes)
		g_snprintf(body, sizeof body, "Content-Length: %d\r\n",
		    r->body_bytes);
	if (r->call)
		g_snprintf(calls, sizeof calls, "&call=%s&together=%d&fails=%d",
		    r->call, r->together, r->fails);
	return g_snprintf(t, size,
	    "%s /%s/?work_ms=%d&bytes=%d&breaks=%d&calls=%d%s HTTP/1.1\r\n"
	    "Host: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
	    r->method	    ? r->method
	    : r->body_bytes ? "POST"
			    : "GET",
	    route, r->work_ms, r->bytes, r->breaks, r->calls, calls,
	    c->caller->host, r->id, r->limit_ms, body);
}

static int
send_bytes(struct conn *c, const char *p, size_t n)
{
	c->sent_last = io_clock();
	return send(c->fd, p, n, MSG_NOSIGNAL) == (ssize_t)n ? 0 : -1;
}

static void
pause_some(GRand *rand)
{
	g_usleep((gulong)g_rand_int_range(rand, 1000, PAUSE_MAX_US));
}

static int
send_pieces(struct conn *c, const char *p, size_t n, size_t pieces)
{
	size_t i, from, to;

	for (i = 0; i < pieces; i++) {
		from = n * i / pieces;
		to = n * (i + 1) / pieces;
		if (i)
			pause_some(c->rand);
		if (send_bytes(c, p + from, to - from))
			return -1;
	}
	return 0;
}

/* The body as it is sent; chunks of equal size do not end where pieces do. */
static GString *
format_body(const struct request *r)
{
	GString *b = g_string_new(NULL);
	int left = r->body_bytes, n = r->body_bytes;

	if (r->chunked)
		n = MAX(1, left / CHUNKS);
	while (left > 0) {
		n = MIN(n, left);
		if (r->chunked)
			g_string_append_printf(b, "%x\r\n", (unsigned)n);
		g_string_set_size(b, b->len + (gsize)n);
		memset(b->str + b->len - n, 'b', (size_t)n);
		if (r->chunked)
			g_string_append(b, "\r\n");
		left -= n;
	}
	if (r->chunked)
		g_string_append(b, "0\r\n\r\n");
	return b;
}

static int
send_body(struct conn *c, const struct request *r)
{
	GString *b = format_body(r);
	int bad = send_pieces(c, b->str, b->len,
	    c->way == WAY_SLOW_BODY ? PIECES : 1);

	g_string_free(b, TRUE);
	return bad;
}

static void
log_sent(struct conn *c, const struct request *r, int behind)
{
	history_write(&c->caller->history, c->sent_last,
	    "call id=%s to=%s conn=%d way=%d behind=%d once=%d "
	    "start=%" G_GINT64_FORMAT
	    " limit_ms=%d work_ms=%d bytes=%d breaks=%d route=%s kind=%s "
	    "first=%s half=%d",
	    r->id, c->caller->address, c->id, c->way, behind, r->once, r->start,
	    r->limit_ms, r->work_ms, r->bytes, r->breaks,
	    r->route ? r->route : "any",
	    r->kind    ? r->kind
	    : r->route ? r->route
		       : "any",
	    r->first ? r->first : r->id, c->half_closes);
}

int
request_send(struct conn *c, struct request *r, int n)
{
	char t[BATCH_MAX * TEXT_MAX];
	size_t length = 0;
	int i, bad;

	for (i = 0; i < n; i++) {
		r[i].start = io_clock();
		length += (size_t)format_head(c, &r[i], t + length,
		    sizeof t - length);
	}
	bad = send_pieces(c, t, length, c->way == WAY_HALVES ? 2 : 1);
	if (!bad && r->body_bytes)
		bad = send_body(c, r);
	for (i = 0; i < n && !bad; i++)
		log_sent(c, &r[i], i > 0);
	return bad;
}
