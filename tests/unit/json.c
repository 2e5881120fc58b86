#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "json.h"

static const struct {
	const char *text;
	int code;
	int line;
	int column;
} bad_texts[] = {
	{ "", JSON_E_SYNTAX, 1, 1 },
	{ "  // only this\n", JSON_E_SYNTAX, 2, 1 },
	{ "{\"a\":1,}", JSON_E_SYNTAX, 1, 8 },
	{ "{\"a\":1,,\"b\":2}", JSON_E_SYNTAX, 1, 8 },
	{ "{\"a\" 1}", JSON_E_SYNTAX, 1, 6 },
	{ "{\n  \"a\": tru\n}", JSON_E_SYNTAX, 2, 8 },
	{ "{\n\"a\": 01}", JSON_E_SYNTAX, 2, 7 },
	{ "{\"a\": 1.}", JSON_E_SYNTAX, 1, 7 },
	{ "{\"a\": \"b\n\"}", JSON_E_SYNTAX, 1, 7 },
	{ "{\"a\": 'b'}", JSON_E_SYNTAX, 1, 7 },
	{ "{a: 1}", JSON_E_SYNTAX, 1, 2 },
	{ "[1, 2", JSON_E_SYNTAX, 1, 6 },
	{ "{} {}", JSON_E_SYNTAX, 1, 4 },
	{ "{}\nx", JSON_E_SYNTAX, 2, 1 },
	{ "{} /* open", JSON_E_SYNTAX, 1, 4 },
	{ "/* open {}", JSON_E_SYNTAX, 1, 1 },
	{ "{\"a\": 1 / 2}", JSON_E_SYNTAX, 1, 9 },
	{ "[\"\\x\"]", JSON_E_SYNTAX, 1, 2 },
	{ "{\"a\":1,\n \"b\":{\"a\":1},\n \"a\":2}", JSON_E_DUPLICATE_KEY, 3,
	    2 },
	{ "{\"a\":1, \"\\u0061\":2}", JSON_E_DUPLICATE_KEY, 1, 9 },
	{ "[[[[[[[[[[[[[[[[\n[]]]]]]]]]]]]]]]]]", JSON_E_DEPTH, 2, 1 },
	{ "{\"a\": 9223372036854775808}", JSON_E_NUMBER, 1, 7 },
	{ "[-9223372036854775809]", JSON_E_NUMBER, 1, 2 },
	{ "[\n1e400]", JSON_E_NUMBER, 2, 1 },
	{ "[\"ab\xff\"]", JSON_E_UTF8, 1, 5 },
	{ "[\"\xc0\xaf\"]", JSON_E_UTF8, 1, 3 },
	{ "// \xed\xa0\x80\n[]", JSON_E_UTF8, 1, 4 },
	{ "[\"a\\u0000\"]", JSON_E_UTF8, 1, 4 },
	{ "[\"\\\\\\ud800\"]", JSON_E_UTF8, 1, 5 },
	{ "[\"\\ud800\\u0041\"]", JSON_E_UTF8, 1, 3 },
	{ "[\"\\udc00\"]", JSON_E_UTF8, 1, 3 },
};

START_TEST(bad_text_gives_error_position)
{
	struct kq_error e;
	struct json *j =
	    json_read(bad_texts[_i].text, strlen(bad_texts[_i].text), &e);

	ck_assert_msg(!j, "accepted: %s", bad_texts[_i].text);
	ck_assert_msg(e.code == bad_texts[_i].code &&
			  e.line == bad_texts[_i].line &&
			  e.column == bad_texts[_i].column,
	    "%s: code %d at %d:%d, %s", bad_texts[_i].text, e.code, e.line,
	    e.column, e.text);
}
END_TEST

START_TEST(rejects_nul_byte)
{
	struct kq_error e;

	ck_assert_ptr_null(json_read("[\0]", 3, &e));
	ck_assert_int_eq(e.code, JSON_E_UTF8);
	ck_assert_int_eq(e.column, 2);
}
END_TEST

