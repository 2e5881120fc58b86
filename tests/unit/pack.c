#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "pack.h"

/* Text like that of a routing object, about @n bytes. */
static GBytes *
text_bytes(size_t n)
{
	GString *s = g_string_new(NULL);
	int i;

	for (i = 0; s->len < n; i++)
		g_string_append_printf(s,
		    "{\"host\":\"h%d.example\",\"prefix\":\"/p%d/\"},", i, i);
	return g_string_free_to_bytes(s);
}

START_TEST(packed_values_come_back)
{
	static const size_t sizes[] = { 100, 65536, 900000 };
	GBytes *text = text_bytes(sizes[_i]);
	GBytes *packed = pack_bytes(text), *back;
	struct kq_error e = { 0 };

	ck_assert_ptr_nonnull(packed);
	ck_assert_uint_lt(g_bytes_get_size(packed), g_bytes_get_size(text));
	back = unpack_bytes(packed, g_bytes_get_size(text), &e);
	ck_assert_ptr_nonnull(back);
	ck_assert(g_bytes_equal(back, text));
	g_bytes_unref(text);
	g_bytes_unref(packed);
	g_bytes_unref(back);
}
END_TEST

START_TEST(values_that_do_not_shrink_are_left)
{
	GRand *r = g_rand_new_with_seed(1);
	guint8 noise[4096];
	GBytes *b;
	size_t i;

	for (i = 0; i < sizeof noise; i++)
		noise[i] = (guint8)g_rand_int(r);
	b = g_bytes_new(noise, sizeof noise);
	ck_assert_ptr_null(pack_bytes(b));
	g_bytes_unref(b);
	b = g_bytes_new(NULL, 0);
	ck_assert_ptr_null(pack_bytes(b));
	g_bytes_unref(b);
	g_rand_free(r);
}
END_TEST

/* A stream that is cut, damaged or of another size than named is an error, and
 * never takes more memory than the size that it is to have. */
START_TEST(broken_streams_are_rejected)
{
	GBytes *text = text_bytes(20000), *packed = pack_bytes(text), *part;
	size_t n = g_bytes_get_size(packed), size = g_bytes_get_size(text), i;
	struct kq_error e = { 0 };

	ck_assert_ptr_null(unpack_bytes(packed, size - 1, &e));
	ck_assert_ptr_null(unpack_bytes(packed, size + 1, &e));
	ck_assert_ptr_null(unpack_bytes(packed, 0, &e));
	for (i = 0; i < n; i++) {
		part = g_bytes_new_from_bytes(packed, 0, i);
		ck_assert_ptr_null(unpack_bytes(part, size, &e));
		ck_assert_int_eq(e.layer, KQ_LAYER_RPC);
		g_bytes_unref(part);
	}
	g_bytes_unref(packed);
	g_bytes_unref(text);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("pack");
	TCase *c = tcase_create("pack");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_loop_test(c, packed_values_come_back, 0, 3);
	tcase_add_test(c, values_that_do_not_shrink_are_left);
	tcase_add_test(c, broken_streams_are_rejected);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
