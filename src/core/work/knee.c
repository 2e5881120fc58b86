#include "impl.h"

#define SAMPLES_MIN 48 /* answers required on each side of the share */
/* A target whose requests take this many times as long at high load as at low
 * load has a knee. Calls that the target makes to other services take longer at
 * high load, too, but not by so much. */
#define KNEE_RATIO 1.45
#define RATIO_MAX 3.0 /* so that a single outlier does not decide */

static void
add_ratio(double *mean, uint32_t *n, double ratio)
{
	++*n;
	*mean += (ratio - *mean) / *n;
}

int
knee_note_time(struct knee *k, const struct work *w, double us, int pace,
    int in_flight, int slots)
{
	double ratio;

	if (k->found || work_us(w, 0) <= 0)
		return 0;
	ratio = work_usual(us, pace) / w->us;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	if (in_flight <= WORK_KNEE_SHARE * slots) {
		add_ratio(&k->low, &k->nlow, ratio);
		return 0;
	}
	add_ratio(&k->high, &k->nhigh, ratio);
	if (k->nlow < SAMPLES_MIN || k->nhigh < SAMPLES_MIN ||
	    k->high < KNEE_RATIO * k->low)
		return 0;
	k->found = 1;
	return 1;
}

int
knee_limit(const struct knee *k, int slots)
{
	int n = (int)(WORK_KNEE_SHARE * slots);

	if (!k->found)
		return slots;
	return n > 0 ? n : 1;
}
