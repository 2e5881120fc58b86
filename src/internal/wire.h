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
 * Each routine with an XDR stream encodes or decodes, depending on the stream's
 * operation, and returns nonzero on success. Decoded strings are stored in
 * the given arena. Decoded bodies and object values are not copied: they point
 * into the received record.
 */

#define WIRE_PROGRAM 0x20004b51u
#define WIRE_VERSION 2u

enum wire_procedure {
	WIRE_NULL = 0,
	WIRE_HELLO = 1, /* first message on each connection */
	/* request head and first bytes of its body; the reply carries the same
	 * parts of the answer */
	WIRE_CALL = 2,
	WIRE_BODY = 3, /* one way: more bytes of a request or answer body */
	WIRE_CREDIT = 4, /* one way: the receiver consumed that many bytes */
	WIRE_CANCEL = 5, /* one way: the outbound side cancelled the attempt */
	WIRE_PROBE = 6, /* reply: load report of the inbound side */
	WIRE_PULL = 7, /* reply: objects changed after a version */
	WIRE_NOTICE = 8 /* one way: content of one of the kinds below */
};

#define WIRE_CHUNK_MAX 32768 /* bytes of a body in one message */
/* most bytes of a body sent before credit is needed */
#define WIRE_WINDOW 262144
/* bytes; large enough for a WIRE_PULL result and the RPC header */
#define WIRE_RECORD_MAX 1179648
#define WIRE_STRING_MAX 16384 /* bytes with the final NUL */
#define WIRE_OBJECT_MAX 1048576 /* bytes; the value of any object fits */
#define WIRE_NONCE_LEN 16 /* bytes */

/** struct wire_arena - memory for decoded strings */
struct wire_arena {
	char *base;
	size_t used;
	size_t size;
};

enum {
	WIRE_CALL_IDEMPOTENT = 1,
	WIRE_CALL_REPEAT = 2, /* the caller supplied the request id */
	WIRE_CALL_MORE = 4, /* more of the body follows in WIRE_BODY */
	/* may be refused because of a long queue: the outbound side can then
	 * pay for another attempt */
	WIRE_CALL_REFUSE_CROWDED = 8,
	/* may be refused because the target is slow or would answer late: the
	 * outbound side has another target to try */
	WIRE_CALL_HAS_ALTERNATIVE = 16,
	/* no daemon that stays can take it, as far as the outbound side knows;
	 * one that stops may then take it by its usual time from its own
	 * callers */
	WIRE_CALL_NOWHERE_ELSE = 32
};

/* The upper half of the flags is the window for the answer's body in KiB, at
 * least WIRE_CHUNK_MAX; 0 stands for WIRE_WINDOW, which a daemon of a version
 * that does not know of this uses in any case. */
#define WIRE_CALL_WINDOW_SHIFT 16
#define WIRE_CALL_WINDOW_UNIT 1024 /* bytes */

/**
 * struct wire_call - arguments of WIRE_CALL
 * @config_version: configuration version under which the target was picked
 * @incarnation: incarnation of the daemon to which the attempt is sent
 * @left_us: time left until the deadline
 * @objective_us: time left until an answer counts as late, 0 if it already does
 * @retries_left: extra attempts that may be made downstream of this call
 * @depth: depth of the calls that the target makes for this one; 1 if this call
 *         entered the system at the sender
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
	uint32_t retries_left;
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
	WIRE_KEPT = 2, /* the stored answer of an earlier run follows */
	/* no byte was sent to the target, or the target said that it did not
	 * run the request */
	WIRE_NOT_RUN = 3,
	WIRE_UNKNOWN = 4, /* a byte may have reached the target */
	/* the call or its request id names another incarnation */
	WIRE_OTHER_INCARNATION = 5
};

#define WIRE_REASONS 15 /* entries of enum wire_reason */

enum wire_reason {
	WIRE_REASON_NONE = 0,
	WIRE_REASON_FULL, /* no room in the queue, or no connection free */
	WIRE_REASON_DEADLINE,
	WIRE_REASON_COLD, /* the target is cold and the queue is full */
	WIRE_REASON_DRAINING,
	WIRE_REASON_OUT, /* the data centre is out */
	/* the inbound side's configuration is older than the version of the
	 * call */
	WIRE_REASON_BEHIND,
	WIRE_REASON_NO_TARGET,
	WIRE_REASON_SHED, /* the target said that it did not run the request */
	WIRE_REASON_LOST, /* the connection to the target was lost */
	/* the request id names another incarnation, or no answer is stored for
	 * it */
	WIRE_REASON_FORGOTTEN,
	/* the daemon was paused, or may not act on its view of the members */
	WIRE_REASON_PAUSED,
	WIRE_REASON_SLOW, /* the target's machine is slow at the moment */
	WIRE_REASON_CRASHES, /* targets ended each time they ran the request */
	WIRE_REASON_VERSION /* a roll-out gives this version no requests */
};

/** wire_reason_name() - name of a reason in logs and answers */
const char *wire_reason_name(uint32_t reason);

enum { WIRE_REPLY_MORE = 1 };

