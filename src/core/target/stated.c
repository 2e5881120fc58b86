#include "stated.h"

#include <glib.h>
#include <math.h>

int
stated_limit_parse(const char *text, double *per_s)
{
	char *end;
	double v = g_ascii_strtod(text, &end);

	if (end == text || *end || !isfinite(v) || v < 0)
		return -1;
	*per_s = v;
	return 0;
}

int
stated_limit_set(struct stated_limit *l, double per_s, int64_t now)
{
	double was = l->per_s;

	l->per_s = fmax(per_s, STATED_LEAST_PER_S);
	l->stated_at = now;
	return l->per_s != was;
}

int
stated_limit_withdraw(struct stated_limit *l, int64_t sent)
{
	if (l->per_s <= 0 || sent <= l->stated_at)
		return 0;
	l->per_s = 0;
	return 1;
}
