#include "routing.h"

#include <stdlib.h>
#include <string.h>

static int
compare_routes(const void *p, const void *q)
{
	const struct route *a = p, *b = q;
	int r = g_ascii_strcasecmp(a->host, b->host);
	size_t m = strlen(a->prefix), n = strlen(b->prefix);

	if (r)
		return r;
	if (m != n)
		return m > n ? -1 : 1;
	r = strcmp(a->prefix, b->prefix);
	return r ? r : !a->npart - !b->npart;
}

void
routing_sort(struct routing *r)
{
	if (r->nroute)
		qsort(r->route, (size_t)r->nroute, sizeof *r->route,
		    compare_routes);
}

/* Compares the @n bytes of a Host field without its port to a route's host. */
static int
compare_host(const char *host, size_t n, const char *route_host)
{
	int r = g_ascii_strncasecmp(host, route_host, n);

	return r ? r : -(route_host[n] != 0);
}

/* Index of the first route of a host, or where that route would stand. */
static int
first_route(const struct routing *r, const char *host, size_t n)
{
	int low = 0, high = r->nroute, middle;

	while (low < high) {
		middle = (low + high) / 2;
		if (compare_host(host, n, r->route[middle].host) > 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

int
routing_find(const struct routing *r, const char *host, const char *path)
{
	size_t n = strcspn(host, ":"), length = strcspn(path, "?"), k;
	int i;

	for (i = first_route(r, host, n); i < r->nroute; i++) {
		if (compare_host(host, n, r->route[i].host))
			return ROUTE_NONE;
		k = strlen(r->route[i].prefix);
		if (k <= length && !memcmp(path, r->route[i].prefix, k))
			return i;
	}
	return ROUTE_NONE;
}

int
routing_allows(const struct routing *r, const char *host, const char *path,
    const char *service)
{
	int i = routing_find(r, host, path), k;

	if (i == ROUTE_NONE)
		return 0;
	for (k = 0; k < r->route[i].npart; k++)
		if (r->route[i].part[k].weight > 0 &&
		    !strcmp(r->route[i].part[k].service, service))
			return 1;
	return 0;
}

const struct routing_service *
routing_service(const struct routing *r, const char *name)
{
	int i;

	for (i = 0; i < r->nservice; i++)
		if (!strcmp(r->service[i].name, name))
			return &r->service[i];
	return NULL;
}
