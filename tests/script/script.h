#ifndef KQ_SCRIPT_H
#define KQ_SCRIPT_H

#include <glib.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Scripts that drive the pure core in virtual time.
 *
 * A script has lines "MODULE COMMAND [NAME] [key=value ...]"; the line "at N"
 * sets the time to N milliseconds. Each command is printed with its time and
 * result, empty lines and comments (#) unchanged, so that the output reads like
 * the transcript of a session.
 */

#define WORDS_MAX 24
#define MS INT64_C(1000) /* microseconds in a millisecond */

/** struct words - one line split at blanks; @n is 0 for an empty line */
struct words {
	int n;
	char *word[WORDS_MAX];
};

/** words_value() - value of "key=...", or NULL; words_number() - the same as a
 * number in the unit of the script, or @fallback without that key */
const char *words_value(const struct words *, const char *key);
double words_number(const struct words *, const char *key, double fallback);
/** words_name() - third word, or "-" */
const char *words_name(const struct words *);
/** words_has() - whether one of the words after the command is @word */
int words_has(const struct words *, const char *word);

/**
 * struct module - commands for one part of the core
 * @run: runs the command of a line and appends its result; -1 if the command is
 *       unknown or malformed, or needs an earlier one that did not come
 */
struct module {
	const char *name;
	void *(*open)(void);
	int (*run)(void *, int64_t now, const struct words *, GString *out);
	void (*close)(void *);
};

extern const struct module module_once;
extern const struct module module_admit;
extern const struct module module_retry;
extern const struct module module_budget;
extern const struct module module_config;
extern const struct module module_pick;

#endif
