#ifndef KQ_DESCRIPTORS_H
#define KQ_DESCRIPTORS_H

/**
 * DOC: Division of the descriptors that a process may open.
 *
 * Connections that nobody controls have shares of their own, which leave the
 * rest for targets, other daemons, the store and files.
 */

/**
 * struct descriptors - shares, in descriptors
 * @callers: connections of callers
 * @refused: those of callers that are closed after a 503
 * @port: connections of each of the ports of operators, readiness checks and
 *        the target
 * @hellos: connections of daemons that did not prove yet that they are one
 */
struct descriptors {
	int callers;
	int refused;
	int port;
	int hellos;
};

/** descriptors_divide() - divide @n descriptors */
void descriptors_divide(struct descriptors *, long n);

#endif
