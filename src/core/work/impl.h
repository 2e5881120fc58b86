#ifndef KQ_WORK_IMPL_H
#define KQ_WORK_IMPL_H

#include "work.h"

/** work_usual() - convert a time measured at @pace to the usual pace */
double work_usual(double us, int pace);

#endif
