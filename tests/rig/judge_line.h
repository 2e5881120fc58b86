#ifndef RIG_JUDGE_LINE_H
#define RIG_JUDGE_LINE_H

#include "judge_impl.h"

#define FIELD_BYTES 128

/** struct line - of a history */
struct line {
	int64_t t;
	guint order; /* among all, before they are sorted */
	const char *text;
	char who[FIELD_BYTES];
	char event[FIELD_BYTES];
};

typedef void (*line_reader)(struct judgement *, const struct line *);

/** struct line_kind - lines of an event and what reads them */
struct line_kind {
	const char *event;
	line_reader read;
};

/** line_field() - copy the value of a field, FIELD_BYTES at most; Return: 0 if
 * there is none */
int line_field(const struct line *, const char *name, char *value);
int64_t line_number(const struct line *, const char *name);
/** line_machine() - machine that the line is about; keeps the line with it */
struct judged_machine *line_machine(struct judgement *, const struct line *);
/** line_beside() - machine of the target that writes the line */
struct judged_machine *line_beside(struct judgement *, const struct line *);
struct judged_machine *judge_machine(struct judgement *, const char *address);
const char *judge_keep(struct judgement *, const char *);

/** line_kinds_requests, line_kinds_plan - the last one has no event */
extern const struct line_kind line_kinds_requests[], line_kinds_plan[];

#endif
