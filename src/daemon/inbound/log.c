#include "daemon/inbound/inbound.h"
#include "log.h"

const char *
inbound_request_id(const struct in_call *c)
{
	return data_request_id(c->data, &c->head, c->id);
}

void
inbound_log_call(const struct in_call *c)
{
	static const char *const names[] = { "abandoned", "answer", "kept",
		"not-run", "unknown", "gone" };
	const char *id = inbound_request_id(c);
	struct data *d = c->data;
	int64_t now = data_now(d);

	if (!log_level_enabled(G_LOG_LEVEL_INFO))
		return;
	log_request_event(EVENT_INBOUND_CALL, G_LOG_LEVEL_INFO, now, id,
	    names[c->outcome],
	    "inbound request=%s from=%016" G_GINT64_MODIFIER
	    "x target=%s outcome=%s reason=%s status=%d us=%" G_GINT64_FORMAT
	    " target_us=%" G_GINT64_FORMAT " need_us=%" G_GINT64_FORMAT
	    " rank=%d missed=%.2f choosy=%d stop=%s stop_left_us=%" G_GINT64_FORMAT
	    " in_flight=%d queued=%d limit=%d pace=%d"
	    " pace_age_us=%" G_GINT64_FORMAT
	    " stated_per_s=%.2f version=%" G_GUINT64_FORMAT
	    " caller_version=%" G_GUINT64_FORMAT,
	    id, c->sender_incarnation, d->target.id, names[c->outcome],
	    wire_reason_name(c->reason), c->answer_status, now - c->started,
	    c->target_started ? now - c->target_started : 0, c->need_us,
	    c->rank, c->work ? c->work->refused_share : 0, c->refuse_if_slow,
	    leave_basis_name(c->leave.basis), c->leave.left_us,
	    d->admit ? admit_in_flight(d->admit) : 0,
	    d->admit ? admit_queued(d->admit) : 0,
	    d->admit ? admit_limit(d->admit, now) : 0, d->pace.value,
	    d->pace.value ? now - d->pace.read_at : 0, d->stated.per_s,
	    d->view->rules_version, c->config_version);
}
