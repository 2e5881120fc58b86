#include <check.h>
#include <stdlib.h>

#include "error.h"

START_TEST(wrap_keeps_position_and_text)
{
	struct kq_error e;

	ck_assert_int_eq(kq_error_set(&e, KQ_LAYER_CONFIG, 3, "key %s", "a"),
	    -1);
	e.line = 7;
	e.column = 2;
	ck_assert_int_eq(kq_error_wrap(&e, KQ_LAYER_TOOL, 5, "publish"), -1);
	ck_assert_str_eq(e.text, "publish: key a");
	ck_assert_int_eq(e.layer, KQ_LAYER_TOOL);
	ck_assert_int_eq(e.line, 7);
	ck_assert_str_eq(kq_layer_name(e.layer), "tool");
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("error");
	TCase *c = tcase_create("error");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, wrap_keeps_position_and_text);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
