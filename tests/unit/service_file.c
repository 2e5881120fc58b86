#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "json.h"
#include "objects.h"
#include "rule.h"

static const char full_text[] =
    "// codebook: lookups may be repeated, pairings may not\n"
    "{\"service\": \"codebook\",\n"
    " \"requests\": [\n"
    "  {\"method\": \"GET\", \"path\": \"/codes/reset\", \"idempotent\": "
    "false},\n"
    "  {\"method\": \"GET\", \"path\": \"/codes/*\", \"idempotent\": true},\n"
    "  {\"method\": \"PUT\", \"path\": \"/notes/*\", \"idempotent\": true},\n"
    "  {\"method\": \"*\", \"path\": \"/admin/*\", \"idempotent\": false},\n"
    "  {\"method\": \"GET\", \"path\": \"/*\", \"idempotent\": true}\n"
    " ],\n"
    " \"timeout_ms\": 800, \"measure_per_s\": 0.5,\n"
    " \"cold\": {\"limit\": 2, \"good_ms\": 50, \"idle_ms\": 60000},\n"
    " \"queue_max\": 8, \"retry_ratio\": 0.2, \"hedge\": true}\n";

START_TEST(reads_all_keys)
{
	struct kq_error e;
	struct service s;

	ck_assert_msg(service_read(&s, full_text, strlen(full_text), &e) == 0,
	    "%s", e.text);
	ck_assert_str_eq(s.name, "codebook");
	ck_assert_int_eq(s.nrule, 5);
	ck_assert_int_eq(s.timeout_ms, 800);
	ck_assert(s.measure_per_s == 0.5 && s.retry_ratio == 0.2);
	ck_assert_int_eq(s.cold_limit, 2);
	ck_assert_int_eq(s.cold_good_ms, 50);
	ck_assert_int_eq(s.cold_idle_ms, 60000);
	ck_assert_int_eq(s.queue_max, 8);
	ck_assert_int_eq(s.hedge, 1);
}
END_TEST

START_TEST(absent_keys_get_defaults)
{
	static const char text[] = "{\"service\":\"planif\",\"timeout_ms\":40}";
	struct kq_error e;
	struct service s;

	ck_assert_int_eq(service_read(&s, text, strlen(text), &e), 0);
	ck_assert_int_eq(s.nrule, 0);
	ck_assert_int_eq(s.cold_limit, SERVICE_COLD_LIMIT);
	ck_assert_int_eq(s.cold_good_ms, 40);
	ck_assert_int_eq(s.cold_idle_ms, SERVICE_COLD_IDLE_MS);
	ck_assert_int_eq(s.queue_max, SERVICE_QUEUE_MAX);
	ck_assert_int_eq(s.hedge, 0);
}
END_TEST

#define RULE(m, p, i) \
	"{\"method\":\"" m "\",\"path\":\"" p "\",\"idempotent\":" i "}"
#define TWO_RULES(a, b) "{\"service\":\"a\",\"requests\":[\n" a ",\n " b "]}"
#define ONE_RULE(a) "{\"service\":\"a\",\"requests\":[\n" a "]}"

