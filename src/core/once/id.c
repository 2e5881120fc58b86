#include "once.h"

#include <string.h>

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static int
read_hex(const char *s, int n, uint64_t *out)
{
	int i, v;

	*out = 0;
	for (i = 0; i < n; i++) {
		v = hex_value(s[i]);
		if (v < 0)
			return -1;
		*out = *out << 4 | (uint64_t)v;
	}
	return 0;
}

int
once_id_parse(struct once_id *id, const char *text)
{
	uint64_t v;
	int i;

	if (strlen(text) != ONCE_ID_LEN || text[16] != '-')
		return -1;
	if (read_hex(text, 16, &id->incarnation) ||
	    read_hex(text + 17, 12, &id->created_ms))
		return -1;
	for (i = 0; i < ONCE_RANDOM_LEN; i++) {
		if (read_hex(text + 29 + 2 * (size_t)i, 2, &v))
			return -1;
		id->random[i] = (uint8_t)v;
	}
	return 0;
}

static char *
write_hex(char *s, uint64_t v, int n)
{
	int i;

	for (i = n - 1; i >= 0; i--) {
		s[i] = "0123456789abcdef"[v & 15];
		v >>= 4;
	}
	return s + n;
}

void
once_id_format(const struct once_id *id, char out[ONCE_ID_LEN + 1])
{
	char *s;
	int i;

	s = write_hex(out, id->incarnation, 16);
	*s++ = '-';
	s = write_hex(s, id->created_ms, 12);
	for (i = 0; i < ONCE_RANDOM_LEN; i++)
		s = write_hex(s, id->random[i], 2);
	*s = '\0';
}
