#include "daemon/data/view.h"

#include <string.h>

void
view_free(struct view *v)
{
	if (!v)
		return;
	routing_unref(v->routing);
	g_free(v->service);
	g_free(v->datacentre);
	g_free(v->instance);
	g_free(v->rollout);
	g_free(v);
}

const struct service *
view_service(const struct view *v, const char *name)
{
	int i;

	for (i = 0; i < v->nservice; i++)
		if (!strcmp(v->service[i].name, name))
			return &v->service[i];
	return NULL;
}

const struct datacentre *
view_datacentre(const struct view *v, const char *name)
{
	int i;

	for (i = 0; i < v->ndatacentre; i++)
		if (!strcmp(v->datacentre[i].name, name))
			return &v->datacentre[i];
	return NULL;
}

const struct view_rollout *
view_rollout(const struct view *v, const char *service)
{
	int i;

	for (i = 0; i < v->nrollout; i++)
		if (!strcmp(v->rollout[i].order.service, service))
			return &v->rollout[i];
	return NULL;
}

int
view_datacentre_out(const struct view *v, const char *datacentre)
{
	const struct datacentre *dc = view_datacentre(v, datacentre);

	return dc && dc->state == DATACENTRE_OUT;
}
