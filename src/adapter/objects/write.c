#include "objects.h"

#include <inttypes.h>

#include "json.h"

static void
put_string(GString *s, const char *key, const char *value)
{
	g_string_append_printf(s, "\"%s\":", key);
	json_append_string(s, value);
	g_string_append_c(s, ',');
}

/* Writes an optional name. An empty one is omitted, as the readers refuse an
 * empty string. */
static void
put_optional(GString *s, const char *key, const char *value)
{
	if (*value)
		put_string(s, key, value);
}

static void
put_real(GString *s, const char *key, double value)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_dtostr(text, sizeof text, value);
	g_string_append_printf(s, "\"%s\":%s,", key, text);
}

static void
put_rules(GString *s, const struct service *v)
{
	int i;

	g_string_append(s, "\"requests\":[");
	for (i = 0; i < v->nrule; i++) {
		g_string_append(s, i > 0 ? ",{" : "{");
		put_string(s, "method", v->rule[i].method);
		put_string(s, "path", v->rule[i].path);
		g_string_append_printf(s, "\"idempotent\":%s}",
		    v->rule[i].idempotent ? "true" : "false");
	}
	g_string_append(s, "],");
}

void
service_write(GString *s, const struct service *v)
{
	g_string_append_c(s, '{');
	put_string(s, "service", v->name);
	put_rules(s, v);
	g_string_append_printf(s, "\"timeout_ms\":%d,", v->timeout_ms);
	put_real(s, "measure_per_s", v->measure_per_s);
	g_string_append_printf(s,
	    "\"cold\":{\"limit\":%d,\"calls\":%d,\"good_ms\":%d,\"idle_ms\":%d},",
	    v->cold_limit, v->cold_calls, v->cold_good_ms, v->cold_idle_ms);
	g_string_append_printf(s, "\"queue_max\":%d,", v->queue_max);
	put_real(s, "retry_ratio", v->retry_ratio);
	g_string_append_printf(s, "\"hedge\":%s}", v->hedge ? "true" : "false");
}

void
datacentre_write(GString *s, const struct datacentre *d)
{
	g_string_append_c(s, '{');
	put_string(s, "datacentre", d->name);
	put_optional(s, "region", d->region);
	put_string(s, "state", d->state == DATACENTRE_OUT ? "out" : "in");
	g_string_append_printf(s, "\"ramp_ms\":%d}", d->ramp_ms);
}

void
instance_write(GString *s, const struct instance *i)
{
	g_string_append_printf(s, "{\"incarnation\":\"%016" PRIx64 "\",",
	    i->incarnation);
	put_optional(s, "service", i->service);
	put_string(s, "datacentre", i->datacentre);
	put_optional(s, "region", i->region);
	put_string(s, "ip", i->ip);
	g_string_append_printf(s,
	    "\"caller_port\":%d,\"peer_port\":%d,\"operator_port\":%d}",
	    i->caller_port, i->peer_port, i->operator_port);
}
