#include "daemon/outbound/outbound.h"
#include "log.h"

void
outbound_log_call(const struct out_call *c)
{
	struct data *d = c->data;
	int64_t now = data_now(d);

	if (!log_level_enabled(G_LOG_LEVEL_INFO))
		return;
	log_event(EVENT_CALL, G_LOG_LEVEL_INFO, now,
	    "call request=%s service=%s path=%.64s outcome=%s status=%d "
	    "reason=%s attempts=%d reached=%d us=%" G_GINT64_FORMAT
	    " left_us=%" G_GINT64_FORMAT " rank=%d version=%" G_GUINT64_FORMAT,
	    data_request_id(c->data, &c->head, c->id), c->service->conf.name,
	    c->head.path, c->outcome ? c->outcome : "caller-gone", c->status,
	    wire_reason_name(c->reason), c->tried.total, c->reached,
	    now - c->started, c->deadline - now, c->priority,
	    d->view->rules_version);
}

void
outbound_log_attempt(const struct out_attempt *a, const char *outcome,
    int status, const struct load_report *load)
{
	const struct out_call *c = a->call;
	struct data *d = c->data;
	int64_t now = data_now(d);

	if (!log_level_enabled(G_LOG_LEVEL_INFO))
		return;
	log_event(EVENT_ATTEMPT, G_LOG_LEVEL_INFO, now,
	    "attempt request=%s instance=%016" G_GINT64_MODIFIER
	    "x outcome=%s status=%d reason=%s us=%" G_GINT64_FORMAT
	    " in_flight=%u queued=%u limit=%u version=%" G_GUINT64_FORMAT,
	    data_request_id(c->data, &c->head, c->id), a->peer->incarnation,
	    outcome, status, wire_reason_name(c->reason), now - a->started,
	    load ? load->in_flight : 0, load ? load->queued : 0,
	    load ? load->limit : 0, d->view->rules_version);
}
