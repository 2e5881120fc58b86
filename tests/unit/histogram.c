#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "histogram.h"

#define RELATIVE_ERROR 0.01

static int
ascending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

START_TEST(every_value_within_one_per_cent)
{
	static struct histogram h;
	uint64_t v, q;

	for (v = 1; v < 1ULL << HISTOGRAM_MAX_BITS; v += v / 499 + 1) {
		memset(&h, 0, sizeof h);
		histogram_add(&h, (int64_t)v);
		/* Otherwise the exact maximum would be the result. */
		histogram_add(&h, INT64_MAX);
		q = histogram_quantile(&h, 0.5);
		ck_assert_uint_ge(q, v);
		ck_assert((double)(q - v) <= RELATIVE_ERROR * (double)v);
	}
}
END_TEST

START_TEST(counts_up_to_a_value)
{
	static struct histogram h;

	ck_assert_uint_eq(histogram_count_upto(&h, 1000), 0);
	histogram_add(&h, 3);
	histogram_add(&h, 900);
	histogram_add(&h, 1000);
	histogram_add(&h, 1100);
	histogram_add(&h, INT64_MAX);
	ck_assert_uint_eq(histogram_count_upto(&h, 2), 0);
	ck_assert_uint_eq(histogram_count_upto(&h, 3), 1);
	ck_assert_uint_eq(histogram_count_upto(&h, 1000), 3);
	ck_assert_uint_eq(histogram_count_upto(&h, 1200), 4);
	ck_assert_uint_eq(histogram_count_upto(&h, UINT64_MAX), 5);
}
END_TEST

START_TEST(quantiles_match_sorted_values)
{
	static const double q[] = { 0, 0.01, 0.25, 0.5, 0.9, 0.99, 0.999, 1 };
	static struct histogram h;
	enum { N = 20000 };
	static int64_t v[N];
	size_t i, rank;
	double exact, got;

	srand48(7);
	for (i = 0; i < N; i++) {
		v[i] = (int64_t)(100 / (1.0 - drand48()));
		histogram_add(&h, v[i]);
	}
	qsort(v, N, sizeof *v, ascending);
	for (i = 0; i < sizeof q / sizeof *q; i++) {
		rank = (size_t)(q[i] * N + 0.999999);
		exact = (double)v[rank ? rank - 1 : 0];
		got = (double)histogram_quantile(&h, q[i]);
		ck_assert(got >= exact);
		ck_assert(got <= exact * (1 + RELATIVE_ERROR));
	}
	ck_assert_uint_eq(histogram_quantile(&h, 1), (uint64_t)v[N - 1]);
}
END_TEST

START_TEST(empty_negative_and_huge_values)
{
	static struct histogram h;

	ck_assert_uint_eq(histogram_quantile(&h, 0.99), 0);
	histogram_add(&h, -5);
	ck_assert_uint_eq(histogram_quantile(&h, 1), 0);
	histogram_add(&h, 127);
	ck_assert_uint_eq(histogram_quantile(&h, 1), 127);
	histogram_add(&h, INT64_MAX);
	ck_assert_uint_eq(histogram_quantile(&h, 1), INT64_MAX);
	ck_assert_uint_eq(histogram_quantile(&h, 0.6), 127);
}
END_TEST

START_TEST(merge_equals_adding_all)
{
	static struct histogram a, b, both;
	int i;

	for (i = 0; i < 1000; i++) {
		histogram_add(i % 3 ? &a : &b, i * i);
		histogram_add(&both, i * i);
	}
	histogram_merge(&a, &b);
	ck_assert_mem_eq(&a, &both, sizeof a);
}
END_TEST

int
main(void)
{
	Suite *s = suite_create("histogram");
	TCase *c = tcase_create("histogram");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(c, every_value_within_one_per_cent);
	tcase_add_test(c, counts_up_to_a_value);
	tcase_add_test(c, quantiles_match_sorted_values);
	tcase_add_test(c, empty_negative_and_huge_values);
	tcase_add_test(c, merge_equals_adding_all);
	suite_add_tcase(s, c);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
