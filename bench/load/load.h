#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <glib.h>
#include <stdint.h>

#include "histogram.h"
#include "dialect.h"
#include "history.h"
#include "http.h"
#include "io.h"

/**
 * DOC: Open-loop load tool.
 *
 * Calls start at planned times whether or not earlier calls have ended, and
 * latency counts from the planned time. options.c reads the command line,
 * arrive.c plans and starts calls, call.c sends a call and receives its answer,
 * judge.c derives the outcome of a call from its answer, report.c prints.
 */

#define KEY_MAX 64
#define REQ_MAX 128
#define DIGEST_HEX 65 /* bytes with the final NUL */
#define MIX_MAX 16
#define DAEMONS_MAX 64

/** struct mix_entry - kind of call, from one --call option */
struct mix_entry {
	char *method;
	char *path;
	double weight;
	int once; /* not idempotent: must not run twice */
};

struct options {
	double rate;
	double seconds;
	int fixed; /* constant gaps instead of a Poisson process */
	guint32 seed;
	char *service;
	int timeout_ms;
	int body_bytes;
	int straight; /* the addresses are targets, not daemons */
	int repeat_unknown;
	int figures;
	int connections;
	int nmix;
	struct mix_entry mix[MIX_MAX];
	int nto;
	char *to_ip[DAEMONS_MAX];
	int to_port[DAEMONS_MAX];
	char *history;
	const struct dialect *dialect;
};

/** enum outcome - how a call ended, from the view of the caller
 *
 * OUTCOME_BAD is a fault of the system whatever failed during the call; the
 * others may be correct.
 */
enum outcome {
	OUTCOME_WHOLE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_FAILED,
	OUTCOME_BAD, /* the answer belongs to another call, or is not whole
			but was passed as whole */
	OUTCOME_BROKEN, /* the answer was cut off or did not arrive in time */
	OUTCOMES
};

struct load {
	struct options opt;
	struct io_loop *loop;
	GMainLoop *main;
	GRand *rand;
	struct history history;
	struct http_pool *pool[DAEMONS_MAX];
	struct io_timer arrival;
	int64_t start;
	int64_t next_at; /* planned start of the next call */
	uint64_t started;
	int inflight;
	GQueue waiting; /* struct call, waiting for a free connection */
	uint64_t outcomes[OUTCOMES];
	uint64_t timeouts;
	uint64_t repeats;
	uint64_t moved; /* moves of calls to another daemon, nothing was sent */
	struct histogram latency; /* of calls with a whole answer */
	struct histogram lateness; /* of the starts of calls against the plan */
};

/** struct call - one call and its repeats */
struct call {
	struct load *load;
	const struct mix_entry *mix;
	uint64_t id;
	char key[KEY_MAX];
	int64_t planned_at; /* start of the call by the plan */
	int daemon; /* index into opt.to_* */
	int failovers; /* to another daemon before anything was sent */
	int attempts;
	struct http_call *http;
	struct io_timer timer;
	GChecksum *answer_sum; /* of the body received */
	GChecksum *request_sum; /* of the body sent */
	int64_t sent_bytes;
	int64_t answer_bytes;
	size_t key_matched; /* leading bytes of the answer that equal the key */
	int status;
	int timed_out;
	char outcome[16];
	int not_run; /* the target sent a Not-Run field */
	char digest[DIGEST_HEX];
	char request_digest[DIGEST_HEX];
	char answer_key[KEY_MAX];
	char req[REQ_MAX]; /* Kumquatrock-Request-Id */
};

int options_parse(struct options *, int argc, char **argv);

void arrive_start(struct load *);

void call_start(struct load *, const struct mix_entry *, int64_t planned_at);
/** call_next_waiting() - sends the first waiting call if possible */
void call_next_waiting(struct load *);

/** call_outcome() - outcome of a call whose answer has arrived */
enum outcome call_outcome(const struct call *);
const char *outcome_name(enum outcome);

void report_print(const struct load *);

#endif
