#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#include "adapter/log/log_impl.h"

#define OUTPUT_WAIT_S 1 /* at most, for an output that takes no lines */

static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };
static const char fatal_text[] = " the process ends by itself signal=";
static volatile sig_atomic_t fatal_signal;

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

void
log_fatal_line(const char *level, enum event e, const char *text, size_t n)
{
	static const char end[] = "\n";
	char number[12];
	struct iovec v[] = {
		{ (void *)level, strlen(level) },
		{ number, append_number(number, e) },
		{ (void *)text, n },
		{ (void *)end, 1 },
	};

	while (writev(STDOUT_FILENO, v, G_N_ELEMENTS(v)) < 0 && errno == EINTR)
		continue;
}

static void
unblock(int signal_number)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, signal_number);
	pthread_sigmask(SIG_UNBLOCK, &set, NULL);
}

/* The output takes nothing: ends without the rest of the lines. */
static void
on_late(int unused)
{
	unblock(fatal_signal);
	raise(fatal_signal);
}

/* Only functions that are safe in a signal handler are called here. */
static void
on_fatal(int signal_number)
{
	char text[sizeof fatal_text + 12];
	size_t n = sizeof fatal_text - 1;

	fatal_signal = signal_number;
	signal(SIGALRM, on_late);
	unblock(SIGALRM);
	alarm(OUTPUT_WAIT_S);
	log_sink_dump();
	log_ids_dump();
	memcpy(text, fatal_text, n);
	n += append_number(text + n, (unsigned)signal_number);
	log_fatal_line("level=error event=", EVENT_FATAL, text, n);
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
