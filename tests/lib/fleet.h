#ifndef KQ_TEST_FLEET_H
#define KQ_TEST_FLEET_H

#include <glib.h>

#include "member.h"

/**
 * DOC: Simulation of a fleet of failure detectors in virtual time.
 *
 * Each node runs a member table. Datagrams take 0.5 to 1.5 ms and are lost at a
 * given rate; a paused node receives the datagrams sent to it once it resumes.
 * A configuration pull takes a few milliseconds (2 to 6), and a retransmission
 * timeout (200 ms) more when a packet is lost. All times are in microseconds.
 */

struct fleet;

/**
 * struct fleet_node - one simulated daemon
 * @killed: set by fleet_kill(); the node runs no more events
 * @partition: network partition; datagrams between nodes of different ones are
 * lost
 * @paused_until: time at which its last pause ends
 * @paused_at: time at which its last pause began, 0 if it was never paused
 * @config_version: configuration version in force
 * @config_version_at: time at which @config_version was reached
 * @pulling: a configuration pull is in flight
 * @messages: datagrams sent since fleet_reset_counts(), @bytes their bytes
 * @declared_dead_at: by node: when this node last declared it dead, or 0
 * @left_at: by node: when this node last saw it leave, or 0
 * @note_at: time at which the last note of another node came, 0 if none did
 * @notes: notes of other nodes that came
 * @deaths_declared: how often this node declared another one dead
 */
struct fleet_node {
	struct member_table *table;
	struct member_info info;
	int killed;
	int partition;
	int64_t paused_until;
	int64_t paused_at;
	uint64_t config_version;
	int64_t config_version_at;
	int pulling;
	uint64_t messages;
	uint64_t bytes;
	int64_t *declared_dead_at;
	int64_t *left_at;
	int64_t note_at;
	int notes;
	int deaths_declared;
};

/** struct fleet_ctx - context of the callbacks of one node's table */
struct fleet_ctx {
	struct fleet *fleet;
	int node;
};

/**
 * struct fleet - all nodes and the events to come
 * @n: number of nodes
 * @loss: share of datagrams lost, and of pulls that lose a packet
 * @now: virtual time
 * @events: events to come, earliest first
 * @serial: serial of the last event created
 * @deaths: nodes declared dead since fleet_reset_counts(), counted once for
 * each node that declared it
 * @false_deaths: those of them that were neither killed nor ever paused
 * @suspicions: nodes suspected, counted in the same way as @deaths
 * @largest_datagram: bytes of the largest datagram since fleet_reset_counts()
 */
struct fleet {
	int n;
	double loss;
	int64_t now;
	GRand *rand;
	struct fleet_node *node;
	struct fleet_ctx *ctx;
	GSequence *events;
	uint64_t serial;
	uint64_t deaths;
	uint64_t false_deaths;
	uint64_t suspicions;
	size_t largest_datagram;
};

/** fleet_new() - create @n nodes; with @acquainted, each one has all others in
 * its table from the start */
struct fleet *fleet_new(int n, double loss, guint32 seed, int acquainted);
void fleet_free(struct fleet *);
/** fleet_run() - run all events up to a virtual time, which becomes the present
 */
void fleet_run(struct fleet *, int64_t until);
/** fleet_kill() - end a node without notice to the others */
void fleet_kill(struct fleet *, int node);
/** fleet_pause() - stop a node from now on for a duration of @time */
void fleet_pause(struct fleet *, int node, int64_t time);
/** fleet_set_config_version() - give a node a configuration version; no effect
 * unless it is higher than its own */
void fleet_set_config_version(struct fleet *, int node, uint64_t digest);
/** fleet_reset_counts() - set the counts of the fleet and of the datagrams sent
 * by each node to 0 */
void fleet_reset_counts(struct fleet *);
/** fleet_sort_times() - sort an array of int64_t times, lowest first */
void fleet_sort_times(GArray *times);
/** fleet_quantile() - quantile of sorted times; @share is from 0 to 1. Returns
 * 0 if there are none */
int64_t fleet_quantile(const GArray *times, double share);

#endif
