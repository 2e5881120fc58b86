#include "daemon/ports.h"

#include <signal.h>

#include "io.h"
#include "log.h"

#define WAIT_US 5000000 /* for a port that is in use, at most */
#define STEP_US 50000 /* between two tries */

static int
open_once(const struct settings *s, uint64_t incarnation, struct control **c,
    struct data **d, struct kq_error *e)
{
	*c = control_new(s, incarnation, e);
	if (!*c)
		return -1;
	*d = data_new(s, incarnation, &control_data_events, *c, e);
	if (*d)
		return 0;
	control_stop(*c);
	control_free(*c);
	return -1;
}

static int
is_told_to_stop(void)
{
	sigset_t set;

	return !sigpending(&set) &&
	       (sigismember(&set, SIGTERM) || sigismember(&set, SIGINT));
}

enum ports_outcome
ports_open(const struct settings *s, uint64_t incarnation, struct control **c,
    struct data **d, struct kq_error *e)
{
	int64_t until = io_clock() + WAIT_US;
	int tries = 0;

	while (open_once(s, incarnation, c, d, e)) {
		if (!tries++)
			log_event(EVENT_LISTEN_WAITS, G_LOG_LEVEL_WARNING,
			    io_clock(),
			    "a port can't be opened yet; trying again for "
			    "up to %d s: %s",
			    WAIT_US / G_USEC_PER_SEC, e->text);
		if (is_told_to_stop())
			return PORTS_STOPPED;
		if (io_clock() >= until)
			return PORTS_FAILED;
		g_usleep(STEP_US);
	}
	return PORTS_OPEN;
}
