#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "daemon/outbound/outbound.h"
#include "log.h"

#define DEADLINE_MAX_MS 600000
#define RETRY_AFTER_S \
	"0.2" /* by then a daemon that just started has its configuration */

/* Id of a caller's attempt, "none" if it gives none. */
static const char *
attempt_of(const struct data *d, const struct http_head *h)
{
	const char *field = d->dialect->attempt_field;
	const char *id = field ? http_head_find(h, field) : NULL;

	return id ? id : "none";
}

/* Answers a request for which no call is made, with an error. A request that
 * carries a request id may have run before: its outcome is "unknown", and a 503
 * becomes 504. */
static void
refuse_request(struct data *d, struct http_exchange *x,
    const struct http_head *h, int status, const char *reason, const char *text)
{
	const char *host = http_head_find(h, "Host");
	const char *attempt = attempt_of(d, h);
	const char *id = http_head_find(h, FIELD_REQUEST_ID);
	struct http_field f[] = { { FIELD_OUTCOME, id ? "unknown" : "not-run" },
		{ FIELD_REASON, reason }, { "Content-Type", "text/plain" },
		{ "Retry-After",
		    d->dialect->passes_retry_budget ? "1" : RETRY_AFTER_S } };

	if (id && status == 503)
		status = 504;
	log_request_event(EVENT_BAD_REQUEST, G_LOG_LEVEL_INFO, data_now(d),
	    attempt, reason,
	    "refused request=%s host=%.64s path=%.64s status=%d reason=%s "
	    "conn=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
	    " complete=%" G_GUINT64_FORMAT,
	    attempt, host ? host : "none", h->path, status, reason,
	    http_exchange_conn_number(x), d->view->rules_version,
	    d->view->complete_version);
	http_exchange_set_ctx(x, NULL);
	http_exchange_write_head(x, status, f, status == 503 ? 4 : 3,
	    strlen(text));
	http_exchange_write(x, text, strlen(text));
	http_exchange_end(x);
}

/* Service name from FIELD_SERVICE, else the Host field without the port; -1
 * when both are absent, or the name is empty or too long. */
static int
service_name(const struct http_head *h, char *name, size_t size)
{
	const char *s = http_head_find(h, FIELD_SERVICE);
	size_t n;

	if (!s)
		s = http_head_find(h, "Host");
	if (!s)
		return -1;
	n = strcspn(s, ":");
	if (!n || n >= size)
		return -1;
	memcpy(name, s, n);
	name[n] = 0;
	return 0;
}

/* Number in a field; @fallback when the field is absent, -1 when it is no
 * number from 0 to @max. */
static int64_t
field_number(const struct http_head *h, const char *field, int64_t fallback,
    int64_t max)
{
	const char *s = http_head_find(h, field);
	int64_t v;
	char *end;

	if (!s)
		return fallback;
	v = g_ascii_strtoll(s, &end, 10);
	if (end == s || *end || v < 0 || v > max)
		return -1;
	return v;
}

/* The service for a request, and what its route or service file says of it. */
struct terms {
	struct out_service *service;
	int idempotent;
	int64_t timeout_ms;
	int64_t objective_ms;
	int priority;
	int attempts;
	struct answer_time *time;
	char organisation[ORGANISATION_NAME_MAX]; /* empty for none */
};

static struct out_service *
known_service(struct data *d, const char *name)
{
	struct out_service *s = g_hash_table_lookup(d->services, name);

	return s && !s->conf.removed ? s : NULL;
}

/* What is kept of a route, made at the first request, with a random start of
 * the sequence that spreads its requests over its parts. */
static struct out_route *
kept_of(struct data *d, const struct route *r)
{
	char *key = g_strconcat(r->host, r->prefix, NULL);
	struct out_route *t = g_hash_table_lookup(d->out_routes, key);

	if (t) {
		g_free(key);
		return t;
	}
	t = g_new0(struct out_route, 1);
	t->sequence.point = rng_unit(&d->rng);
	g_hash_table_insert(d->out_routes, key, t);
	return t;
}

/* Fills in the terms from the route of a request; -1 when there is none and
 * the request was answered with an error. */
static int
route_terms(struct data *d, struct http_exchange *x, const struct http_head *h,
    struct terms *t)
{
	const char *host = http_head_find(h, "Host");
	const struct route *r;
	const struct refusal *refusal;
	struct out_route *kept;
	int i;

