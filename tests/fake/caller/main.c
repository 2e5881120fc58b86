#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"

#define THREADS 40
#define SEED_FIRST 17 /* of the first thread's random numbers */
#define DEADLINE_MS 4000 /* of requests whose answers are read slowly */
#define OPEN_PER_S 400 /* connections whose answers are read slowly */
#define RETRY_US 20000 /* after a connection that could not be opened */
#define HALF_PAUSE_MS 50 /* from requests to the end of the sending side */
#define REFUSED_MAX 25 /* in a row, until a thread ends */

static const char *const way_names[WAYS] = { "whole", "halves", "late", "body",
	"pipelined" };

struct thread {
	struct caller *caller;
	guint32 seed;
};

static gpointer
run(gpointer arg)
{
	struct thread *t = arg;
	GRand *rand = g_rand_new_with_seed(t->seed);
	int refused = 0;

	while (
	    g_get_monotonic_time() < t->caller->end && refused < REFUSED_MAX) {
		if (!connection_play(t->caller,
			(enum way)g_rand_int_range(rand, 0, WAYS), rand)) {
			refused = 0;
			continue;
		}
		refused++;
		g_usleep(RETRY_US);
	}
	g_rand_free(rand);
	return NULL;
}

static int
parse_address(const char *text, struct sockaddr_in *a)
{
	char **part = g_strsplit(text, ":", 2);
	int bad = !part[0] || !part[1] ||
		  inet_pton(AF_INET, part[0], &a->sin_addr) != 1;

	a->sin_family = AF_INET;
	if (!bad)
		a->sin_port =
		    htons((uint16_t)g_ascii_strtoull(part[1], NULL, 10));
	g_strfreev(part);
	return bad ? -1 : 0;
}

static int
print_counts(const struct counts *n)
{
	int i, cut = 0;

	printf("connections %d\n", n->connections);
	for (i = 0; i < WAYS; i++) {
		printf("%s: sent %d answered %d cut %d\n", way_names[i],
		    n->sent[i], n->answered[i], n->cut[i]);
		cut += n->cut[i];
	}
	return cut;
}

/* Returns -1 if a connection could not be opened. */
static int
play_batches(const struct batch *b, int n)
{
	static const char *const names[BATCH_MAX] = { "first", "second",
		"third" };
	struct batch_counts k = { 0 };
	int i;

	for (i = 0; i < n; i++)
		if (batch_play(b, &k))
			return -1;
	printf("batches %d\n", k.batches);
	for (i = 0; i < BATCH_MAX; i++)
		printf("%s: whole %d error %d cut %d\n", names[i], k.whole[i],
		    k.error[i], k.cut[i]);
	return 0;
}

