#include "leave.h"

#define EXIT_US \
	400000 /* the process begins to end so long before it is killed */
#define SPARE_US 100000 /* it waits for nothing in the last of that time */
#define ANSWER_US 100000 /* for the last answers to be sent */
/* At least this long is left to finish requests after the ports have closed. */
#define FINISH_US 500000
#define WAY_US 50000 /* of a request and its answer */

void
leave_plan_init(struct leave_plan *p, int64_t now, int64_t serve_us,
    int64_t grace_us)
{
	p->end = now + (grace_us > EXIT_US ? grace_us - EXIT_US : 0);
	p->exit_by = now + (grace_us > SPARE_US ? grace_us - SPARE_US : 0);
	p->answer_by = p->end - ANSWER_US;
	if (p->answer_by < now)
		p->answer_by = now;
	p->close_by = p->answer_by - FINISH_US;
	if (p->close_by < now)
		p->close_by = now;
	p->serve_until =
	    p->close_by < now + serve_us ? p->close_by : now + serve_us;
}

int
leave_may_close(const struct leave_plan *p, int64_t now, int target_idle)
{
	if (now < p->serve_until)
		return 0;
	return target_idle || now >= p->close_by;
}

int
leave_fits(const struct leave_plan *p, int64_t now, int64_t deadline,
    int64_t usual_us)
{
	if (!p->end || deadline <= p->answer_by)
		return 1;
	return usual_us && now + usual_us + WAY_US <= p->answer_by;
}

int
leave_fits_kind(const struct leave_plan *p, int64_t now, int64_t deadline,
    const struct answer_time *t)
{
	int64_t usual_us = 0;

	if (p->end && t)
		usual_us = now < p->serve_until ? answer_time_most(t)
						: answer_time_most_late(t);
	return leave_fits(p, now, deadline, usual_us);
}
