#include "wire.h"

const char *
wire_reason_name(uint32_t reason)
{
	static const char *const names[] = { "none", "full", "deadline",
		"cold-start", "draining", "data-centre-out", "behind",
		"no-target", "shed-by-target", "lost", "forgotten", "paused",
		"slow", "crashes-targets", "version" };

	if (reason >= sizeof names / sizeof *names)
		return "other";
	return names[reason];
}
