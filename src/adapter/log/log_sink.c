#include "adapter/log/log_impl.h"

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#define BUFFER_BYTES \
	262144 /* a second of lines at the full rate, with a blocked output */
#define GATHER_MS 20 /* for which lines are collected for one write */

/* Lines are queued in a ring buffer and written by a separate thread, so that
 * an output that nobody reads blocks only that thread. */
struct sink {
	GMutex lock;
	GCond filled;
	GThread *thread;
	char *ring;
	size_t head; /* bytes put in since the start */
	size_t tail; /* bytes written since the start */
	uint64_t lost_unreported; /* dropped lines that no line counts yet */
	uint64_t lost_total; /* lines dropped since the start */
	int flush_ids; /* the thread is to call log_ids_flush() */
	int stop; /* write what is queued, then end the thread */
	int ended; /* the thread has ended */
	GCond ended_cond;
};

static struct sink sink;

static void
ring_append(const char *p, size_t n)
{
	size_t at = sink.head % BUFFER_BYTES;
	size_t first = MIN(n, BUFFER_BYTES - at);

	memcpy(sink.ring + at, p, first);
	memcpy(sink.ring, p + first, n - first);
	sink.head += n;
}

static void
put_lost_count(void)
{
	char text[64];
	int n;

	if (!sink.lost_unreported)
		return;
	n = g_snprintf(text, sizeof text,
	    "level=warning lines_lost=%" G_GUINT64_FORMAT "\n",
	    sink.lost_unreported);
	if (sink.head - sink.tail + (size_t)n > BUFFER_BYTES)
		return;
	ring_append(text, (size_t)n);
	sink.lost_unreported = 0;
}

void
log_sink_put(const char *line, size_t n)
{
	if (!sink.thread) {
		if (write(STDOUT_FILENO, line, n) < 0)
			return; /* there is no other output to report it on */
		return;
	}
	g_mutex_lock(&sink.lock);
	put_lost_count();
	if (sink.head - sink.tail + n > BUFFER_BYTES) {
		sink.lost_unreported++;
		sink.lost_total++;
	} else {
		ring_append(line, n);
		g_cond_signal(&sink.filled);
	}
	g_mutex_unlock(&sink.lock);
}

void
log_sink_flush_ids(void)
{
	if (!sink.thread) {
		log_ids_flush();
		return;
	}
	g_mutex_lock(&sink.lock);
	sink.flush_ids = 1;
	g_cond_signal(&sink.filled);
	g_mutex_unlock(&sink.lock);
}

/* Points @v at the queued bytes, which lie in one or two pieces; returns their
 * number. Both are written at once, so that a line that wraps around the end of
 * the ring is not torn. */
static int
unwritten_pieces(struct iovec *v)
{
	size_t at = sink.tail % BUFFER_BYTES, n = sink.head - sink.tail;
	size_t first = MIN(n, BUFFER_BYTES - at);

	v[0] = (struct iovec){ sink.ring + at, first };
	v[1] = (struct iovec){ sink.ring, n - first };
	return n > first ? 2 : 1;
}

void
log_sink_dump(void)
{
	struct iovec v[2];

	if (sink.ring && sink.head != sink.tail &&
	    writev(STDOUT_FILENO, v, unwritten_pieces(v)) < 0)
		return; /* there is no other output to report it on */
}

/* A closed output makes writev() fail instead of ending the process. */
static void
block_sigpipe(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Waits until lines or ids of requests were put, and collects more of them for
 * a moment; does not wait once the log stops. */
static void
wait_for_lines(void)
{
	while (sink.head == sink.tail && !sink.flush_ids && !sink.stop)
		g_cond_wait(&sink.filled, &sink.lock);
	if (!sink.stop) {
		g_mutex_unlock(&sink.lock);
		g_usleep(GATHER_MS * 1000);
		g_mutex_lock(&sink.lock);
	}
	if (!sink.flush_ids && !sink.stop)
		return;
	sink.flush_ids = 0;
	g_mutex_unlock(&sink.lock);
	log_ids_flush();
	g_mutex_lock(&sink.lock);
}

static gpointer
write_lines(gpointer unused)
{
	struct iovec v[2];
	ssize_t done;
	int n;

	block_sigpipe();
	g_mutex_lock(&sink.lock);
	for (;;) {
		wait_for_lines();
		if (sink.head == sink.tail) {
			if (sink.stop)
				break;
			continue;
		}
		n = unwritten_pieces(v);
		g_mutex_unlock(&sink.lock);
		done = writev(STDOUT_FILENO, v, n);
		g_mutex_lock(&sink.lock);
		if (done < 0 && errno != EINTR && errno != EAGAIN)
			/* output closed: drop the lines and go on */
			done = (ssize_t)(v[0].iov_len + v[1].iov_len);
		if (done > 0) {
			sink.tail += (size_t)done;
			put_lost_count();
		} else if (done < 0 && errno == EAGAIN && sink.stop)
			break;
	}
	sink.ended = 1;
	g_cond_signal(&sink.ended_cond);
	g_mutex_unlock(&sink.lock);
	return NULL;
}

void
log_sink_start(void)
{
	sink.ring = g_malloc(BUFFER_BYTES);
	sink.thread = g_thread_new("log", write_lines, NULL);
}

void
log_sink_stop(int64_t most_us)
{
	int64_t until = g_get_monotonic_time() + most_us;

	if (!sink.thread)
		return;
	g_mutex_lock(&sink.lock);
	sink.stop = 1;
	g_cond_signal(&sink.filled);
	/* A thread that is blocked in a write ends with the process. */
	while (!sink.ended &&
	       g_cond_wait_until(&sink.ended_cond, &sink.lock, until))
		;
	g_mutex_unlock(&sink.lock);
}

uint64_t
log_lines_lost(void)
{
	uint64_t n;

	g_mutex_lock(&sink.lock);
	n = sink.lost_total;
	g_mutex_unlock(&sink.lock);
	return n;
}
