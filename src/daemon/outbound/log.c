#include "daemon/outbound/outbound.h"
#include "log.h"

void
outbound_log_call(const struct out_call *c)
{
	const char *id = data_request_id(c->data, &c->head, c->id);
	const char *outcome = c->outcome ? c->outcome : "caller-gone";
	struct data *d = c->data;
	int64_t now = data_now(d);

	if (!log_level_enabled(G_LOG_LEVEL_INFO))
		return;
	log_request_event(EVENT_CALL, G_LOG_LEVEL_INFO, now, id, outcome,
	    "call request=%s service=%s path=%.64s outcome=%s status=%d "
	    "reason=%s instance=%016" G_GINT64_MODIFIER
	    "x attempts=%d reached=%d us=%" G_GINT64_FORMAT
	    " left_us=%" G_GINT64_FORMAT
	    " stop=%s stop_left_us=%" G_GINT64_FORMAT
	    " rank=%d conn=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
	    "%s%s",
	    id, c->service->conf.name, c->head.path, outcome, c->status,
	    wire_reason_name(c->reason), c->answered_by, c->tried.total,
	    c->reached, now - c->started, c->deadline - now,
	    leave_basis_name(c->leave.basis), c->leave.left_us, c->priority,
	    c->conn_number, d->view->rules_version,
	    *c->organisation ? " organisation=" : "", c->organisation);
}

void
outbound_log_attempt(const struct out_attempt *a, const char *outcome,
    int status, const struct load_report *load)
{
	const struct out_call *c = a->call;
	const char *id = data_request_id(c->data, &c->head, c->id);
	struct data *d = c->data;
	int64_t now = data_now(d);

	if (!log_level_enabled(G_LOG_LEVEL_INFO))
		return;
	log_request_event(EVENT_ATTEMPT, G_LOG_LEVEL_INFO, now, id, outcome,
	    "attempt request=%s instance=%016" G_GINT64_MODIFIER
	    "x outcome=%s status=%d reason=%s us=%" G_GINT64_FORMAT
	    " round=%d choosy=%d in_flight=%u queued=%u limit=%u version=%" G_GUINT64_FORMAT,
	    id, a->peer->incarnation, outcome, status,
	    wire_reason_name(c->reason), now - a->started, a->round,
	    a->refusable, load ? load->in_flight : 0, load ? load->queued : 0,
	    load ? load->limit : 0, d->view->rules_version);
}
