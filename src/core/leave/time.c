#include "leave.h"

#define GAIN 0.125 /* of a new time in the mean */
#define DEVIATION_GAIN 0.25
#define DEVIATIONS 4 /* above the mean, by which nearly all answers come */
#define SAMPLES_MIN 5 /* answers needed before the time is used */

void
answer_time_note(struct answer_time *t, int64_t us)
{
	double off = (double)us - t->us;

	if (!t->n++) {
		t->us = (double)us;
		t->deviation_us = (double)us / 2;
		return;
	}
	t->deviation_us +=
	    DEVIATION_GAIN * ((off < 0 ? -off : off) - t->deviation_us);
	t->us += GAIN * off;
}

int64_t
answer_time_most(const struct answer_time *t)
{
	if (t->n < SAMPLES_MIN)
		return 0;
	return (int64_t)(t->us + DEVIATIONS * t->deviation_us);
}
