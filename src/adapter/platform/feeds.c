#include "store_form.h"

int
store_form_watches(const struct store_form *f, int feed, int rollouts)
{
	if (feed >= f->nfeed || !f->watched[feed])
		return 0;
	return rollouts || f->kinds[feed] != 1u << CONFIG_ROLLOUT;
}
