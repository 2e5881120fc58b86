#include "descriptors.h"

/* The least of each share, so that a daemon works with few descriptors, too;
 * then nothing may be left for the rest. */
#define CALLERS_MIN 16
#define REFUSED_MIN 4
#define PORT_MIN 8
#define HELLOS_MIN 16
/* The most of those that need not grow with the number of callers; each daemon
 * of 990 may connect at once. */
#define REFUSED_MAX 64
#define PORT_MAX 32
#define HELLOS_MAX 1024
#define CALLERS_MAX 1000000

static int
share(long n, int least, int most)
{
	if (n < least)
		return least;
	return n > most ? most : (int)n;
}

void
descriptors_divide(struct descriptors *d, long n)
{
	d->callers = share(n / 8 * 5, CALLERS_MIN, CALLERS_MAX);
	d->refused = share(n / 32, REFUSED_MIN, REFUSED_MAX);
	d->port = share(n / 16, PORT_MIN, PORT_MAX);
	d->hellos = share(n / 16, HELLOS_MIN, HELLOS_MAX);
}