static const struct {
	const char *text;
	int code;
	int line;
	int column;
	const char *message; /* part of the error message */
} bad_texts[] = {
	{ "[]", JSON_E_TYPE, 1, 1, "an object" },
	{ "{}", JSON_E_MISSING, 1, 1, "\"service\"" },
	{ "{\"service\":\"A\"}", JSON_E_VALUE, 1, 12, "lower-case" },
	{ "{\"service\":\"../a\"}", JSON_E_VALUE, 1, 12, "lower-case" },
	{ "{\"service\":\"a\",\n\"timeout_s\":1}", JSON_E_UNKNOWN, 2, 1,
	    "nearest is \"timeout_ms\"" },
	{ "{\"service\":\"a\",\n\"timeout_ms\":\"1s\"}", JSON_E_TYPE, 2, 14,
	    "integer" },
	{ "{\"service\":\"a\",\"timeout_ms\":0}", JSON_E_RANGE, 1, 29,
	    "from 1 to 600000" },
	{ "{\"service\":\"a\",\"timeout_ms\":1,\"timeout_ms\":1}",
	    JSON_E_DUPLICATE_KEY, 1, 31, "twice" },
	{ "{\"service\":\"a\",\"measure_per_s\":-1}", JSON_E_RANGE, 1, 32,
	    "from 0" },
	{ "{\"service\":\"a\",\"retry_ratio\":1.01}", JSON_E_RANGE, 1, 30,
	    "from 0 to 1" },
	{ "{\"service\":\"a\",\"hedge\":0}", JSON_E_TYPE, 1, 24,
	    "true or false" },
	{ "{\"service\":\"a\",\"cold\":{\"limit\":0}}", JSON_E_RANGE, 1, 32,
	    "from 1" },
	{ "{\"service\":\"a\",\"cold\":{\"idle_s\":5}}", JSON_E_UNKNOWN, 1, 24,
	    "nearest is \"idle_ms\"" },
	{ "{\"service\":\"a\",\"timeout_ms\":50,\"cold\":{\"good_ms\":51}}",
	    JSON_E_RANGE, 1, 50, "from 1 to 50" },
	{ "{\"service\":\"a\",\"cold_limit\":1}", JSON_E_UNKNOWN, 1, 16,
	    "unknown" },
	{ "{\"service\":\"a\",\"requests\":{}}", JSON_E_TYPE, 1, 27,
	    "an array" },
	{ ONE_RULE("[]"), JSON_E_TYPE, 2, 1, "an object" },
	{ ONE_RULE("{\"method\":\"GET\",\"path\":\"/\"}"), JSON_E_MISSING, 2, 1,
	    "idempotent" },
	{ ONE_RULE(
	      "{\"method\":\"GET\",\"path\":\"/\",\"idempotent\":\"yes\"}"),
	    JSON_E_TYPE, 2, 41, "true or false" },
	{ ONE_RULE(RULE("get", "/", "true")), JSON_E_VALUE, 2, 11,
	    "upper-case" },
	{ ONE_RULE(RULE("GET", "codes", "true")), JSON_E_VALUE, 2, 24,
	    "begin" },
	{ ONE_RULE(RULE("GET", "/a*b", "true")), JSON_E_VALUE, 2, 24, "last" },
	{ ONE_RULE(RULE("GET", "/a?b", "true")), JSON_E_VALUE, 2, 24, "query" },
	{ ONE_RULE(RULE("GET", "/a//b", "true")), JSON_E_VALUE, 2, 24,
	    "spelling" },
	{ ONE_RULE(RULE("GET", "/a/../b", "true")), JSON_E_VALUE, 2, 24,
	    "spelling" },
	{ ONE_RULE(RULE("GET", "/a%2fb", "true")), JSON_E_VALUE, 2, 24,
	    "spelling" },
	{ TWO_RULES(RULE("GET", "/a", "true"), RULE("GET", "/a", "false")),
	    JSON_E_VALUE, 3, 2, "contradicts the rule at line 2" },
	{ TWO_RULES(RULE("GET", "/a", "true"), RULE("GET", "/a", "true")),
	    JSON_E_VALUE, 3, 2, "twice, first at line 2" },
	{ TWO_RULES(RULE("GET", "/a/*", "true"), RULE("GET", "/a/b", "false")),
	    JSON_E_VALUE, 3, 2, "line 2 covers it" },
	{ TWO_RULES(RULE("*", "/*", "false"), RULE("GET", "/a/*", "true")),
	    JSON_E_VALUE, 3, 2, "line 2 covers it" },
	{ TWO_RULES(RULE("GET", "/a", "false"), RULE("GET", "/A/", "true")),
	    JSON_E_VALUE, 3, 2, "line 2 covers it" },
};

START_TEST(bad_text_gives_error_position)
{
	struct kq_error e = { 0 };
	struct service s;

	ck_assert_msg(service_read(&s, bad_texts[_i].text,
			  strlen(bad_texts[_i].text), &e) == -1,
	    "accepted: %s", bad_texts[_i].text);
	ck_assert_msg(e.code == bad_texts[_i].code &&
			  e.line == bad_texts[_i].line &&
			  e.column == bad_texts[_i].column &&
			  strstr(e.text, bad_texts[_i].message),
	    "%s: code %d at %d:%d, %s", bad_texts[_i].text, e.code, e.line,
	    e.column, e.text);
}
END_TEST

