#include "daemon/process.h"

#include <limits.h>
#include <sys/resource.h>

#define DESCRIPTORS_DEFAULT 1024 /* if the limit can't be read */

void
process_descriptors(struct descriptors *d)
{
	struct rlimit r;
	long n = DESCRIPTORS_DEFAULT;

	if (!getrlimit(RLIMIT_NOFILE, &r))
		n = r.rlim_cur > LONG_MAX ? LONG_MAX : (long)r.rlim_cur;
	descriptors_divide(d, n);
}
