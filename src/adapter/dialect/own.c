#include "dialect.h"

#include "store_form.h"

static enum target_report
own_read_report(struct heartbeat *h, const char *query, const char *text,
    size_t n, struct kq_error *e)
{
	kq_error_set(e, KQ_LAYER_CONFIG, 1,
	    "targets announce themselves with PUT /v1/target");
	return TARGET_REPORT_NONE;
}

const struct dialect dialect_own = {
	.name = "own",
	.deadline_field = "Kumquatrock-Deadline-Ms",
	.key_field = "Kumquatrock-Key",
	.organisation_field = "Kumquatrock-Organisation",
	.target_deadline_field = "Deadline-Ms",
	.passes_retry_budget = 1,
	.not_run_field = "Not-Run",
	.limit_field = "Limit-Per-S",
	.ready_path = "/v1/ready",
	.read_report = own_read_report,
	.half_close = 1,
	.store = &store_form_own,
};