/* In each text the first rule does not cover the second. */
START_TEST(accepts_rules_that_can_match)
{
	static const char *const texts[] = {
		TWO_RULES(RULE("GET", "/a/b", "false"),
		    RULE("GET", "/a/*", "true")),
		TWO_RULES(RULE("GET", "/a", "true"),
		    RULE("PUT", "/a", "false")),
		TWO_RULES(RULE("GET", "/a", "true"), RULE("*", "/a", "false")),
		TWO_RULES(RULE("GET", "/a", "true"),
		    RULE("GET", "/A", "false")),
		TWO_RULES(RULE("GET", "/a/*", "true"),
		    RULE("GET", "/a*", "false")),
	};
	struct kq_error e;
	struct service s;

	ck_assert_msg(service_read(&s, texts[_i], strlen(texts[_i]), &e) == 0,
	    "%s: %s", texts[_i], e.text);
}
END_TEST

static const struct {
	const char *method;
	const char *path;
	int idempotent;
} requests[] = {
	{ "GET", "/codes/7", 1 },
	{ "GET", "/codes/7?x=%2f..", 1 },
	{ "GET", "/codes/reset", 0 },
	{ "GET", "/codes/reset?now", 0 },
	{ "GET", "/codes/Reset", 0 },
	{ "GET", "/codes/reset/", 0 },
	{ "GET", "/codes/reset/all", 1 },
	{ "GET", "/codes//reset", 0 },
	{ "GET", "/codes/./reset", 0 },
	{ "GET", "/codes/x/../reset", 0 },
	{ "GET", "/codes/x/..", 0 },
	{ "GET", "/codes/%72eset", 0 },
	{ "GET", "/codes/reset;a=1", 0 },
	{ "GET", "/codes\\reset", 0 },
	{ "GET", "/codes/reset#a", 0 },
	{ "GET", "/codes/r\xc3\xa9set", 0 },
	{ "GET", "/codes/.hidden", 1 },
	{ "GET", "/codes/a..b", 1 },
	{ "get", "/codes/7", 0 },
	{ "POST", "/codes/7", 0 },
	{ "HEAD", "/codes/7", 0 },
	{ "PUT", "/notes/1", 1 },
	{ "PUT", "/Notes/1", 0 },
	{ "GET", "/ADMIN/x", 0 },
	{ "GET", "/admin", 0 },
	{ "GET", "/", 1 },
	{ "GET", "*", 0 },
	{ "GET", "", 0 },
	{ "GET", "http://codebook/codes/7", 0 },
	{ "GET", "?", 0 },
};

/* A request is idempotent only if its path has no other spelling and the first
 * rule that matches says so. Targets often ignore case and a slash at the end,
 * so a rule that says not idempotent matches without regard to these. */
START_TEST(doubtful_requests_are_not_idempotent)
{
	struct kq_error e;
	struct service s;

	ck_assert_int_eq(service_read(&s, full_text, strlen(full_text), &e), 0);
	ck_assert_msg(service_idempotent(&s, requests[_i].method,
			  requests[_i].path) == requests[_i].idempotent,
	    "%s %s", requests[_i].method, requests[_i].path);
	s.removed = 1;
	ck_assert_int_eq(service_idempotent(&s, requests[_i].method,
			     requests[_i].path),
	    0);
}
END_TEST

START_TEST(service_round_trips)
{
	GString *out = g_string_new(NULL);
	char id[PUBLICATION_MAX];
	struct kq_error e;
	struct service a, b;

	ck_assert_int_eq(service_read(&a, full_text, strlen(full_text), &e), 0);
	service_write(out, &a);
	publication_add(out, "p-17");
	ck_assert_msg(service_read(&b, out->str, out->len, &e) == 0, "%s",
	    e.text);
	ck_assert_mem_eq(&a, &b, sizeof a);
	ck_assert_int_eq(publication_read(id, out->str, out->len, &e), 0);
	ck_assert_str_eq(id, "p-17");
	g_string_free(out, TRUE);
}
END_TEST

