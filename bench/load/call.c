#include "load.h"

#include <string.h>

/* Time for the answer that a daemon itself sends at the deadline to arrive. */
#define ANSWER_GRACE_MS 250
#define REPEAT_DELAY_MS 50
#define REPEATS_MAX 5
#define WRITE_BYTES 16384

static void start_attempt(struct call *);

static void
call_free(struct call *c)
{
	io_timer_clear(c->load->loop, &c->timer);
	if (c->answer_sum)
		g_checksum_free(c->answer_sum);
	if (c->request_sum)
		g_checksum_free(c->request_sum);
	g_free(c);
}

static void
resend(void *ctx, int64_t now)
{
	(void)now;
	start_attempt(ctx);
}

/*
 * Sends a call of kind once with an unknown outcome again, with its request id,
 * to another daemon.
 *
 * Return: nonzero if it will be sent again
 */
static int
repeat_unknown(struct call *c, enum outcome o)
{
	struct load *l = c->load;

	if (!l->opt.repeat_unknown || !c->mix->once || !*c->req ||
	    c->attempts > REPEATS_MAX)
		return 0;
	if (o != OUTCOME_UNKNOWN && !(c->attempts > 1 && o == OUTCOME_BROKEN))
		return 0;
	l->repeats++;
	c->daemon = (c->daemon + 1) % l->opt.nto;
	c->timer.fire = resend;
	io_timer_set(l->loop, &c->timer, io_clock() + REPEAT_DELAY_MS * 1000);
	return 1;
}

static void
finish_attempt(struct call *c, enum outcome o)
{
	struct load *l = c->load;
	int64_t now = io_clock();

	c->http = NULL;
	io_timer_clear(l->loop, &c->timer);
	history_write(&l->history, now,
	    "answer id=%" G_GUINT64_FORMAT
	    " key=%s kind=%s status=%d outcome=%s us=%" G_GINT64_FORMAT
	    " attempt=%d req=%s",
	    c->id, c->key, c->mix->once ? "once" : "repeat", c->status,
	    outcome_name(o), now - c->planned_at, c->attempts,
	    *c->req ? c->req : "-");
	if (!repeat_unknown(c, o)) {
		l->outcomes[o]++;
		l->timeouts += c->timed_out;
		if (o == OUTCOME_WHOLE)
			histogram_add(&l->latency, now - c->planned_at);
		l->inflight--;
		call_free(c);
	}
	call_next_waiting(l);
}

static void
copy_field(char *to, size_t n, const struct http_head *h, const char *name)
{
	const char *v = http_head_find(h, name);

	g_strlcpy(to, v ? v : "", n);
}

static void
on_head(void *ctx, const struct http_head *h)
{
	struct call *c = ctx;

	c->status = h->status;
	copy_field(c->outcome, sizeof c->outcome, h, "Kumquatrock-Outcome");
	copy_field(c->digest, sizeof c->digest, h, "Body-Digest");
	copy_field(c->request_digest, sizeof c->request_digest, h,
	    "Request-Digest");
	copy_field(c->answer_key, sizeof c->answer_key, h, "Call-Key");
	if (http_head_find(h, "Kumquatrock-Request-Id"))
		copy_field(c->req, sizeof c->req, h, "Kumquatrock-Request-Id");
	c->not_run = http_head_find(h, "Not-Run") != NULL;
}

static void
on_body(void *ctx, const void *b, size_t n)
{
	struct call *c = ctx;
	const char *t = b;
	size_t i;

	for (i = 0; i < n && c->key_matched == (size_t)c->answer_bytes + i &&
		    c->key[c->key_matched] == t[i] && t[i];
	     i++)
		c->key_matched++;
	c->answer_bytes += (int64_t)n;
	g_checksum_update(c->answer_sum, b, (gssize)n);
}

static void
on_done(void *ctx)
{
	struct call *c = ctx;

	finish_attempt(c, call_outcome(c));
}

static void
on_failed(void *ctx, const struct kq_error *e, int sent)
{
	struct call *c = ctx;
	struct load *l = c->load;

	(void)e;
	c->http = NULL;
	if (sent) {
		finish_attempt(c, OUTCOME_BROKEN);
	} else if (++c->failovers < l->opt.nto) {
		l->moved++;
		c->attempts--;
		c->daemon = (c->daemon + 1) % l->opt.nto;
		start_attempt(c);
	} else {
		finish_attempt(c, OUTCOME_NOT_RUN);
	}
}

