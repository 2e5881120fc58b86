#include "core/once/table.h"

#include <string.h>

static void
unlink_kept(struct once *o, struct kept *k)
{
	if (k->older)
		k->older->newer = k->newer;
	else if (o->oldest == k)
		o->oldest = k->newer;
	if (k->newer)
		k->newer->older = k->older;
	else if (o->newest == k)
		o->newest = k->older;
}

void
once_kept_drop(struct once *o, struct entry *e)
{
	struct kept *k = e->kept;

	if (!k)
		return;
	unlink_kept(o, k);
	o->stats.bytes -= k->bytes;
	e->kept = NULL;
	g_free(k->field);
	g_free(k->body);
	g_free(k);
}

/* Charges bytes to an answer, at the cost of the oldest complete ones. */
static int
charge(struct once *o, struct kept *k, size_t n)
{
	if (n > o->limits.answer_bytes - k->bytes)
		return -1;
	while (o->stats.bytes + n > o->limits.bytes) {
		if (!o->oldest)
			return -1;
		once_kept_drop(o, &o->entry[o->oldest->entry]);
		o->stats.answers_evicted++;
	}
	k->bytes += n;
	o->stats.bytes += n;
	return 0;
}

static size_t
text_size(const struct once_field *field, int nfield)
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
once_keep_head(struct once *o, uint64_t entry, int status,
    const struct once_field *field, int nfield)
{
	struct entry *e = once_entry(o, entry);
	size_t n = text_size(field, nfield);
	struct kept *k;
	char *text;
	int i;

	if (!e || e->kept)
		return;
	k = g_new0(struct kept, 1);
	k->entry = (uint32_t)(e - o->entry);
	e->kept = k;
	if (charge(o, k, n)) {
		once_kept_drop(o, e);
		return;
	}
	k->field = g_malloc(n);
	text = (char *)(k->field + nfield);
	for (i = 0; i < nfield; i++) {
		k->field[i].name = copy_text(&text, field[i].name);
		k->field[i].value = copy_text(&text, field[i].value);
	}
	k->answer.status = status;
	k->answer.field = k->field;
	k->answer.nfield = nfield;
}

static int
make_room(struct once *o, struct kept *k, size_t n)
{
	size_t room = k->body_room, most = o->limits.answer_bytes - k->bytes;

	if (n <= room - k->body_len)
		return 0;
	if (n - (room - k->body_len) > most)
		return -1;
	room = MAX(k->body_len + n, MIN(2 * room, room + most));
	if (charge(o, k, room - k->body_room))
		return -1;
	k->body = g_realloc(k->body, room);
	k->body_room = room;
	return 0;
}

void
once_keep_body(struct once *o, uint64_t entry, const void *p, size_t n)
{
	struct entry *e = once_entry(o, entry);
	struct kept *k;

	if (!e || !e->kept || !n)
		return;
	k = e->kept;
	if (make_room(o, k, n)) {
		once_kept_drop(o, e);
		return;
	}
	memcpy(k->body + k->body_len, p, n);
	k->body_len += n;
}

void
once_kept_complete(struct once *o, struct entry *e)
{
	struct kept *k = e->kept;
	size_t spare;

	if (!k)
		return;
	spare = k->body_room - k->body_len;
	if (spare) {
		k->body = g_realloc(k->body, k->body_len);
		k->body_room = k->body_len;
		k->bytes -= spare;
		o->stats.bytes -= spare;
	}
	k->answer.body = k->body;
	k->answer.body_len = k->body_len;
	k->older = o->newest;
	if (o->newest)
		o->newest->newer = k;
	else
		o->oldest = k;
	o->newest = k;
}
