#include <string.h>

#include "daemon/inbound/inbound.h"
#include "log.h"

/* Answers of the target that are not to the request that waits for one. */

static const char *
attempt_id(const struct in_call *c)
{
	const char *field = c->data->dialect->attempt_field;

	return field ? head_copy_find(&c->head, field) : NULL;
}

int
inbound_answers_other(const struct in_call *c, const struct http_head *h)
{
	const char *attempt = attempt_id(c), *echo;

	if (!attempt)
		return 0;
	echo = http_head_find(h, c->data->dialect->attempt_field);
	if (!echo)
		return (h->status >= 200 && h->status < 300) ||
		       !http_call_is_first(c->target_call);
	return strcmp(echo, attempt) != 0;
}

void
inbound_tag_call(struct in_call *c)
{
	const char *attempt = attempt_id(c);

	if (attempt)
		http_call_set_tag(c->target_call, data_text_digest(attempt));
}

int
inbound_is_extra_answer(void *ctx, const struct http_head *h)
{
	struct in_call *c = ctx;
	const char *attempt = attempt_id(c), *echo;

	if (c->cancelled || !attempt)
		return 0;
	echo = http_head_find(h, c->data->dialect->attempt_field);
	if (!echo || !strcmp(echo, attempt) ||
	    http_call_earlier_tag(c->target_call) != data_text_digest(echo))
		return 0;
	log_request_event(EVENT_ANSWER_UNUSABLE, G_LOG_LEVEL_WARNING,
	    data_now(c->data), inbound_request_id(c), "extra",
	    "read over an answer of the target request=%s "
	    "reason=other-request",
	    inbound_request_id(c));
	return 1;
}