/**
 * struct wire_reply - result of WIRE_CALL; for other fields see struct
 * wire_call
 * @clock: clock of the inbound side, microseconds
 * @retries_used: extra attempts made downstream of the call
 * @status: of the answer, from 200 to 599 if there is one
 */
struct wire_reply {
	int64_t clock;
	uint32_t retries_used;
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

enum {
	WIRE_BODY_LAST = 1, /* nothing more follows */
	WIRE_BODY_BROKEN = 2, /* with WIRE_BODY_LAST: the body is cut short */
	WIRE_BODY_ANSWER = 4, /* part of the answer, not of the request */
	/* of a credit of 0 bytes, the last record of an accepted connection:
	 * calls after that xid were not taken and never will be */
	WIRE_CREDIT_LAST_TAKEN = 8
};

/** struct wire_body - arguments of WIRE_BODY; @call_xid is the xid of WIRE_CALL
 */
struct wire_body {
	uint32_t call_xid;
	uint32_t flags;
	const void *body;
	uint32_t body_len;
};

/** struct wire_credit - arguments of WIRE_CREDIT and, with @bytes 0, of
 * WIRE_CANCEL; @call_xid is the xid of WIRE_CALL */
struct wire_credit {
	uint32_t call_xid;
	/* WIRE_BODY_ANSWER: credit for the answer's body; or
	 * WIRE_CREDIT_LAST_TAKEN */
	uint32_t flags;
	uint32_t bytes;
};

#define WIRE_NOTICE_MAX 4096 /* bytes of content */

/** enum notice_kind - whom a notice is for; other kinds are ignored */
enum notice_kind {
	NOTICE_QUOTA = 1, /* tokens of an organisation, asked for or granted */
	NOTICE_ROLLOUT = 2 /* answers of a target whose version is on trial */
};

/** struct wire_notice - arguments of WIRE_NOTICE; may be lost, so that senders
 * repeat what they have to say */
struct wire_notice {
	uint32_t kind;
	const void *content;
	uint32_t len;
};

/** struct wire_probe_result - result of WIRE_PROBE; @clock as in struct
 * wire_reply */
struct wire_probe_result {
	int64_t clock;
	struct load_report load;
};

/** struct wire_hello - arguments and results of WIRE_HELLO; @clock is the
 * sender's clock, microseconds */
struct wire_hello {
	int64_t clock;
	uint32_t key_id; /* id of the fleet key that the connection uses */
	uint64_t incarnation;
	unsigned char nonce[WIRE_NONCE_LEN];
};

/** struct wire_pull - arguments of WIRE_PULL; fields as in struct config_pull,
 * with its batch_id in @number */
struct wire_pull {
	uint64_t after;
	uint32_t full;
	uint32_t number;
};

#define WIRE_PULL_OBJECTS_MAX 512 /* objects of one page */
/* bytes of versions, names and values in one page; a larger object is sent
 * alone */
#define WIRE_PULL_BYTES 65536

enum { WIRE_STATE_MORE = 1, WIRE_STATE_FULL = 2 };

/** struct wire_object - one object of a WIRE_PULL result */
struct wire_object {
	uint32_t kind;
	uint32_t removed;
	uint64_t version;
	uint64_t serial;
	char *name;
	const void *value;
	uint32_t value_len; /* 0 when removed */
	uint32_t unpacked_size; /* as in struct config_object */
};

/** struct wire_state - result of WIRE_PULL: one page of objects; fields as in
 * struct config_batch, with its batch_id in @number, and more and full in
 * @flags */
struct wire_state {
	uint64_t after;
	uint64_t upto;
	uint64_t complete;
	uint32_t flags;
	uint32_t number;
	uint32_t nobject;
	struct wire_object object[WIRE_PULL_OBJECTS_MAX];
};

/** wire_window_flags() - get the flags of a call for a window of at most so
 * many bytes */
uint32_t wire_window_flags(size_t window);
/** wire_window() - get the window for the answer's body from the flags of a
 * call, in bytes from WIRE_CHUNK_MAX to WIRE_WINDOW */
size_t wire_window(uint32_t flags);
int wire_string(XDR *, char **, struct wire_arena *);
int wire_fields(XDR *, uint32_t *n, struct http_field *, struct wire_arena *);
int wire_blob(XDR *, const void **, uint32_t *len, uint32_t max);
/** wire_head_fits() - whether a record can hold each string of a head */
int wire_head_fits(const char *method, const char *path,
    const struct http_field *, int nfield);
int wire_call(XDR *, struct wire_call *, struct wire_arena *);
int wire_reply(XDR *, struct wire_reply *, struct wire_arena *);
int wire_load(XDR *, struct load_report *);
int wire_probe_result(XDR *, struct wire_probe_result *);
int wire_body(XDR *, struct wire_body *);
int wire_credit(XDR *, struct wire_credit *);
int wire_notice(XDR *, struct wire_notice *);
int wire_hello(XDR *, struct wire_hello *);
int wire_pull(XDR *, struct wire_pull *);
int wire_state(XDR *, struct wire_state *, struct wire_arena *);

#endif
