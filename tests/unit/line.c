#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "adapter/http/line.h"

/* Verdicts on the ends of one request beside others, as a table. */

#define ITEMS_MAX 20

/* A line is written as its requests in order: "o" open, "w" whole and waiting,
 * "c" open and the last of its connection, "n" open and nothing may be read
 * behind it; "!" after one: its request is being read; "|" at the end: no more
 * is read. */
struct line_case {
	const char *line;
	enum line_verdict verdict;
	const char *after;
};

static struct line line;
static struct line_item item[ITEMS_MAX];
static char shown[2 * ITEMS_MAX];

static void
set_line(const char *text)
{
	int n = 0;

	memset(&line, 0, sizeof line);
	memset(item, 0, sizeof item);
	for (; *text; text++) {
		if (*text == '|') {
			line.closing = 1;
			continue;
		}
		item[n].open = *text != 'w';
		item[n].whole = *text == 'w';
		item[n].keep_alive = *text != 'c';
		item[n].pipelinable = *text == 'o' || *text == 'w';
		line_add(&line, &item[n++]);
		if (text[1] == '!')
			text++;
		else
			line.reading = NULL;
	}
}

static char
letter(const struct line_item *i)
{
	if (i->whole)
		return i->keep_alive ? 'w' : 'W';
	if (!i->open)
		return '-';
	if (!i->keep_alive)
		return 'c';
	return i->pipelinable ? 'o' : 'n';
}

static const char *
show_line(void)
{
	const struct line_item *i;
	char *p = shown;

	for (i = line.first; i; i = i->next) {
		*p++ = letter(i);
		if (line.reading == i)
			*p++ = '!';
	}
	if (line.closing)
		*p++ = '|';
	*p = '\0';
	return shown;
}

static void
check_case(const struct line_case *c, enum line_verdict v)
{
	ck_assert_msg(v == c->verdict, "%s: verdict %d, not %d", c->line, v,
	    c->verdict);
	ck_assert_msg(!strcmp(show_line(), c->after), "%s: line \"%s\"",
	    c->line, show_line());
}

static const struct line_case finish_first[] = {
	{ "o", LINE_GO_ON, "" },
	{ "oo", LINE_NEXT, "o" },
	{ "ow", LINE_NEXT, "w" },
	{ "co", LINE_CLOSE, "o" },
	{ "o|", LINE_CLOSE, "|" },
	{ "oo|", LINE_NEXT, "o|" },
	{ "o!", LINE_GO_ON, "" },
};

START_TEST(first_response_is_complete)
{
	set_line(finish_first[_i].line);
	check_case(&finish_first[_i], line_finish(&line, line.first));
}
END_TEST

static const struct line_case finish_last[] = {
	{ "oo", LINE_GO_ON, "ow" },
	{ "oo!", LINE_GO_ON, "ow!" },
	{ "oc", LINE_GO_ON, "oW" },
	{ "o", LINE_GO_ON, "" },
	{ "c", LINE_CLOSE, "" },
	{ "o|", LINE_CLOSE, "|" },
};

START_TEST(last_response_is_complete)
{
	set_line(finish_last[_i].line);
	check_case(&finish_last[_i], line_finish(&line, line.newest));
}
END_TEST

/* Cases of faults in pairs of the line and whether the head was read. */
static const struct {
	struct line_case c;
	enum line_sent sent;
	int handed;
} faults[] = {
	{ { "", LINE_REJECT, "|" }, LINE_SENT_NONE, 0 },
	{ { "o", LINE_REJECT, "o|" }, LINE_SENT_NONE, 0 },
	{ { "o!", LINE_ANSWER, "c|" }, LINE_SENT_NONE, 1 },
	{ { "oo!", LINE_ANSWER, "oc|" }, LINE_SENT_NONE, 1 },
	{ { "o!", LINE_CLOSE, "c|" }, LINE_SENT_PART, 1 },
	{ { "o!", LINE_RESET, "c|" }, LINE_SENT_UNFRAMED, 1 },
	{ { "ow!", LINE_GO_ON, "oW|" }, LINE_SENT_NONE, 1 },
	{ { "", LINE_CLOSE, "|" }, LINE_SENT_NONE, 1 },
	{ { "o", LINE_GO_ON, "o|" }, LINE_SENT_NONE, 1 },
};

