#ifndef KQ_RETRY_IMPL_H
#define KQ_RETRY_IMPL_H

#include "retry.h"

/** retry_pay_attempt() - pay for one extra attempt from those left to the call
 * and, above depth 0, from the bucket. Return: nonzero if it could be paid */
int retry_pay_attempt(struct retry *, struct retry_call *);
/** retry_in_time() - whether an attempt sent at @now is likely to end before
 * the deadline of the call */
int retry_in_time(const struct retry *, const struct retry_call *, int64_t now);

#endif
