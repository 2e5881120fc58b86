#ifndef KQ_PROCESS_H
#define KQ_PROCESS_H

#include "descriptors.h"

/** process_descriptors() - divide the descriptors that this process may open */
void process_descriptors(struct descriptors *);

#endif