static const char good_text[] = "// a comment, with \"quotes\" and , : {\n"
				"{ /* one */ \"a\" /* : */ : // ,\n"
				"\t[1, -0, 2.5e3, \"\\ud83d\\ude00 \\\"\"],\n"
				"  \"b\": {\"c\": null}, \"d\":true}\n//end";

START_TEST(nodes_have_positions)
{
	struct kq_error e;
	struct json *j = json_read(good_text, sizeof good_text - 1, &e);
	int a, b, d = 0;

	ck_assert_msg(j != NULL, "%s", e.text);
	ck_assert_int_eq(json_line(j, json_root(j)), 2);
	ck_assert_int_eq(json_column(j, json_root(j)), 1);
	ck_assert_int_eq(json_get_array(j, json_root(j), "a", &a, &e), 1);
	ck_assert_int_eq(json_count(j, a), 4);
	ck_assert_int_eq(json_line(j, a), 3);
	ck_assert_int_eq(json_column(j, a), 2);
	ck_assert_int_eq(json_column(j, json_item(j, a, 2)), 10);
	ck_assert_int_eq(json_type(j, json_item(j, a, 1)), JSON_INT);
	ck_assert_int_eq(json_type(j, json_item(j, a, 2)), JSON_REAL);
	ck_assert_str_eq(json_text(j, json_item(j, a, 3)),
	    "\xf0\x9f\x98\x80 \"");
	ck_assert_int_eq(json_item(j, a, 4), JSON_NONE);
	b = json_require(j, json_root(j), "b", &e);
	ck_assert_int_eq(json_line(j, b), 4);
	ck_assert_int_eq(json_column(j, b), 8);
	ck_assert_int_eq(json_get_bool(j, json_root(j), "d", &d, &e), 1);
	ck_assert_int_eq(d, 1);
	ck_assert_int_eq(json_check_unused(j, json_root(j), &e), 0);
	json_free(j);
}
END_TEST

static const struct {
	const char *text;
	int code;
	int line;
	int column;
	const char *message; /* part of the error message */
} bad_values[] = {
	{ "{\"count\": \"5\"}", JSON_E_TYPE, 1, 11, "integer, not a string" },
	{ "{\"count\": 5.0}", JSON_E_TYPE, 1, 11, "integer, not a number" },
	{ "{\"count\":\n 101}", JSON_E_RANGE, 2, 2, "from 1 to 100" },
	{ "{\"ratio\": 1.5}", JSON_E_RANGE, 1, 11, "from 0 to 1" },
	{ "{\"name\": \"\"}", JSON_E_RANGE, 1, 10, "1 to 7 bytes" },
	{ "{\"name\": \"12345678\"}", JSON_E_RANGE, 1, 10, "1 to 7 bytes" },
	{ "{\"flag\": 1}", JSON_E_TYPE, 1, 10, "true or false" },
	{ "{\n \"Count\": 1}", JSON_E_UNKNOWN, 2, 2, "nearest is \"count\"" },
	{ "{\"something_else\": 1}", JSON_E_UNKNOWN, 1, 2,
	    "unknown key \"something_else\"" },
};

START_TEST(getters_reject_bad_values)
{
	struct kq_error e = { 0 };
	struct json *j =
	    json_read(bad_values[_i].text, strlen(bad_values[_i].text), &e);
	int64_t count;
	double ratio;
	char name[8];
	int flag, r;

	ck_assert_msg(j != NULL, "%s", e.text);
	r = json_get_int(j, 0, "count", 1, 100, &count, &e) == -1 ||
	    json_get_real(j, 0, "ratio", 0, 1, &ratio, &e) == -1 ||
	    json_get_string(j, 0, "name", name, sizeof name, &e) == -1 ||
	    json_get_bool(j, 0, "flag", &flag, &e) == -1 ||
	    json_check_unused(j, 0, &e) == -1;
	ck_assert_int_eq(r, 1);
	ck_assert_int_eq(e.code, bad_values[_i].code);
	ck_assert_int_eq(e.line, bad_values[_i].line);
	ck_assert_int_eq(e.column, bad_values[_i].column);
	ck_assert_msg(strstr(e.text, bad_values[_i].message) != NULL, "%s",
	    e.text);
	json_free(j);
}
END_TEST

