#include "admit.h"
#include "daemon/data/impl.h"

int
data_rank(const struct data *d, const char *organisation, int priority)
{
	const struct routing *r = d->view->routing;
	int i = r && organisation ? routing_find_organisation(r, organisation)
				  : ORGANISATION_NONE;

	return admit_rank(i == ORGANISATION_NONE ? 0
						 : r->organisation[i].priority,
	    priority);
}
