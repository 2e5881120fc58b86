#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "routing.h"

static const char text[] =
    "{\"routes\":["
    "{\"host\":\"a.example\",\"prefix\":\"/\",\"idempotent\":true,"
    "\"services\":[{\"service\":\"one\"}]},"
    "{\"host\":\"a.example\",\"prefix\":\"/x/\",\"timeout_ms\":800,"
    "\"objective_ms\":300,\"priority\":2,\"attempts\":3,"
    "\"services\":[{\"service\":\"two\",\"weight\":90},"
    "{\"service\":\"three\",\"weight\":10}]},"
    "{\"host\":\"a.example\",\"prefix\":\"/x/y/\","
    "\"services\":[{\"service\":\"four\",\"weight\":0},"
    "{\"service\":\"five\",\"weight\":7}]},"
    "{\"host\":\"ab.example\",\"prefix\":\"/only/\","
    "\"services\":[{\"service\":\"six\"}]}],"
    "\"services\":[{\"service\":\"two\",\"health_path\":\"/h\","
    "\"connections\":260,\"cold_ms\":3000,\"cold_per_s\":19}],"
    "\"limits\":{\"idle_ms\":15000}}";

static struct routing *
read_text(const char *s)
{
	struct kq_error e = { 0 };
	struct routing *r = routing_read(s, strlen(s), &e);

	ck_assert_msg(r != NULL, "%s", e.text);
	return r;
}

/* Returns the last service of the route that a request matches, or "none". */
static const char *
service_of(const struct routing *r, const char *host, const char *path)
{
	int i = routing_find(r, host, path);

	return i == ROUTE_NONE
		   ? "none"
		   : r->route[i].part[r->route[i].npart - 1].service;
}

static const struct {
	const char *host;
	const char *path;
	const char *service;
} cases[] = {
	{ "a.example", "/x/1", "three" },
	{ "a.example:80", "/x/y/1?z=/x/", "five" },
	{ "A.Example", "/x/y", "three" },
	{ "a.example", "/x", "one" },
	{ "a.example", "/?q=/x/", "one" },
	{ "ab.example", "/only/", "six" },
	{ "ab.example", "/", "none" },
	{ "a.exampl", "/", "none" },
	{ "a.example.org", "/", "none" },
	{ "", "/", "none" },
};

START_TEST(longest_prefix_of_the_host_matches)
{
	struct routing *r = read_text(text);

	ck_assert_str_eq(service_of(r, cases[_i].host, cases[_i].path),
	    cases[_i].service);
	routing_unref(r);
}
END_TEST

START_TEST(routes_services_and_limits_are_read)
{
	struct routing *r = read_text(text);
	const struct route *x = &r->route[routing_find(r, "a.example", "/x/1")];
	const struct routing_service *s = routing_service(r, "two");

	ck_assert_int_eq(x->idempotent, 0);
	ck_assert_int_eq(x->timeout_ms, 800);
	ck_assert_int_eq(x->objective_ms, 300);
	ck_assert_int_eq(x->priority, 2);
	ck_assert_int_eq(x->max_attempts, 3);
	ck_assert_str_eq(s->health_path, "/h");
	ck_assert_int_eq(s->connections, 260);
	ck_assert_int_eq(s->cold_ms, 3000);
	ck_assert(s->cold_per_s == 19);
	ck_assert_int_eq(r->limits.idle_ms, 15000);
	ck_assert_ptr_null(routing_service(r, "one"));
	ck_assert_int_eq(routing_allows(r, "a.example", "/x/1", "three"), 1);
	ck_assert_int_eq(routing_allows(r, "a.example", "/x/1", "one"), 0);
	ck_assert_int_eq(routing_allows(r, "a.example", "/x/y/", "four"), 0);
	routing_unref(r);
}
END_TEST

/* The services' shares of requests are close to their weights after few
 * requests, wherever the sequence starts. */
START_TEST(requests_follow_the_weights)
{
	struct route r = { .npart = 3,
		.part = { { "a", 70 }, { "b", 0 }, { "c", 30 } } };
	int start, i, n[3];

	for (start = 0; start < 50; start++) {
		struct route_sequence t = { start / 50.0 };

		memset(n, 0, sizeof n);
		for (i = 0; i < 40; i++)
			n[route_next_part(&r, &t)]++;
		ck_assert_int_eq(n[1], 0);
		ck_assert_int_ge(n[0], 26);
		ck_assert_int_le(n[0], 30);
	}
}
END_TEST

static const struct {
	const char *text;
	const char *error;
} bad[] = {
	{ "[]", "object" },
	{ "{\"routes\":[{\"prefix\":\"/\",\"services\":[]}]}", "host" },
	{ "{\"routes\":[{\"host\":\"a\",\"prefix\":\"/x\",\"services\":"
	  "[{\"service\":\"a\"}]}]}",
	    "slash" },
	{ "{\"routes\":[{\"host\":\"a\",\"prefix\":\"/\"}]}", "services" },
	{ "{\"routes\":[{\"host\":\"a\",\"prefix\":\"/\",\"services\":"
	  "[{\"service\":\"a\",\"weight\":0}]}]}",
	    "weight" },
	{ "{\"routes\":[{\"host\":\"a\",\"prefix\":\"/\",\"timeout_ms\":-1,"
	  "\"services\":[{\"service\":\"a\"}]}]}",
	    "timeout_ms" },
	{ "{\"route\":[]}", "unknown" },
};

START_TEST(error_names_what_is_wrong)
{
	struct kq_error e = { 0 };

	ck_assert_ptr_null(
	    routing_read(bad[_i].text, strlen(bad[_i].text), &e));
	ck_assert_msg(strstr(e.text, bad[_i].error) != NULL, "%s", e.text);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("route");
	TCase *c = tcase_create("route");
	SRunner *r;
	int failed;

	tcase_add_loop_test(c, longest_prefix_of_the_host_matches, 0,
	    sizeof cases / sizeof *cases);
	tcase_add_test(c, routes_services_and_limits_are_read);
	tcase_add_test(c, requests_follow_the_weights);
	tcase_add_loop_test(c, error_names_what_is_wrong, 0,
	    sizeof bad / sizeof *bad);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
