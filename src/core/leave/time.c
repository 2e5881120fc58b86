#include "leave.h"

#define GAIN 0.125 /* of a new time in the mean */
#define DEVIATION_GAIN 0.25
#define DEVIATIONS 4 /* above the mean, by which nearly all answers come */
#define SAMPLES_MIN 5 /* answers needed before the time is used */
/* an answer may be this many times as far from the mean as any that was seen */
#define UNSEEN 2.0
#define FEW_SAMPLES 25.0 /* so many answers show half of the spread */

/* A few long answers among many short ones leave no trace in the mean. */
static void
note_longest(struct answer_time *t, int64_t us)
{
	if (t->n % ANSWER_TIME_WINDOW == 0) {
		t->longest_us[1] = t->longest_us[0];
		t->longest_us[0] = 0;
	}
	answer_time_note_open(t, us);
}

void
answer_time_note_open(struct answer_time *t, int64_t us)
{
	if (us > t->longest_us[0])
		t->longest_us[0] = us;
}

void
answer_time_note(struct answer_time *t, int64_t us)
{
	double off = (double)us - t->us;

	note_longest(t, us);
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
	double spread = DEVIATIONS * t->deviation_us;
	int i;

	if (t->n < SAMPLES_MIN)
		return 0;
	for (i = 0; i < 2; i++)
		if ((double)t->longest_us[i] - t->us > spread)
			spread = (double)t->longest_us[i] - t->us;
	return (int64_t)(t->us + spread * (UNSEEN + FEW_SAMPLES / t->n));
}
