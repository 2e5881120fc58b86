#include "core/rollout/impl.h"

#include <string.h>

static const char *const reasons[] = {
	[ROLLOUT_WAITS] = "waits",
	[ROLLOUT_ORDERED] = "ordered",
	[ROLLOUT_RATE] = "rate",
	[ROLLOUT_GOOD] = "good",
	[ROLLOUT_GOOD_FEW] = "good-few",
	[ROLLOUT_MORE] = "more",
	[ROLLOUT_OLD_IDLE] = "old-idle",
	[ROLLOUT_DEADLINE] = "deadline",
	[ROLLOUT_BAD] = "bad",
	[ROLLOUT_NO_EVIDENCE] = "no-evidence",
	[ROLLOUT_NO_TARGETS] = "no-targets",
};

const char *
rollout_reason_name(enum rollout_reason reason)
{
	return reason < G_N_ELEMENTS(reasons) ? reasons[reason] : "";
}

const char *
rollout_state_name(enum rollout_state state)
{
	switch (state) {
	case ROLLOUT_RUNNING:
	case ROLLOUT_SHIFTING:
		return "running";
	case ROLLOUT_COMPLETED:
		return "completed";
	case ROLLOUT_ROLLED_BACK:
		return "rolled_back";
	default:
		return "";
	}
}

enum rollout_state
rollout_state_of(const char *name, double share)
{
	if (!strcmp(name, "running"))
		return share >= ROLLOUT_SHIFT_SHARE ? ROLLOUT_SHIFTING
						    : ROLLOUT_RUNNING;
	if (!strcmp(name, "completed"))
		return ROLLOUT_COMPLETED;
	if (!strcmp(name, "rolled_back"))
		return ROLLOUT_ROLLED_BACK;
	return ROLLOUT_NONE;
}

int
rollout_time_bucket(int64_t us)
{
	int64_t ms = us / 1000;
	int i = 0;

	while (ms > 0 && i < ROLLOUT_TIMES - 1) {
		ms /= 2;
		i++;
	}
	return i;
}

uint32_t
rollout_route_answers(const struct rollout_route *r)
{
	uint32_t n = r->failed;
	int i;

	for (i = 0; i < ROLLOUT_TIMES; i++)
		n += r->time[i];
	return n;
}
