#ifndef KQ_VERSION_H
#define KQ_VERSION_H

/**
 * DOC: Version of the programs, for their option --version.
 */

#define KQ_VERSION "0.1.0"

/** version_print() - print the program's name, version and commit, and the
 * versions of the libraries that it runs with */
void version_print(const char *program);

#endif
