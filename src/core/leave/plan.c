#include "leave.h"

#define EXIT_US \
	400000 /* the process begins to end so long before it is killed */
#define SPARE_US 100000 /* it waits for nothing in the last of that time */
#define ANSWER_US 100000 /* for the last answers to be sent */
/* At least this long is left to finish requests after the ports have closed. */
#define FINISH_US 500000
#define GRACE_LEFT 3 /* part of the grace that no suspension takes */
#define WAY_US 50000 /* of a request and its answer */

static int64_t
at_least(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t
at_most(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t
leave_since(int64_t since, int64_t now, int64_t grace_us)
{
	return at_least(since, now - grace_us + grace_us / GRACE_LEFT);
}

void
leave_plan_init(struct leave_plan *p, int64_t since, int64_t now,
    int64_t serve_us, int64_t grace_us)
{
	p->end = since + at_least(grace_us - EXIT_US, 0);
	p->exit_by = since + at_least(grace_us - SPARE_US, 0);
	p->answer_by = at_least(p->end - ANSWER_US, since);
	p->close_by = at_least(p->answer_by - FINISH_US, since);
	p->serve_until = at_most(p->close_by, now + serve_us);
	p->late_from = at_most(p->close_by, since + serve_us);
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

static enum leave_basis
basis(const struct leave_plan *p, int64_t now, int64_t deadline,
    const struct answer_time *t)
{
	if (!p->end)
		return LEAVE_NOT_STOPPING;
	if (leave_fits(p, now, deadline, 0))
		return LEAVE_BY_BOUND;
	if (t && now < p->late_from &&
	    leave_fits(p, now, deadline, answer_time_most(t)))
		return LEAVE_BY_USUAL;
	return LEAVE_REFUSED;
}

struct leave_decision
leave_decide(const struct leave_plan *p, int64_t now, int64_t deadline,
    const struct answer_time *t)
{
	return (struct leave_decision){ basis(p, now, deadline, t),
		p->end ? p->answer_by - now : 0 };
}

const char *
leave_basis_name(enum leave_basis b)
{
	static const char *const names[] = { "refused", "none", "bound",
		"usual" };

	return names[b];
}