	i = host ? routing_find(d->view->routing, host, h->path) : ROUTE_NONE;
	if (i == ROUTE_NONE && !d->view->complete_version) {
		refuse_request(d, x, h, 503, "no-configuration",
		    "no confirmed configuration has reached this instance "
		    "yet\n");
		return -1;
	}
	if (i == ROUTE_NONE) {
		refuse_request(d, x, h, 404, "no-route",
		    "no route has this host and path\n");
		return -1;
	}
	r = &d->view->routing->route[i];
	if (!r->npart) {
		refuse_request(d, x, h, 503, "invalid-route",
		    "the route of this host and path is invalid\n");
		return -1;
	}
	refusal = outbound_check_key(d, h, r, t->organisation);
	if (refusal) {
		refuse_request(d, x, h, refusal->status, refusal->reason,
		    refusal->text);
		return -1;
	}
	kept = kept_of(d, r);
	t->time = &kept->time;
	t->service = known_service(d,
	    r->part[route_next_part(r, &kept->sequence)].service);
	if (!t->service) {
		refuse_request(d, x, h, 503, "unknown-service",
		    "the route names a service that is not known\n");
		return -1;
	}
	t->idempotent = r->idempotent;
	t->timeout_ms = r->timeout_ms;
	t->objective_ms = r->objective_ms;
	t->priority = data_rank(d, t->organisation, r->priority);
	t->attempts = r->max_attempts;
	return 0;
}

/* Fills in the terms from the service that the caller names; -1 when there is
 * none and the request was answered with an error. */
static int
service_terms(struct data *d, struct http_exchange *x,
    const struct http_head *h, struct terms *t)
{
	char name[SERVICE_NAME_MAX];

	if (service_name(h, name, sizeof name)) {
		refuse_request(d, x, h, 400, "no-service",
		    "Host or " FIELD_SERVICE " names no service\n");
		return -1;
	}
	t->service = known_service(d, name);
	if (!t->service) {
		refuse_request(d, x, h, 404, "unknown-service",
		    "no service of that name is published; "
		    "see: kumquatrock status\n");
		return -1;
	}
	*t->organisation = '\0';
	t->idempotent =
	    service_idempotent(&t->service->conf, h->method, h->path);
	t->timeout_ms = t->service->conf.timeout_ms;
	t->objective_ms = t->timeout_ms;
	t->priority = 0;
	t->attempts = TRIED_MAX;
	t->time = &t->service->time;
	return 0;
}

/* Fills in the terms of a request, from the routes if there are any; -1 when
 * it was answered with an error. */
static int
find_terms(struct data *d, struct http_exchange *x, const struct http_head *h,
    struct terms *t)
{
	if (!d->view->complete_version && !d->view->nservice) {
		refuse_request(d, x, h, 503, "no-configuration",
		    "no configuration has reached this instance yet\n");
		return -1;
	}
	return d->view->routing ? route_terms(d, x, h, t)
				: service_terms(d, x, h, t);
}

/* Reads the request id with which a caller repeats a request that is not
 * idempotent; -1 when it is malformed. */
static int
read_request_id(struct out_call *c, const struct http_head *h)
{
	const char *id = http_head_find(h, FIELD_REQUEST_ID);
	struct once_id parsed;

	if (!id || c->idempotent || !c->data->dialect->passes_retry_budget)
		return 0;
	if (once_id_parse(&parsed, id))
		return -1;
	g_strlcpy(c->id, id, sizeof c->id);
	c->repeat = 1;
	c->may_have_run = 1;
	return 0;
}

/* Whether a field has the name that the dialect gives to a certain field, NULL
 * if the dialect has none. */
static int
same_name(const char *name, const char *of_dialect)
{
	return of_dialect && !g_ascii_strcasecmp(name, of_dialect);
}

/* Whether a field of a caller's request is not passed on: it concerns the
 * connection alone, or the daemons set it themselves. */
static int
is_dropped(const struct data *d, const char *name)
{
	const struct dialect *v = d->dialect;

	if (outbound_hides_keys(d) &&
	    (same_name(name, v->key_field) ||
		same_name(name, v->organisation_field)))
		return 1;
	return field_is_hop_by_hop(name) || same_name(name, v->origin_field) ||
	       same_name(name, v->target_id_field) ||
	       same_name(name, v->deadline_field);
}

/* Copies the head without the fields that are not passed on, and adds the
 * service in which the call began and the organisation; -1 when that makes too
 * many fields. */
static int
copy_head(struct out_call *c, const struct http_head *h)
{
	const struct dialect *v = c->data->dialect;
	struct http_field f[HTTP_FIELDS_MAX + 2];
	int i, n = 0;

	for (i = 0; i < h->nfield; i++)
		if (!is_dropped(c->data, h->field[i].name))
			f[n++] = h->field[i];
	if (v->origin_field)
		f[n++] = (struct http_field){ v->origin_field,
			c->data->settings.service };
	if (v->organisation_field && *c->organisation)
		f[n++] = (struct http_field){ v->organisation_field,
			c->organisation };
	head_copy(&c->head, h->method, h->path, h->length, f,
	    MIN(n, HTTP_FIELDS_MAX));
	return n > HTTP_FIELDS_MAX ? -1 : 0;
}

