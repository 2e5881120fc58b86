#include "memory_parts.h"

#define MB_BYTES INT64_C(1048576)
#define CALLS_DEFAULT (64 * MB_BYTES)
#define PORTS_DEFAULT (4 * MB_BYTES)
#define ANSWERS_MAX (16 * MB_BYTES)
#define ANSWERS_MIN                                              \
	(256 * INT64_C(1024)) /* one of the longest that is kept \
			       */
#define ANSWERS_PART 4 /* of the bytes of calls */
#define ID_BYTES 1024 /* of calls, for each id that is kept */
#define IDS_MAX 65536
#define IDS_MIN 4096
/* Half of the memory in 64 parts is 32: twice 13 and 1, and a quarter of 13. */
#define PARTS 64
#define CALLS_PARTS 13
#define PORTS_MIN (512 * INT64_C(1024)) /* eight bodies of requests there */

void
memory_divide(struct memory_parts *p, int mb)
{
	int64_t part = mb * MB_BYTES / PARTS;

	p->calls = mb ? part * CALLS_PARTS : CALLS_DEFAULT;
	p->ports = mb ? part : PORTS_DEFAULT;
	if (p->ports > PORTS_DEFAULT)
		p->ports = PORTS_DEFAULT;
	if (p->ports < PORTS_MIN)
		p->ports = PORTS_MIN;
}

int64_t
memory_of_answers(int64_t calls)
{
	int64_t n = calls / ANSWERS_PART;

	if (n > ANSWERS_MAX)
		return ANSWERS_MAX;
	return n < ANSWERS_MIN ? ANSWERS_MIN : n;
}

uint32_t
memory_of_ids(int64_t calls)
{
	int64_t n = calls / ID_BYTES;

	if (n > IDS_MAX)
		return IDS_MAX;
	return n < IDS_MIN ? IDS_MIN : (uint32_t)n;
}
