#include "core/once/table.h"

#include <string.h>

static void
unlink_answer(struct once *o, struct stored_answer *a)
{
	if (a->older)
		a->older->newer = a->newer;
	else if (o->oldest == a)
		o->oldest = a->newer;
	if (a->newer)
		a->newer->older = a->older;
	else if (o->newest == a)
		o->newest = a->older;
}

void
once_stored_free(struct once *o, struct entry *e)
{
	struct stored_answer *a = e->stored;

	if (!a)
		return;
	unlink_answer(o, a);
	o->stats.bytes -= a->bytes;
	e->stored = NULL;
	g_free(a->field);
	g_free(a->body);
	g_free(a);
}

/* Counts n bytes against the limits, and evicts the oldest complete answers
 * when the table has no room. Returns -1 if they do not fit. */
static int
charge_bytes(struct once *o, struct stored_answer *a, size_t n)
{
	if (n > o->limits.bytes_per_answer - a->bytes)
		return -1;
	while (o->stats.bytes + n > o->limits.bytes) {
		if (!o->oldest)
			return -1;
		once_stored_free(o, &o->entry[o->oldest->entry]);
		o->stats.answers_evicted++;
	}
	a->bytes += n;
	o->stats.bytes += n;
	return 0;
}

static size_t
fields_size(const struct once_field *field, int nfield)
{
	size_t n = 0;
	int i;

	for (i = 0; i < nfield; i++)
		n += sizeof *field + strlen(field[i].name) +
		     strlen(field[i].value) + 2;
	return n;
}

static const char *
copy_text(char **at, const char *s)
{
	char *start = *at;
	size_t n = strlen(s) + 1;

	memcpy(start, s, n);
	*at += n;
	return start;
}

void
once_store_head(struct once *o, uint64_t entry, int status,
    const struct once_field *field, int nfield)
{
	struct entry *e = once_active_entry(o, entry);
	size_t n = fields_size(field, nfield);
	struct stored_answer *a;
	char *text;
	int i;

	if (!e || e->stored)
		return;
	a = g_new0(struct stored_answer, 1);
	a->entry = (uint32_t)(e - o->entry);
	e->stored = a;
	if (charge_bytes(o, a, n)) {
		once_stored_free(o, e);
		return;
	}
	a->field = g_malloc(n);
	text = (char *)(a->field + nfield);
	for (i = 0; i < nfield; i++) {
		a->field[i].name = copy_text(&text, field[i].name);
		a->field[i].value = copy_text(&text, field[i].value);
	}
	a->answer.status = status;
	a->answer.field = a->field;
	a->answer.nfield = nfield;
}

static int
grow_body(struct once *o, struct stored_answer *a, size_t n)
{
	size_t room = a->body_room,
	       extra_max = o->limits.bytes_per_answer - a->bytes;

	if (n <= room - a->body_len)
		return 0;
	if (n - (room - a->body_len) > extra_max)
		return -1;
	room = MAX(a->body_len + n, MIN(2 * room, room + extra_max));
	if (charge_bytes(o, a, room - a->body_room))
		return -1;
	a->body = g_realloc(a->body, room);
	a->body_room = room;
	return 0;
}

void
once_store_body(struct once *o, uint64_t entry, const void *p, size_t n)
{
	struct entry *e = once_active_entry(o, entry);
	struct stored_answer *a;

	if (!e || !e->stored || !n)
		return;
	a = e->stored;
	if (grow_body(o, a, n)) {
		once_stored_free(o, e);
		return;
	}
	memcpy(a->body + a->body_len, p, n);
	a->body_len += n;
}

void
once_stored_complete(struct once *o, struct entry *e)
{
	struct stored_answer *a = e->stored;
	size_t spare;

	if (!a)
		return;
	spare = a->body_room - a->body_len;
	if (spare) {
		a->body = g_realloc(a->body, a->body_len);
		a->body_room = a->body_len;
		a->bytes -= spare;
		o->stats.bytes -= spare;
	}
	a->answer.body = a->body;
	a->answer.body_len = a->body_len;
	a->older = o->newest;
	if (o->newest)
		o->newest->newer = a;
	else
		o->oldest = a;
	o->newest = a;
}
