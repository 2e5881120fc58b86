#ifndef KQ_MEMORY_PARTS_H
#define KQ_MEMORY_PARTS_H

#include <stdint.h>

/**
 * DOC: Division of a machine's memory.
 *
 * Half of it is for the process itself with its members, configuration and
 * store, and for what the kernel holds. The other half is for what callers,
 * targets and other daemons make this one hold. Buffers can take twice what is
 * counted in them; answers kept for repeats take no more than they count.
 */

/**
 * struct memory_parts - most bytes of each account
 * @calls: held for calls
 * @ports: kept for requests on the ports of operators, readiness checks and the
 *         target
 */
struct memory_parts {
	int64_t calls;
	int64_t ports;
};

/** memory_divide() - divide the memory of a machine of @mb MiB; 0: unknown, the
 * parts are those of a machine of 260 MB */
void memory_divide(struct memory_parts *, int mb);
/** memory_of_answers() - most bytes of answers kept for repeats of requests,
 * where @calls bytes may be held for calls */
int64_t memory_of_answers(int64_t calls);
/** memory_of_ids() - most ids of requests that are kept, some 130 bytes each */
uint32_t memory_of_ids(int64_t calls);

#endif
