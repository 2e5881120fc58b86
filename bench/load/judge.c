#include "load.h"

#include <string.h>

const char *
outcome_name(enum outcome o)
{
	static const char *const name[] = { "whole", "not-run", "unknown",
		"failed", "bad", "broken" };

	return name[o];
}

/* Nonzero if key and digests show that the answer belongs to this call. */
static int
answer_matches_call(const struct call *c)
{
	size_t prefix = MIN(strlen(c->key), (size_t)c->answer_bytes);

	return strcmp(c->answer_key, c->key) == 0 &&
	       strcmp(c->digest, g_checksum_get_string(c->answer_sum)) == 0 &&
	       strcmp(c->request_digest,
		   g_checksum_get_string(c->request_sum)) == 0 &&
	       c->key_matched == prefix;
}

enum outcome
call_outcome(const struct call *c)
{
	if (c->status == 200 &&
	    (!*c->outcome || strcmp(c->outcome, "kept") == 0))
		return answer_matches_call(c) ? OUTCOME_WHOLE : OUTCOME_BAD;
	if (strcmp(c->outcome, "not-run") == 0)
		return OUTCOME_NOT_RUN;
	if (strcmp(c->outcome, "unknown") == 0)
		return OUTCOME_UNKNOWN;
	if (strcmp(c->outcome, "failed") == 0)
		return OUTCOME_FAILED;
	if (*c->outcome)
		return OUTCOME_BAD;
	if (c->not_run)
		return OUTCOME_NOT_RUN;
	return c->status >= 500 ? OUTCOME_FAILED : OUTCOME_BAD;
}
