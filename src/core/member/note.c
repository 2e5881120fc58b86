#include "core/member/impl.h"

#include <math.h>
#include <string.h>

/* times that a note is sent, multiplied by member_log10_size() */
#define NOTE_SEND_FACTOR 8
#define NOTE_SENDS_MIN 8
/* a note that is not kept is known for this long */
#define NOTE_KNOWN_US 30000000
#define US_PER_MS 1000

static struct note *
note_at(const struct member_table *t, guint i)
{
	return &g_array_index(t->notes, struct note, i);
}

static int
is_known(const struct member_table *t, uint64_t id)
{
	guint i;

	for (i = 0; i < t->notes->len; i++)
		if (note_at(t, i)->note.id == id)
			return 1;
	return 0;
}

/* Whether a note that was told first at @at is over. */
static int
is_over(const struct member_note *n, int64_t at, int64_t now)
{
	int64_t known_for =
	    n->keep_ms ? n->keep_ms * (int64_t)US_PER_MS : NOTE_KNOWN_US;

	return now - at > known_for;
}

/* Index of the note to be removed if there are too many: the oldest one that is
 * not kept, else the oldest one. */
static guint
least_needed(const struct member_table *t)
{
	guint i;

	for (i = 0; i < t->notes->len; i++)
		if (!note_at(t, i)->note.keep_ms)
			return i;
	return 0;
}

/* Removes notes that are over and, if there are too many, one more. */
static void
remove_old(struct member_table *t, int64_t now)
{
	guint i = 0;

	while (i < t->notes->len) {
		if (is_over(&note_at(t, i)->note, note_at(t, i)->at, now))
			g_array_remove_index(t->notes, i);
		else
			i++;
	}
	if (t->notes->len >= MEMBER_NOTES_KNOWN_MAX)
		g_array_remove_index(t->notes, least_needed(t));
}

static void
add_note(struct member_table *t, const struct member_note *note, int64_t at,
    int64_t now)
{
	struct note n = { .note = *note, .at = at };

	remove_old(t, now);
	g_array_append_val(t->notes, n);
	t->gossip_at = MIN(t->gossip_at, now);
	t->tick_due = MIN(t->tick_due, now);
}

void
member_tell(struct member_table *t, const struct member_note *note, int64_t now)
{
	t->now = now;
	if (!is_known(t, note->id))
		add_note(t, note, now, now);
}

void
member_receive_notes(struct member_table *t, const struct member_message *msg,
    int64_t now)
{
	int i;

	for (i = 0; i < msg->nnote; i++) {
		const struct member_note *n = &msg->note[i];
		int64_t at = now - n->age_ms * (int64_t)US_PER_MS;

		if (is_known(t, n->id) || is_over(n, at, now))
			continue;
		add_note(t, n, at, now);
		if (t->ops->note)
			t->ops->note(t->ctx, n, at);
	}
}

/* Adds a note if the message has at most @bytes with it; returns 0 if it does
 * not fit. */
static int
append_note(const struct member_table *t, struct member_message *msg,
    const struct note *n, size_t bytes)
{
	struct member_note *out = &msg->note[msg->nnote];

	if (msg->nnote == MEMBER_NOTES_MAX)
		return 0;
	*out = n->note;
	out->age_ms =
	    (uint32_t)CLAMP((t->now - n->at) / US_PER_MS, 0, UINT32_MAX);
	msg->nnote++;
	if (member_message_size(msg) <= bytes)
		return 1;
	msg->nnote--;
	return 0;
}

static int
send_limit(const struct member_table *t)
{
	int n = (int)ceil(NOTE_SEND_FACTOR * member_log10_size(t));

	return MAX(n, NOTE_SENDS_MIN);
}

int
member_has_notes(const struct member_table *t)
{
	int limit = send_limit(t);
	guint i;

	for (i = 0; i < t->notes->len; i++)
		if (note_at(t, i)->sends < limit)
			return 1;
	return 0;
}

/* Adds the notes that were sent the fewest times first. */
void
member_append_notes(struct member_table *t, struct member_message *msg,
    size_t bytes)
{
	int level, limit = send_limit(t);
	guint i;

	for (level = 0; level < limit; level++) {
		for (i = 0; i < t->notes->len; i++) {
			struct note *n = note_at(t, i);

			if (n->sends != level || n->in_message)
				continue;
			if (!append_note(t, msg, n, bytes))
				goto full;
			n->sends++;
			n->in_message = 1;
		}
	}
full:
	for (i = 0; i < t->notes->len; i++)
		note_at(t, i)->in_message = 0;
}

void
member_append_kept_notes(struct member_table *t, struct member_message *msg,
    size_t bytes)
{
	guint i, n = t->notes->len;

	for (i = 0; i < n; i++) {
		const struct note *x = note_at(t, (t->note_cursor + i) % n);

		if (x->note.keep_ms && !is_over(&x->note, x->at, t->now) &&
		    !append_note(t, msg, x, bytes))
			break;
	}
	t->note_cursor = n ? (t->note_cursor + i) % n : 0;
}
