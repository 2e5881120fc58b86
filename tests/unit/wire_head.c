#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "wire.h"

static char record[WIRE_RECORD_MAX];

/* Whether a record can hold a call with this head. */
static int
encodes(struct wire_call *m)
{
	XDR x;

	xdrmem_create(&x, record, sizeof record, XDR_ENCODE);
	return wire_call(&x, m, NULL);
}

/* Each string of a head, one byte below and at the most that a record holds. */
START_TEST(only_heads_that_a_record_holds_fit)
{
	char *s = malloc(WIRE_STRING_MAX + 1);
	struct wire_call *m = calloc(1, sizeof *m);
	size_t n = WIRE_STRING_MAX - 1 + (size_t)(_i % 2);

	memset(s, 'a', n);
	s[n] = 0;
	m->service = m->id = m->trace = "";
	m->method = _i / 2 == 0 ? s : "GET";
	m->path = _i / 2 == 1 ? s : "/";
	m->nfield = 2;
	m->field[0] = (struct http_field){ "Host", "h.example" };
	m->field[1].name = _i / 2 == 2 ? s : "X-Long";
	m->field[1].value = _i / 2 == 3 ? s : "value";
	ck_assert_int_eq(encodes(m), _i % 2 == 0);
	ck_assert_int_eq(wire_head_fits(m->method, m->path, m->field,
			     (int)m->nfield),
	    _i % 2 == 0);
	free(m);
	free(s);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("wire_head");
	TCase *c = tcase_create("wire_head");
	SRunner *r;
	int failed;

	tcase_add_loop_test(c, only_heads_that_a_record_holds_fit, 0, 8);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
