#include "impl.h"

/* Utilization up to which a call at home hardly waits, so that leaving the data
 * centre gains nothing. */
#define FULL 0.95
/* Time constant with which the spill approaches its target. */
#define APPROACH_US 300000.0
/* Least part of demand assumed at home: with all of it away, the load there no
 * longer tells the demand. */
#define HOME_MIN 0.1
/* Longest time for which the spill rises in one step: a caller that rarely
 * calls would otherwise follow a single report at once. */
#define RISE_MAX_US 200000
/* Width of the band below the price, in utilization, over which the spill rises
 * from 0 to the whole excess, and what old reports add to it for each time that
 * a call takes. */
#define BAND 0.5
#define BAND_PER_AGE 0.2
/* Below this a spill that is on its way to 0 ends. */
#define SPILL_MIN 0.002

static int
known(const struct crossing_side *home, const struct crossing_side *away)
{
	return home->limit > 0 && away->limit > 0 && home->demand > 0 &&
	       (home->latency_us > 0 || away->latency_us > 0);
}

/* Part, 0..1, of what home has too much of that should leave: all of it from
 * where a call waits longer at home than away by the price, and nothing from
 * where it waits less by a band. Old reports show a queue late, which a narrow
 * band would answer with swings. */
static double
worth(const struct crossing_side *home, const struct crossing_side *away,
    double cost_us)
{
	double us = home->latency_us > 0 ? home->latency_us : away->latency_us;
	double gain = home->utilization - away->utilization - cost_us / us;
	double part = 1 + gain / (BAND + BAND_PER_AGE * home->age_us / us);

	if (part < 0)
		return 0;
	return part < 1 ? part : 1;
}

double
pick_crossing_target(double spill, const struct crossing_side *home,
    const struct crossing_side *away, double cost_us)
{
	double stays = 1 - spill > HOME_MIN ? 1 - spill : HOME_MIN;
	double demand, excess, even;

	if (!known(home, away))
		return 0;
	demand = home->demand / stays;
	excess = 1 - FULL / demand;
	even = spill + (home->demand - away->demand) /
			   (demand * (1 + home->limit / away->limit));
	if (even < excess)
		excess = even;
	if (excess <= 0)
		return 0;
	return worth(home, away, cost_us) * (excess < 1 ? excess : 1);
}

double
pick_crossing_approach(double spill, double target, int64_t elapsed_us)
{
	double part;

	if (target > spill && elapsed_us > RISE_MAX_US)
		elapsed_us = RISE_MAX_US;
	part = (double)elapsed_us / APPROACH_US;
	spill += (part < 1 ? part : 1) * (target - spill);
	return target <= 0 && spill < SPILL_MIN ? 0 : spill;
}