static void
write_body(struct call *c)
{
	char b[WRITE_BYTES];
	int64_t left = c->mix->method[0] == 'G' ? 0 : c->load->opt.body_bytes;
	size_t i, n, k = strlen(c->key);

	while (left > 0) {
		n = MIN((size_t)left, sizeof b / k * k);
		for (i = 0; i < n; i++)
			b[i] = c->key[i % k];
		g_checksum_update(c->request_sum, (guchar *)b, (gssize)n);
		http_call_write(c->http, b, n);
		left -= (int64_t)n;
	}
	http_call_end_request(c->http);
}

static const struct http_call_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static void
on_timeout(void *ctx, int64_t now)
{
	struct call *c = ctx;
	int sent = 0;

	(void)now;
	c->timed_out = 1;
	if (c->http)
		sent = http_call_cancel(c->http);
	else
		g_queue_remove(&c->load->waiting, c);
	finish_attempt(c, sent ? OUTCOME_BROKEN : OUTCOME_NOT_RUN);
}

static int
request_fields(struct call *c, struct http_field *f, char *ms, size_t n)
{
	const struct options *o = &c->load->opt;
	int k = 0;

	g_snprintf(ms, n, "%d", o->timeout_ms);
	f[k++] = (struct http_field){ "Host", o->service };
	f[k++] = (struct http_field){ "Call-Key", c->key };
	f[k++] = (struct http_field){ "Call-Kind",
		c->mix->once ? "once" : "repeat" };
	f[k++] =
	    (struct http_field){ o->straight ? o->dialect->target_deadline_field
					     : o->dialect->deadline_field,
		    ms };
	if (o->dialect->attempt_field)
		f[k++] =
		    (struct http_field){ o->dialect->attempt_field, c->key };
	if (c->attempts > 1 && *c->req)
		f[k++] =
		    (struct http_field){ "Kumquatrock-Request-Id", c->req };
	return k;
}

static void
reset_attempt(struct call *c)
{
	if (c->answer_sum)
		g_checksum_free(c->answer_sum);
	if (c->request_sum)
		g_checksum_free(c->request_sum);
	c->answer_sum = g_checksum_new(G_CHECKSUM_SHA256);
	c->request_sum = g_checksum_new(G_CHECKSUM_SHA256);
	c->status = c->not_run = 0;
	c->outcome[0] = '\0';
	c->answer_bytes = 0;
	c->key_matched = 0;
}

static int
send_call(struct call *c)
{
	struct load *l = c->load;
	struct http_field f[8];
	struct kq_error e;
	int has_body = c->mix->method[0] != 'G' && l->opt.body_bytes > 0;
	char ms[16];
	int n;

	n = request_fields(c, f, ms, sizeof ms);
	c->http = http_call_start(l->pool[c->daemon], c->mix->method,
	    c->mix->path, f, n, has_body ? l->opt.body_bytes : HTTP_LENGTH_NONE,
	    0, &ops, c, &e);
	if (!c->http)
		return -1;
	history_write(&l->history, io_clock(),
	    "call id=%" G_GUINT64_FORMAT
	    " key=%s kind=%s service=%s to=%s:%d attempt=%d",
	    c->id, c->key, c->mix->once ? "once" : "repeat", l->opt.service,
	    l->opt.to_ip[c->daemon], l->opt.to_port[c->daemon], c->attempts);
	write_body(c);
	return 0;
}

static void
start_attempt(struct call *c)
{
	struct load *l = c->load;

	reset_attempt(c);
	c->attempts++;
	c->timer.fire = on_timeout;
	io_timer_set(l->loop, &c->timer,
	    io_clock() + (l->opt.timeout_ms + ANSWER_GRACE_MS) * (int64_t)1000);
	if (send_call(c) < 0)
		g_queue_push_tail(&l->waiting, c);
}

void
call_start(struct load *l, const struct mix_entry *m, int64_t planned_at)
{
	struct call *c = g_new0(struct call, 1);

	c->load = l;
	c->mix = m;
	c->id = ++l->started;
	c->planned_at = planned_at;
	c->daemon = (int)(c->id % (uint64_t)l->opt.nto);
	c->timer.ctx = c;
	g_snprintf(c->key, sizeof c->key, "%c%u.%" G_GUINT64_FORMAT,
	    m->once ? 'o' : 'r', l->opt.seed, c->id);
	l->inflight++;
	start_attempt(c);
}

void
call_next_waiting(struct load *l)
{
	struct call *c = g_queue_peek_head(&l->waiting);

	if (c && send_call(c) == 0)
		g_queue_pop_head(&l->waiting);
}
