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
	.deadline = "Kumquatrock-Deadline-Ms",
	.target_deadline = "Deadline-Ms",
	.levels = 1,
	.not_run = "Not-Run",
	.ready_path = "/v1/ready",
	.read_report = own_read_report,
	.half_close = 1,
	.store = &store_form_own,
};