START_TEST(message_being_read_is_broken)
{
	set_line(faults[_i].c.line);
	check_case(&faults[_i].c,
	    line_fault(&line, faults[_i].sent, faults[_i].handed));
}
END_TEST

START_TEST(aborted_response_closes_only_what_the_caller_saw)
{
	set_line("oo");
	ck_assert_int_eq(line_abort(&item[1], LINE_SENT_NONE), LINE_ANSWER);
	ck_assert_int_eq(line_abort(&item[0], LINE_SENT_PART), LINE_CLOSE);
	ck_assert_int_eq(line_abort(&item[0], LINE_SENT_UNFRAMED), LINE_RESET);
	ck_assert_str_eq(show_line(), "--");
}
END_TEST

static const struct {
	const char *line;
	int partial;
	enum line_verdict verdict;
} eofs[] = {
	{ "", 0, LINE_CLOSE },
	{ "", 1, LINE_FAULT },
	{ "o", 0, LINE_PROBE },
	{ "oo", 0, LINE_PROBE },
	{ "o", 1, LINE_FAULT },
	{ "o!", 1, LINE_FAULT },
	{ "oo!", 1, LINE_FAULT },
};

START_TEST(caller_closes_its_sending_side)
{
	set_line(eofs[_i].line);
	ck_assert_int_eq(line_eof(&line, eofs[_i].partial), eofs[_i].verdict);
}
END_TEST

START_TEST(caller_is_slow)
{
	ck_assert_int_eq(line_timeout(1, 0), LINE_DROP);
	ck_assert_int_eq(line_timeout(1, 1), LINE_DROP);
	ck_assert_int_eq(line_timeout(0, 1), LINE_FAULT);
	ck_assert_int_eq(line_timeout(0, 0), LINE_DROP);
}
END_TEST

START_TEST(dropped_body_waits_for_the_responses_before)
{
	set_line("ow!");
	ck_assert_int_eq(line_overrun(&line), LINE_GO_ON);
	ck_assert_str_eq(show_line(), "ow|");
	set_line("");
	ck_assert_int_eq(line_overrun(&line), LINE_CLOSE);
}
END_TEST

static const struct {
	const char *line;
	int stopping, may_read, may_run;
} reads[] = {
	{ "", 0, 1, 1 },
	{ "", 1, 1, 1 },
	{ "o", 0, 1, 1 },
	{ "o", 1, 0, 1 },
	{ "n", 0, 0, 1 },
	{ "c", 0, 0, 0 },
	{ "o|", 0, 0, 0 },
	{ "oooooooooooooooo", 0, 0, 1 },
};

START_TEST(requests_are_read_and_run)
{
	set_line(reads[_i].line);
	ck_assert_int_eq(line_may_read(&line, reads[_i].stopping),
	    reads[_i].may_read);
	ck_assert_int_eq(line_may_run(&line), reads[_i].may_run);
}
END_TEST

#define LOOP(c, test, table) \
	tcase_add_loop_test(c, test, 0, sizeof(table) / sizeof *(table))

int
main(void)
{
	Suite *s = suite_create("line");
	TCase *c = tcase_create("line");
	SRunner *r;
	int failed;

	LOOP(c, first_response_is_complete, finish_first);
	LOOP(c, last_response_is_complete, finish_last);
	LOOP(c, message_being_read_is_broken, faults);
	tcase_add_test(c, aborted_response_closes_only_what_the_caller_saw);
	LOOP(c, caller_closes_its_sending_side, eofs);
	tcase_add_test(c, caller_is_slow);
	tcase_add_test(c, dropped_body_waits_for_the_responses_before);
	LOOP(c, requests_are_read_and_run, reads);
	suite_add_tcase(s, c);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
