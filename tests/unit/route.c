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
	struct route_part part[] = { { "a", 70 }, { "b", 0 }, { "c", 30 } };
	struct route r = { .npart = 3, .part = part };
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
	{ "{\"routes\":7}", "array" },
	{ "{\"route\":[]}", "unknown" },
};

START_TEST(text_that_is_no_routing_is_refused)
{
	struct kq_error e = { 0 };

	ck_assert_ptr_null(
	    routing_read(bad[_i].text, strlen(bad[_i].text), &e));
	ck_assert_msg(strstr(e.text, bad[_i].error) != NULL, "%s", e.text);
}
END_TEST

#define GOOD                                                        \
	"{\"host\":\"good.example\",\"prefix\":\"/\",\"services\":" \
	"[{\"service\":\"good\"}]}"
#define OTHER_HOST "\"host\":\"a\",\"prefix\":\"/x/\","

/* Routes of which none can be used. Those with @refuses name a host and a
 * prefix, so that their requests must not go to a shorter prefix. */
static const struct {
	const char *route;
	const char *error;
	int refuses;
} bad_routes[] = {
	{ "null", "object", 0 },
	{ "[]", "object", 0 },
	{ "{\"prefix\":\"/\",\"services\":[]}", "host", 0 },
	{ "{\"host\":5,\"prefix\":\"/\",\"services\":[]}", "host", 0 },
	{ "{\"host\":\"a\",\"prefix\":\"/x\",\"services\":"
	  "[{\"service\":\"a\"}]}",
	    "slash", 0 },
	{ "{" OTHER_HOST "\"idempotent\":true}", "services", 1 },
	{ "{" OTHER_HOST "\"services\":{}}", "services", 1 },
	{ "{" OTHER_HOST "\"services\":[7]}", "object", 1 },
	{ "{" OTHER_HOST "\"services\":[{\"weight\":1}]}", "service", 1 },
	{ "{" OTHER_HOST "\"services\":[{\"service\":\"a\",\"weight\":0}]}",
	    "weight", 1 },
	{ "{" OTHER_HOST "\"services\":[{\"service\":\"a\",\"weight\":-1},"
	  "{\"service\":\"b\"}]}",
	    "weight", 1 },
	{ "{" OTHER_HOST "\"timeout_ms\":-1,\"services\":"
	  "[{\"service\":\"a\"}]}",
	    "timeout_ms", 1 },
	{ "{" OTHER_HOST "\"timeout_ms\":\"9\",\"services\":"
	  "[{\"service\":\"a\"}]}",
	    "timeout_ms", 1 },
	{ "{" OTHER_HOST "\"idempotent\":null,\"services\":"
	  "[{\"service\":\"a\"}]}",
	    "idempotent", 1 },
	{ "{" OTHER_HOST "\"odd\":1,\"services\":[{\"service\":\"a\"}]}",
	    "unknown", 1 },
};

/* Reads a routing with three routes and a service: the first is under test. */
static struct routing *
read_beside_good(const char *route, struct kq_error *e)
{
	GString *t = g_string_new(NULL);
	struct routing *r;

	g_string_printf(t,
	    "{\"routes\":[%s," GOOD ",{\"host\":\"a\",\"prefix\":\"/\","
	    "\"services\":[{\"service\":\"short\"}]}],"
	    "\"services\":[{\"service\":\"good\"}]}",
	    route);
	r = routing_read(t->str, t->len, e);
	g_string_free(t, TRUE);
	return r;
}

START_TEST(invalid_route_costs_only_itself)
{
	struct kq_error e = { 0 };
	struct routing *r = read_beside_good(bad_routes[_i].route, &e);
	int i;

	ck_assert_msg(r != NULL, "%s", e.text);
	ck_assert_msg(strstr(e.text, bad_routes[_i].error) != NULL, "%s",
	    e.text);
	ck_assert_int_eq(r->ninvalid, 1);
	ck_assert_str_eq(service_of(r, "good.example", "/"), "good");
	ck_assert_ptr_nonnull(routing_service(r, "good"));
	i = routing_find(r, "a", "/x/1");
	ck_assert_int_ne(i, ROUTE_NONE);
	ck_assert_str_eq(r->route[i].prefix,
	    bad_routes[_i].refuses ? "/x/" : "/");
	ck_assert_int_eq(r->route[i].npart, bad_routes[_i].refuses ? 0 : 1);
	routing_unref(r);
}
END_TEST

/* Appends @n bytes. */
static void
append_repeated(GString *t, char c, int n)
{
	while (n--)
		g_string_append_c(t, c);
}

START_TEST(names_and_lists_of_any_length_are_read)
{
	GString *t = g_string_new("{\"host\":\""), *host = g_string_new(NULL),
		*path = g_string_new("/");
	struct kq_error e = { 0 };
	struct routing *r;
	const struct route *x;
	int i;

	append_repeated(host, 'h', 2000);
	append_repeated(path, 'p', 2000);
	g_string_append_printf(t, "%s\",\"prefix\":\"%s/\",\"services\":[",
	    host->str, path->str);
	for (i = 0; i < 100; i++)
		g_string_append_printf(t,
		    "%s{\"service\":\"s%0120d\",\"weight\":0.5}", i ? "," : "",
		    i);
	g_string_append(t, "]}");
	r = read_beside_good(t->str, &e);
	ck_assert_msg(r != NULL && !e.code, "%s", e.text);
	ck_assert_int_eq(r->ninvalid, 0);
	g_string_append(path, "/1");
	i = routing_find(r, host->str, path->str);
	ck_assert_int_ne(i, ROUTE_NONE);
	x = &r->route[i];
	ck_assert_int_eq(x->npart, 100);
	ck_assert(x->part[99].weight == 0.5);
	ck_assert_int_eq(strlen(x->part[99].service), 121);
	routing_unref(r);
	g_string_free(t, TRUE);
	g_string_free(host, TRUE);
	g_string_free(path, TRUE);
}
END_TEST

START_TEST(large_numbers_are_capped)
{
	struct kq_error e = { 0 };
	struct routing *r = read_beside_good("{\"host\":\"b\",\"prefix\":"
					     "\"/\",\"timeout_ms\":1e12,"
					     "\"attempts\":1000000,"
					     "\"objective_ms\":700.5,"
					     "\"services\":[{\"service\":"
					     "\"b\",\"weight\":5000000000}]}",
	    &e);
	const struct route *x;

	ck_assert_msg(r != NULL && !e.code, "%s", e.text);
	x = &r->route[routing_find(r, "b", "/")];
	ck_assert_int_eq(x->timeout_ms, 3600000);
	ck_assert_int_eq(x->objective_ms, 700);
	ck_assert_int_eq(x->max_attempts, 100);
	ck_assert(x->part[0].weight == 5e9);
	routing_unref(r);
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
	tcase_add_loop_test(c, text_that_is_no_routing_is_refused, 0,
	    sizeof bad / sizeof *bad);
	tcase_add_loop_test(c, invalid_route_costs_only_itself, 0,
	    sizeof bad_routes / sizeof *bad_routes);
	tcase_add_test(c, names_and_lists_of_any_length_are_read);
	tcase_add_test(c, large_numbers_are_capped);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
