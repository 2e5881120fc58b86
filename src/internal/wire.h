#ifndef KQ_WIRE_H
#define KQ_WIRE_H

#include <rpc/types.h>
#include <rpc/xdr.h>
#include <stddef.h>
#include <stdint.h>

#include "http.h"
#include "load.h"

/**
 * DOC: Messages between daemons, as ONC RPC (RFC 5531) arguments and results
 * in XDR (RFC 4506).
 *
 * Each routine works both ways in the manner of XDR: it encodes or decodes by
 * the direction of its stream. Decoded strings live in the arena given; the
 * bytes of a body stay in the record and are not copied.
 */

#define WIRE_PROGRAM 0x20004b51u
#define WIRE_VERSION 1u

enum wire_procedure {
	WIRE_NULL = 0,
	WIRE_HELLO = 1, /* first on each connection */
	WIRE_CALL =
	    2, /* request head and its first bytes; reply: answer head */
	WIRE_BODY = 3, /* one way: further bytes of a request or an answer */
	WIRE_CREDIT = 4, /* one way: the receiver took that many bytes */
	WIRE_CANCEL = 5, /* one way: the caller side gave the call up */
	WIRE_PROBE = 6, /* reply: load of the inbound side */
	WIRE_PULL = 7 /* reply: objects changed after a version */
};

#define WIRE_CHUNK_MAX 32768 /* bytes of a body in one message */
#define WIRE_WINDOW 262144 /* bytes of a body sent without credit */
#define WIRE_RECORD_MAX 1179648 /* bytes; a pull page and its frame fit */
#define WIRE_STRING_MAX 16384
#define WIRE_OBJECT_MAX 1048576 /* bytes; any value of an object fits */
#define WIRE_NONCE_LEN 16

/** struct wire_arena - memory for decoded strings */
struct wire_arena {
	char *base;
	size_t used;
	size_t size;
};

enum {
	WIRE_CALL_IDEMPOTENT = 1,
	WIRE_CALL_REPEAT = 2, /* the caller brought the request id */
	WIRE_CALL_MORE = 4, /* more of the body follows */
	WIRE_CALL_MOVABLE = 8, /* may be refused by a crowded target */
	WIRE_CALL_CHOOSY = 16 /* may be refused by a slow target */
};

/**
 * struct wire_call - arguments of WIRE_CALL
 * @config_version: version the call was picked under
 * @incarnation: incarnation of the inbound side that was picked
 * @left_us: time left until the deadline
 * @objective_us: time left until an answer is late, 0 when it is by now
 * @retry_budget: attempts the levels below may add, in thousandths
 * @depth: levels above
 * @id: request id, empty for idempotent requests
 * @trace: W3C traceparent, empty when not sampled
 * @length: as in struct http_head
 */
struct wire_call {
	uint64_t config_version;
	uint64_t incarnation;
	uint32_t left_us;
	uint32_t objective_us;
	uint32_t flags;
	uint32_t retry_budget;
	uint32_t depth;
	char *service;
	char *method;
	char *path;
	char *id;
	char *trace;
	int64_t length;
	uint32_t nfield;
	struct http_field field[HTTP_FIELDS_MAX];
	const void *body;
	uint32_t body_len;
};

enum wire_outcome {
	WIRE_ANSWER = 1, /* the target's answer follows */
	WIRE_KEPT = 2, /* the kept answer of an earlier run follows */
	WIRE_NOT_RUN = 3, /* no byte was given to the target, or it said so */
	WIRE_UNKNOWN = 4, /* a byte may have reached the target */
	WIRE_GONE = 5 /* the id's incarnation is not here */
};

#define WIRE_REASONS 13

