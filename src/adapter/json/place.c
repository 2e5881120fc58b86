#include "adapter/json/json_impl.h"

#include <string.h>

void
json_position_advance(struct json_position *p, const char *text, size_t offset)
{
	for (; p->offset < offset; p->offset++) {
		if (text[p->offset] == '\n') {
			p->line++;
			p->column = 1;
		} else {
			p->column++;
		}
	}
}

/* Returns the offset after the comment at @from, or @from if no comment starts
 * there or a block comment is not closed before @end. */
static size_t
skip_comment(const char *text, size_t from, size_t end)
{
	const char *stop;
	size_t i = from + 2;

	if (end - from < 2 || text[from] != '/')
		return from;
	if (text[from + 1] == '/') {
		stop = memchr(text + i, '\n', end - i);
		return stop ? (size_t)(stop - text) + 1 : end;
	}
	if (text[from + 1] != '*')
		return from;
	for (; i + 1 < end; i++) {
		if (text[i] == '*' && text[i + 1] == '/')
			return i + 2;
	}
	return from;
}

size_t
json_skip_blank(const char *text, size_t from, size_t end)
{
	size_t next;

	while (from < end) {
		if (text[from] && strchr(" \t\r\n", text[from])) {
			from++;
			continue;
		}
		next = skip_comment(text, from, end);
		if (next == from)
			break;
		from = next;
	}
	return from;
}
