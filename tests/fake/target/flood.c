#include "target.h"

#include <string.h>

/* Answers that never end: bytes that are no answer, in any part of one. */

static const struct {
	const char *begin; /* sent once, after the status line and fields */
	const char *repeat;
} floods[] = {
	[FLOOD_LINE] = { "X-Line: ", "aaaaaaaaaaaaaaaa" },
	[FLOOD_FIELDS] = { "", "X-Field: a\r\n" },
	[FLOOD_INTERIM] = { "", "HTTP/1.1 102 Processing\r\n\r\n" },
	[FLOOD_UNTIL_CLOSE] = { "\r\n", "bytes without end\n" },
	[FLOOD_CHUNKS] = { "Transfer-Encoding: chunked\r\n\r\n",
	    "8\r\nnoanswer\r\n" },
	[FLOOD_EXTENSION] = { "Transfer-Encoding: chunked\r\n\r\n8;x=",
	    "aaaaaaaaaaaaaaaa" },
	[FLOOD_TRAILER] = { "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	    "X-Field: a\r\n" },
	[FLOOD_BEHIND] = { "Content-Length: 2\r\n\r\nok",
	    "bytes without end\n" },
};

static void
append(struct conn *c, const char *text)
{
	g_byte_array_append(c->out, (const guint8 *)text, (guint)strlen(text));
}

void
flood_start(struct conn *c)
{
	long kind = c->target->knobs.flood_kind;
	GString *own = g_string_new(NULL);

	c->target->knobs.flood--;
	c->target->counts.flooding++;
	if (kind < FLOOD_LINE || kind > FLOOD_BEHIND)
		kind = FLOOD_UNTIL_CLOSE;
	c->flood = (enum flood)kind;
	c->state = CONN_ANSWERING;
	c->body_left = 1;
	if (kind != FLOOD_INTERIM) {
		if (c->target->users)
			users_fields(c, own, 200);
		append(c, "HTTP/1.1 200 OK\r\n");
		append(c, own->str);
	}
	g_string_free(own, TRUE);
	append(c, floods[kind].begin);
	conn_flush(c);
}

/* Whole repeats of what a kind consists of, made once. */
static const GByteArray *
block_of(enum flood kind)
{
	static GByteArray *block[G_N_ELEMENTS(floods)];
	const char *repeat = floods[kind].repeat;

	if (block[kind])
		return block[kind];
	block[kind] = g_byte_array_new();
	while (block[kind]->len < WRITE_AHEAD)
		g_byte_array_append(block[kind], (const guint8 *)repeat,
		    (guint)strlen(repeat));
	return block[kind];
}

void
flood_fill(struct conn *c)
{
	const GByteArray *b = block_of(c->flood);

	g_byte_array_append(c->out, b->data, b->len);
}
