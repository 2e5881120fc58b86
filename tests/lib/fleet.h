#ifndef KQ_TEST_FLEET_H
#define KQ_TEST_FLEET_H

#include <glib.h>

#include "member.h"

/**
 * DOC: A fleet of failure detectors in virtual time.
 *
 * Datagrams take 0.5 to 1.5 ms and are lost at a given rate; a paused member
 * gets what was sent to it when it resumes. Pulls of a configuration take a few
 * milliseconds, and a retransmission time more when a packet is lost.
 */

struct fleet;

struct fleet_node {
	struct member_table *table;
	struct member_info info;
	int dead;
	int group; /* those of other groups are cut off */
	int64_t paused_until;
	int64_t last_pause;
	uint64_t digest;
	int64_t digest_at;
	int pulling;
	uint64_t messages;
	uint64_t bytes;
	int64_t *dead_at; /* by node: when this one declared it dead, or 0 */
	int64_t *left_at;
	int deaths; /* how many others it declared dead */
};

/** struct fleet_ctx - what a table's callbacks get */
struct fleet_ctx {
	struct fleet *fleet;
	int node;
};

struct fleet {
	int n;
	double loss;
	int64_t now;
	GRand *rand;
	struct fleet_node *node;
	struct fleet_ctx *ctx;
	GSequence *events;
	uint64_t serial;
	uint64_t deaths; /* events of declaring a node dead */
	uint64_t false_deaths; /* of one that was neither dead nor paused */
	uint64_t suspicions;
	size_t longest; /* largest datagram */
};

/** fleet_new() - @n members that know each other if @acquainted */
struct fleet *fleet_new(int n, double loss, guint32 seed, int acquainted);
void fleet_free(struct fleet *);
void fleet_run(struct fleet *, int64_t until);
void fleet_kill(struct fleet *, int node);
void fleet_pause(struct fleet *, int node, int64_t time);
/** fleet_publish() - one node has a new configuration version */
void fleet_publish(struct fleet *, int node, uint64_t digest);
/** fleet_reset() - set all counts to 0 */
void fleet_reset(struct fleet *);
/** fleet_sort() - sort times; fleet_at() - value at a share of sorted ones */
void fleet_sort(GArray *times);
int64_t fleet_at(const GArray *times, double share);

#endif
