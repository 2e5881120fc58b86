#include "impl.h"

#define GAIN 0.1 /* of a new time in the smoothed one */
#define MISSED_GAIN 0.02 /* refused share: about the last 50 requests */
#define SAMPLES_MIN 5 /* answers needed before the time is used */
#define PACE_USUAL 100

double
work_usual(double us, int pace)
{
	return pace > 0 ? us * PACE_USUAL / pace : us;
}

void
work_note_time(struct work *w, double us, int pace)
{
	double usual = work_usual(us, pace);

	w->us += (w->n ? GAIN : 1) * (usual - w->us);
	w->n++;
}

void
work_note_admission(struct work *w, int begun)
{
	w->refused_share += MISSED_GAIN * (!begun - w->refused_share);
}

int64_t
work_us(const struct work *w, int64_t fallback)
{
	return w && w->n >= SAMPLES_MIN ? (int64_t)w->us : fallback;
}