/* Valid text truncated at any byte is rejected, with a line of the text as the
 * position of the error. */
START_TEST(values_other_than_objects_have_no_keys)
{
	struct kq_error e = { 0 };
	struct json *j = json_read("[[1],\"a\",2]", 11, &e);
	GString *t = g_string_new(NULL);
	int i, n = 5;

	ck_assert_msg(j != NULL, "%s", e.text);
	ck_assert_int_eq(json_get(j, json_root(j), "a"), JSON_NONE);
	for (i = 0; i < 3; i++) {
		int node = json_item(j, json_root(j), i);

		ck_assert_int_eq(json_get(j, node, "a"), JSON_NONE);
		ck_assert_int_eq(json_get_array(j, node, "a", &n, &e), 0);
	}
	json_append_node(t, j, JSON_NONE);
	ck_assert_str_eq(t->str, "null");
	g_string_free(t, TRUE);
	json_free(j);
}
END_TEST

START_TEST(rejects_truncated_text)
{
	size_t text_len = strlen(good_text) - strlen("\n//end");
	size_t n;

	for (n = 0; n < text_len; n++) {
		struct kq_error e;
		struct json *j = json_read(good_text, n, &e);

		ck_assert_msg(!j, "text truncated to %zu bytes was accepted",
		    n);
		ck_assert_int_ge(e.line, 1);
		ck_assert_int_le(e.line, 4);
	}
}
END_TEST

START_TEST(quoted_string_round_trips)
{
	GString *s = g_string_new("[");
	struct kq_error e;
	struct json *j;

	json_append_string(s, "a\"\\\n\x01/é");
	g_string_append(s, "]");
	j = json_read(s->str, s->len, &e);
	ck_assert_msg(j != NULL, "%s", e.text);
	ck_assert_str_eq(json_text(j, json_item(j, 0, 0)), "a\"\\\n\x01/é");
	json_free(j);
	g_string_free(s, TRUE);
}
END_TEST

/* An answer of the platform with a value of the largest size that it stores is
 * read; a text beyond the limit is refused. */
START_TEST(the_largest_answer_is_read)
{
	GString *t = g_string_new("{\"items\":[{\"specification\":\"");
	struct kq_error e = { 0 };
	struct json *j;
	int i;

	for (i = 0; i < CONFIG_VALUE_MAX - 2; i++)
		g_string_append_c(t, 'v');
	g_string_append(t, "\"}],\"has_more\":false,\"at\":7}");
	j = json_read(t->str, t->len, &e);
	ck_assert_ptr_nonnull(j);
	json_free(j);
	while (t->len <= JSON_TEXT_MAX)
		g_string_append_c(t, ' ');
	ck_assert_ptr_null(json_read(t->str, t->len, &e));
	ck_assert_int_eq(e.code, JSON_E_SIZE);
	g_string_free(t, TRUE);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("json");
	TCase *c = tcase_create("json");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, the_largest_answer_is_read);
	tcase_add_loop_test(c, bad_text_gives_error_position, 0,
	    (int)(sizeof bad_texts / sizeof bad_texts[0]));
	tcase_add_loop_test(c, getters_reject_bad_values, 0,
	    (int)(sizeof bad_values / sizeof bad_values[0]));
	tcase_add_test(c, rejects_nul_byte);
	tcase_add_test(c, nodes_have_positions);
	tcase_add_test(c, values_other_than_objects_have_no_keys);
	tcase_add_test(c, rejects_truncated_text);
	tcase_add_test(c, quoted_string_round_trips);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
