#ifndef KQ_RETRY_IMPL_H
#define KQ_RETRY_IMPL_H

#include "retry.h"

/** retry_pay() - pay one extra attempt, of this call and of this daemon.
 * Return: nonzero if it could be paid */
int retry_pay(struct retry *, struct retry_call *);
/** retry_in_time() - whether an attempt begun at @now is likely to finish */
int retry_in_time(const struct retry *, const struct retry_call *, int64_t now);

#endif