static const struct {
	const char *text;
	int code;
	int column;
} bad_datacentres[] = {
	{ "{\"state\":\"in\"}", JSON_E_MISSING, 1 },
	{ "{\"datacentre\":\"luzon-b\"}", JSON_E_MISSING, 1 },
	{ "{\"datacentre\":\"luzon-b\",\"state\":\"IN\"}", JSON_E_VALUE, 33 },
	{ "{\"datacentre\":\"luzon-b\",\"state\":\"in\",\"ramp_s\":1}",
	    JSON_E_UNKNOWN, 38 },
	{ "{\"datacentre\":\"luzon-b\",\"state\":\"in\",\"ramp_ms\":-1}",
	    JSON_E_RANGE, 48 },
};

START_TEST(datacentre_rejects_bad_text)
{
	struct datacentre d;
	struct kq_error e;
	const char *t = bad_datacentres[_i].text;

	ck_assert_int_eq(datacentre_read(&d, t, strlen(t), &e), -1);
	ck_assert_int_eq(e.code, bad_datacentres[_i].code);
	ck_assert_int_eq(e.column, bad_datacentres[_i].column);
}
END_TEST

START_TEST(datacentre_round_trips)
{
	static const char text[] =
	    "{\"datacentre\":\"estrie\",\"region\":"
	    "\"quebec\",\"state\":\"out\",\"ramp_ms\":0}";
	GString *out = g_string_new(NULL);
	struct datacentre d;
	struct kq_error e;

	ck_assert_int_eq(datacentre_read(&d, text, strlen(text), &e), 0);
	ck_assert_int_eq(d.state, DATACENTRE_OUT);
	datacentre_write(out, &d);
	ck_assert_str_eq(out->str, text);
	g_string_free(out, TRUE);
}
END_TEST

#define INSTANCE(id, ip, port)                                         \
	"{\"incarnation\":\"" id "\",\"service\":\"registre\","        \
	"\"datacentre\":\"estrie\",\"region\":\"quebec\",\"ip\":\"" ip \
	"\",\"caller_port\":8080,\"peer_port\":" port ",\"operator_port\":1}"

START_TEST(instance_round_trips)
{
	static const char text[] =
	    INSTANCE("00000000000000ff", "127.0.0.1", "65535");
	GString *out = g_string_new(NULL);
	struct instance i;
	struct kq_error e;

	ck_assert_msg(instance_read(&i, text, strlen(text), &e) == 0, "%s",
	    e.text);
	ck_assert_uint_eq(i.incarnation, 255);
	ck_assert_int_eq(i.peer_port, 65535);
	instance_write(out, &i);
	ck_assert_str_eq(out->str, text);
	g_string_free(out, TRUE);
}
END_TEST

START_TEST(instance_rejects_bad_text)
{
	static const char *const texts[] = {
		INSTANCE("0000000000000000", "127.0.0.1", "1"),
		INSTANCE("00000000000000f", "127.0.0.1", "1"),
		INSTANCE("00000000000000FF", "127.0.0.1", "1"),
		INSTANCE("00000000000000fff", "127.0.0.1", "1"),
		INSTANCE("00000000000000ff", "127.0.0.256", "1"),
		INSTANCE("00000000000000ff", "localhost", "1"),
		INSTANCE("00000000000000ff", "127.0.0.1", "65536"),
		INSTANCE("00000000000000ff", "127.0.0.1", "0"),
	};
	struct instance i;
	struct kq_error e;

	ck_assert_int_eq(instance_read(&i, texts[_i], strlen(texts[_i]), &e),
	    -1);
	ck_assert_int_gt(e.column, 1);
}
END_TEST

#define COUNT(a) ((int)(sizeof(a) / sizeof(a)[0]))

int
main(void)
{
	Suite *s = suite_create("service_file");
	TCase *c = tcase_create("service_file");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, reads_all_keys);
	tcase_add_test(c, absent_keys_get_defaults);
	tcase_add_loop_test(c, bad_text_gives_error_position, 0,
	    COUNT(bad_texts));
	tcase_add_loop_test(c, accepts_rules_that_can_match, 0, 5);
	tcase_add_loop_test(c, doubtful_requests_are_not_idempotent, 0,
	    COUNT(requests));
	tcase_add_test(c, service_round_trips);
	tcase_add_loop_test(c, datacentre_rejects_bad_text, 0,
	    COUNT(bad_datacentres));
	tcase_add_test(c, datacentre_round_trips);
	tcase_add_test(c, instance_round_trips);
	tcase_add_loop_test(c, instance_rejects_bad_text, 0, 8);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
