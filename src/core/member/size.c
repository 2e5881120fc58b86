#include "member.h"

#include <string.h>

#include "core/member/impl.h"

#define FRAME_BYTES 44 /* version, key id, counter and tag */
#define HEAD_BYTES 84 /* fixed part of a message */
#define UPDATE_BYTES 20 /* id, state, two sequence numbers */
#define ADDRESS_BYTES 16 /* IP number and three ports */
#define WANT_BYTES 8
#define NOTE_COUNT_BYTES 4 /* only if there are notes */
#define NOTE_BYTES 20 /* id, age, time kept and length */

/* An XDR string: 4 bytes of length, then the text padded to a multiple of 4. */
static size_t
string_bytes(const char *s)
{
	return 4 + (strlen(s) + 3) / 4 * 4;
}

static size_t
update_bytes(const struct member_update *u)
{
	if (!u->has_info)
		return UPDATE_BYTES;
	return UPDATE_BYTES + ADDRESS_BYTES + string_bytes(u->info.datacentre) +
	       string_bytes(u->info.region) + string_bytes(u->info.service) +
	       (u->info.version[0] ? string_bytes(u->info.version) : 0);
}

size_t
member_message_size(const struct member_message *msg)
{
	size_t n = FRAME_BYTES + HEAD_BYTES;
	int i;

	for (i = 0; i < msg->nupdate; i++)
		n += update_bytes(&msg->update[i]);
	n += (size_t)msg->nwant * WANT_BYTES;
	if (msg->nnote)
		n += NOTE_COUNT_BYTES;
	for (i = 0; i < msg->nnote; i++)
		n += NOTE_BYTES + (msg->note[i].len + 3) / 4 * 4;
	return n;
}