int
main(int argc, char **argv)
{
	struct arg_str *to = arg_str1(NULL, "to", "IP:PORT", "daemon");
	struct arg_str *host = arg_str1(NULL, "host", "NAME", "Host field");
	struct arg_str *path = arg_str1(NULL, "path", "PATH", "path");
	struct arg_int *seconds =
	    arg_int1(NULL, "seconds", "N", "longest duration");
	struct arg_int *batches =
	    arg_int0(NULL, "batches", "N", "requests at once, N times");
	struct arg_str *second =
	    arg_str0(NULL, "second-host", "NAME", "Host field of the second");
	struct arg_str *third =
	    arg_str0(NULL, "third-host", "NAME", "Host field of the third");
	struct arg_int *kb_per_s = arg_int0(NULL, "kb-per-s", "N", "read rate");
	struct arg_int *slow = arg_int0(NULL, "slow", "N",
	    "only hold so many connections whose answers are read slowly");
	struct arg_int *rate = arg_int0(NULL, "bytes-per-s", "N",
	    "read by each of them; 0, which is the default: the status alone");
	struct arg_int *deadline = arg_int0(NULL, "deadline-ms", "N",
	    "of the requests of --slow, default 4000");
	struct arg_int *per_s = arg_int0(NULL, "open-per-s", "N",
	    "of them opened a second, default 400");
	struct arg_lit *body =
	    arg_lit0(NULL, "body", "with --slow, send bodies without end");
	struct arg_int *head_bytes = arg_int0(NULL, "head-bytes", "N",
	    "with --slow, send so much of a head that does not end");
	struct arg_int *half = arg_int0(NULL, "half-close", "N",
	    "connections whose sending side ends after their requests");
	struct arg_int *requests = arg_int0(NULL, "requests", "N",
	    "with --half-close, at once on each, default 1");
	struct arg_str *method =
	    arg_str0(NULL, "method", "NAME", "with --half-close, default GET");
	struct arg_lit *kept = arg_lit0(NULL, "kept",
	    "with --half-close, after an answer on the connection");
	struct arg_lit *http10 =
	    arg_lit0(NULL, "http10", "with --half-close, in HTTP/1.0");
	struct arg_int *leave = arg_int0(NULL, "leave-ms", "N",
	    "with --half-close, close the connection so much later");
	struct arg_end *end = arg_end(9);
	void *table[] = { to, host, path, seconds, batches, second, third,
		kb_per_s, slow, rate, deadline, per_s, body, head_bytes, half,
		requests, method, kept, http10, leave, end };
	struct half_way half_way;
	struct slow_way way;
	struct thread t[THREADS];
	GThread *thread[THREADS];
	struct caller c = { 0 };
	struct batch b;
	int i, cut;

	if (arg_parse(argc, argv, table) > 0 ||
	    parse_address(to->sval[0], &c.to)) {
		arg_print_errors(stderr, end, argv[0]);
		arg_print_glossary(stderr, table, NULL);
		return EXIT_FAILURE;
	}
	c.host = host->sval[0];
	c.path = path->sval[0];
	if (batches->count && second->count && kb_per_s->count) {
		b = (struct batch){ c.to,
			{ c.host, second->sval[0],
			    third->count ? third->sval[0] : NULL },
			c.path, kb_per_s->ival[0] };
		cut = play_batches(&b, batches->ival[0]);
		arg_freetable(table, G_N_ELEMENTS(table));
		return cut ? EXIT_FAILURE : EXIT_SUCCESS;
	}
	c.end = g_get_monotonic_time() + seconds->ival[0] * G_USEC_PER_SEC;
	c.sends_body = body->count;
	c.head_bytes = head_bytes->count ? head_bytes->ival[0] : 0;
	if (half->count) {
		half_way = (struct half_way){ half->ival[0],
			requests->count ? requests->ival[0] : 1,
			method->count ? method->sval[0] : "GET", kept->count,
			http10->count,
			deadline->count ? deadline->ival[0] : DEADLINE_MS,
			HALF_PAUSE_MS, leave->count,
			leave->count ? leave->ival[0] : 0 };
		half_play(&c, &half_way);
		arg_freetable(table, G_N_ELEMENTS(table));
		return EXIT_SUCCESS;
	}
	if (slow->count) {
		way.connections = slow->ival[0];
		way.bytes_per_s = rate->count ? rate->ival[0] : 0;
		way.open_per_s = per_s->count ? per_s->ival[0] : OPEN_PER_S;
		way.deadline_ms =
		    deadline->count ? deadline->ival[0] : DEADLINE_MS;
		slow_play(&c, &way);
		arg_freetable(table, G_N_ELEMENTS(table));
		return EXIT_SUCCESS;
	}
	for (i = 0; i < THREADS; i++) {
		t[i] = (struct thread){ &c, (guint32)(SEED_FIRST + i) };
		thread[i] = g_thread_new("caller", run, &t[i]);
	}
	for (i = 0; i < THREADS; i++)
		g_thread_join(thread[i]);
	cut = print_counts(&c.counts);
	arg_freetable(table, G_N_ELEMENTS(table));
	return cut ? EXIT_FAILURE : EXIT_SUCCESS;
}
