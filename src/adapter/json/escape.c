#include "adapter/json/json_impl.h"

#define HIGH_SURROGATE 0xd800
#define LOW_SURROGATE 0xdc00
#define SURROGATE_MASK 0xfc00
#define ESCAPE_BYTES 6 /* \uXXXX */

/* Returns the UTF-16 code unit of the \uXXXX at @i, or -1 if there is none. */
static int
code_unit(const char *text, size_t i, size_t end)
{
	int k, unit = 0;

	if (end - i < ESCAPE_BYTES || text[i] != '\\' || text[i + 1] != 'u')
		return -1;
	for (k = 2; k < ESCAPE_BYTES; k++) {
		int digit = g_ascii_xdigit_value(text[i + k]);

		if (digit < 0)
			return -1;
		unit = unit << 4 | digit;
	}
	return unit;
}

size_t
json_find_bad_escape(const char *text, size_t from, size_t end)
{
	size_t i = from;

	while (i < end) {
		int low, unit;

		if (text[i] != '\\') {
			i++;
			continue;
		}
		unit = code_unit(text, i, end);
		if (unit < 0) {
			i += 2;
			continue;
		}
		if (unit == 0 || (unit & SURROGATE_MASK) == LOW_SURROGATE)
			return i;
		if ((unit & SURROGATE_MASK) != HIGH_SURROGATE) {
			i += ESCAPE_BYTES;
			continue;
		}
		low = i + ESCAPE_BYTES < end
			  ? code_unit(text, i + ESCAPE_BYTES, end)
			  : -1;
		if (low < 0 || (low & SURROGATE_MASK) != LOW_SURROGATE)
			return i;
		i += 2 * ESCAPE_BYTES;
	}
	return end;
}