enum wire_reason {
	WIRE_REASON_NONE = 0,
	WIRE_REASON_FULL,
	WIRE_REASON_DEADLINE,
	WIRE_REASON_COLD,
	WIRE_REASON_DRAINING,
	WIRE_REASON_OUT,
	WIRE_REASON_BEHIND, /* the caller side's version is too old */
	WIRE_REASON_NO_TARGET,
	WIRE_REASON_SHED, /* the target refused it */
	WIRE_REASON_LOST, /* connection to the target lost */
	WIRE_REASON_FORGOTTEN,
	WIRE_REASON_PAUSED,
	WIRE_REASON_SLOW /* the target's machine is slow just now */
};

/** wire_reason_name() - word for a reason, for logs and answers */
const char *wire_reason_name(uint32_t reason);

enum { WIRE_REPLY_MORE = 1 };

/**
 * struct wire_reply - result of WIRE_CALL; see struct wire_call
 * @clock: the inbound side's clock, microseconds
 * @used: extra attempts made below
 */
struct wire_reply {
	int64_t clock;
	uint32_t used;
	uint32_t outcome;
	uint32_t reason;
	uint64_t config_version;
	struct load_report load;
	uint32_t flags;
	uint32_t status;
	int64_t length;
	uint32_t nfield;
	struct http_field field[HTTP_FIELDS_MAX];
	const void *body;
	uint32_t body_len;
};

enum { WIRE_BODY_LAST = 1, WIRE_BODY_BROKEN = 2, WIRE_BODY_ANSWER = 4 };

/** struct wire_body - arguments of WIRE_BODY; @call is the xid of WIRE_CALL */
struct wire_body {
	uint32_t call;
	uint32_t flags;
	const void *body;
	uint32_t body_len;
};

/** struct wire_credit - arguments of WIRE_CREDIT and, without @bytes, of
 * WIRE_CANCEL */
struct wire_credit {
	uint32_t call;
	uint32_t flags; /* WIRE_BODY_ANSWER: of the answer's body */
	uint32_t bytes;
};

/** struct wire_probe_result - result of WIRE_PROBE; @clock as in a reply */
struct wire_probe_result {
	int64_t clock;
	struct load_report load;
};

/** struct wire_hello - arguments and results of WIRE_HELLO; @clock is the
 * sender's, microseconds */
struct wire_hello {
	int64_t clock;
	uint32_t key; /* key id */
	uint64_t incarnation;
	unsigned char nonce[WIRE_NONCE_LEN];
};

/** struct wire_pull - arguments of WIRE_PULL: struct config_pull */
struct wire_pull {
	uint64_t after;
	uint32_t full;
	uint32_t number;
};

#define WIRE_PULL_OBJECTS_MAX 512
#define WIRE_PULL_BYTES 65536 /* names and values of one page */

enum { WIRE_STATE_MORE = 1, WIRE_STATE_FULL = 2 };

/** struct wire_object - one object of a WIRE_PULL result */
struct wire_object {
	uint32_t kind;
	uint32_t removed;
	uint64_t version;
	char *name;
	const void *value;
	uint32_t value_len; /* 0 when removed */
};

/** struct wire_state - result of WIRE_PULL: a page as in config.h */
struct wire_state {
	uint64_t after;
	uint64_t upto;
	uint64_t complete;
	uint32_t flags;
	uint32_t number;
	uint32_t nobject;
	struct wire_object object[WIRE_PULL_OBJECTS_MAX];
};

int wire_string(XDR *, char **, struct wire_arena *);
int wire_fields(XDR *, uint32_t *n, struct http_field *, struct wire_arena *);
int wire_blob(XDR *, const void **, uint32_t *len, uint32_t max);
int wire_call(XDR *, struct wire_call *, struct wire_arena *);
int wire_reply(XDR *, struct wire_reply *, struct wire_arena *);
int wire_load(XDR *, struct load_report *);
int wire_probe_result(XDR *, struct wire_probe_result *);
int wire_body(XDR *, struct wire_body *);
int wire_credit(XDR *, struct wire_credit *);
int wire_hello(XDR *, struct wire_hello *);
int wire_pull(XDR *, struct wire_pull *);
int wire_state(XDR *, struct wire_state *, struct wire_arena *);

#endif
