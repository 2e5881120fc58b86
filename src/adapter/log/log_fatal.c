#include <errno.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "adapter/log/log_impl.h"

static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };

/* Appends a number in decimal. */
static size_t
append_number(char *p, unsigned n)
{
	char digits[12];
	size_t i = sizeof digits, len;

	do {
		digits[--i] = (char)('0' + n % 10);
		n /= 10;
	} while (n);
	len = sizeof digits - i;
	memcpy(p, digits + i, len);
	return len;
}

/* Only functions that are safe in a signal handler are called here. */
static void
on_fatal(int signal_number)
{
	static const char head[] =
	    "level=error event=107 the process ends by itself signal=";
	char text[sizeof head + 16];
	size_t n = sizeof head - 1;

	log_sink_dump();
	memcpy(text, head, n);
	n += append_number(text + n, (unsigned)signal_number);
	text[n++] = '\n';
	while (write(STDOUT_FILENO, text, n) < 0 && errno == EINTR)
		continue;
	raise(signal_number);
}

void
log_catch_fatal(void)
{
	struct sigaction a = { 0 }, old;
	size_t i;

	a.sa_handler = on_fatal;
	a.sa_flags = (int)SA_RESETHAND;
	sigemptyset(&a.sa_mask);
	for (i = 0; i < G_N_ELEMENTS(signals); i++)
		if (!sigaction(signals[i], NULL, &old) &&
		    old.sa_handler == SIG_DFL)
			sigaction(signals[i], &a, NULL);
}
