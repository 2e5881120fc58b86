#ifndef KQ_LOAD_H
#define KQ_LOAD_H

#include <stdint.h>

/**
 * struct load_report - load of one target as its inbound side saw it
 * @in_flight: requests given to the target and not yet answered
 * @queued: requests that wait at the inbound side
 * @limit: requests in flight that the inbound side allows now
 * @latency_us: moving average of the target's latency, 0 when not known
 * @cold: nonzero while the target is cold
 * @draining: nonzero while the target takes no new requests
 * @pace: time that work takes on the target's machine by the last reading, in
 *	percent of the time it takes there outside of slow periods
 *	(pace_over_base()), 0 when not known
 * @pace_age_us: age of that reading when the report was made
 * @age_us: time between the making of the report and its arrival, as far as
 *	known; the receiver's clock minus this is the time of the report
 */
struct load_report {
	uint32_t in_flight;
	uint32_t queued;
	uint32_t limit;
	uint32_t latency_us;
	uint8_t cold;
	uint8_t draining;
	uint32_t pace;
	uint32_t pace_age_us;
	uint32_t age_us;
};

#endif
