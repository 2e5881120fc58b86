#ifndef KQ_SCRIPT_H
#define KQ_SCRIPT_H

#include <glib.h>
#include <stdint.h>

#include "error.h"

/**
 * DOC: Scripts for the pure core, in virtual time.
 *
 * A script is lines of "MODULE COMMAND [NAME] [key=value ...]"; "at MS" moves
 * the time. Each line is printed with what came of it, comments as they are,
 * so that the output reads as a session.
 */

#define WORDS_MAX 24
#define MS INT64_C(1000) /* us */

/** struct words - one line cut at its spaces; @n is 0 for an empty line */
struct words {
	int n;
	char *word[WORDS_MAX];
};

/** words_value() - value of "key=...", or NULL; words_number() - its value in
 * the unit written, or @fallback */
const char *words_value(const struct words *, const char *key);
double words_number(const struct words *, const char *key, double fallback);
/** words_name() - third word, or "-" */
const char *words_name(const struct words *);
/** words_has() - a word stands alone in the line */
int words_has(const struct words *, const char *word);

/**
 * struct module - one part of the core
 * @run: carries out a line and appends what came of it; -1 if the command is
 *       not known or comes too early
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