static struct out_call *
call_new(struct data *d, struct http_exchange *x, const struct terms *t,
    const struct http_head *h)
{
	struct out_call *c = g_new0(struct out_call, 1);
	const char *trace = http_head_find(h, "traceparent");

	c->data = d;
	c->exchange = x;
	c->conn_number = http_exchange_conn_number(x);
	c->service = t->service;
	c->started = data_now(d);
	c->idempotent = t->idempotent;
	c->priority = t->priority;
	c->time = t->time;
	c->objective = c->started + t->objective_ms * 1000;
	c->attempts_max = t->attempts;
	g_strlcpy(c->organisation, t->organisation, sizeof c->organisation);
	c->body = g_byte_array_new();
	outbound_trace_begin(c, trace);
	g_hash_table_add(d->out_calls, c);
	http_exchange_set_ctx(x, c);
	return c;
}

/* Refuses a request that no record between daemons holds; 1 when it did. */
static int
refuse_too_long(struct out_call *c, const char *outcome)
{
	const struct head_copy *h = &c->head;

	if (wire_head_fits(h->method, h->path, h->field, h->nfield))
		return 0;
	outbound_answer_error(c, 431, outcome, "too-long-field",
	    "the path or a header field of the request is too long\n");
	return 1;
}

/* Refuses a request with an invalid field; 1 when it did, the call is freed
 * then. */
static int
refuse_invalid(struct out_call *c, const struct http_head *h, int64_t left_ms)
{
	const char *outcome;

	if (copy_head(c, h)) {
		outbound_answer_error(c, 431, "not-run", "too-many-fields",
		    "the request has too many header fields\n");
		return 1;
	}
	if (read_request_id(c, h)) {
		outbound_answer_error(c, 400, "not-run", "bad-request-id",
		    FIELD_REQUEST_ID " is not a valid request id\n");
		return 1;
	}
	outcome = c->repeat ? "unknown" : "not-run";
	if (refuse_too_long(c, outcome))
		return 1;
	if (left_ms < 0) {
		outbound_answer_error(c, 400, outcome, "bad-deadline",
		    "the deadline is not a number of milliseconds\n");
		return 1;
	}
	if (c->data->dialect->passes_retry_budget && !c->idempotent &&
	    http_head_find(h, "Idempotency-Key")) {
		outbound_answer_error(c, 400, outcome, "caller-key",
		    "Idempotency-Key is not supported for requests that are "
		    "not idempotent; repeat with the " FIELD_REQUEST_ID
		    " of the answer\n");
		return 1;
	}
	return 0;
}

/* Sets how long a call may take: until the deadline @left_ms that the caller
 * gives, and for the timeout of its route if there are routes. */
static void
set_time(struct out_call *c, int64_t left_ms, const struct terms *t)
{
	c->caller_deadline = c->deadline = c->started + left_ms * 1000;
	if (c->data->view->routing)
		outbound_start_timeout(c, t->timeout_ms * 1000);
}

void
outbound_request(void *ctx, struct http_exchange *x, const struct http_head *h)
{
	struct data *d = ctx;
	struct terms t;
	struct out_call *c;
	int64_t left_ms, depth = 0, left = 0;

	d->counters.calls++;
	http_exchange_set_name(x, attempt_of(d, h));
	if (find_terms(d, x, h, &t)) {
		d->counters.bad_requests++;
		return;
	}
	c = call_new(d, x, &t, h);
	left_ms = field_number(h, d->dialect->deadline_field, t.timeout_ms,
	    DEADLINE_MAX_MS);
	if (refuse_invalid(c, h, left_ms))
		return;
	if (d->dialect->passes_retry_budget) {
		depth = field_number(h, FIELD_DEPTH, 0, 1000);
		left = field_number(h, FIELD_RETRIES_LEFT, 0, 1000);
	}
	log_request_id(EVENT_REQUESTS_RECEIVED, c->started,
	    data_request_id(d, &c->head, c->id), NULL);
	set_time(c, left_ms, &t);
	retry_call_start(&c->service->retry, &c->retry, depth < 0 ? 0 : depth,
	    left < 0 ? 0 : left, c->idempotent, c->deadline);
	if (!outbound_fits(c)) {
		outbound_refuse_leaving(c);
		return;
	}
	outbound_start_call(c);
	if (!outbound_refuse_at_limit(c))
		outbound_quota_admit(c);
}
