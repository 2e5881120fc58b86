#include <stdio.h>
#include <string.h>

#include "io.h"
#include "json.h"
#include "tool.h"

#define POLL_US 100000

static const char *const outcome_names[] = { "accepted", "conflict",
	"undecided", "refused" };

/* Sends the accepted object to the named daemons, so that it spreads even if
 * the platform fails at this moment. */
static void
send_to_daemons(struct tool *t, const struct publication *p)
{
	GString *b = g_string_new("{\"kind\":");
	struct kq_error e;
	int i;

	json_append_string(b, config_kind_name(p->kind));
	g_string_append(b, ",\"name\":");
	json_append_string(b, p->name);
	g_string_append_printf(b,
	    ",\"version\":%" G_GUINT64_FORMAT ",\"value\":%s}", p->version,
	    p->value);
	for (i = 0; i < t->ndaemon; i++)
		if (tool_post(&t->daemon[i], "/v1/object", b->str, &e))
			tool_print_error(&e);
	g_string_free(b, TRUE);
}

static int
in_force_at(const struct settings_address *a, uint64_t version)
{
	char *text = tool_get(a, "/v1/status", NULL);
	int64_t complete = 0;
	struct json *j;

	if (!text)
		return 0;
	j = json_read(text, strlen(text), NULL);
	g_free(text);
	if (!j)
		return 0;
	json_get_int(j, json_root(j), "complete", 0, INT64_MAX, &complete,
	    NULL);
	json_free(j);
	return (uint64_t)complete >= version;
}

/* Gets the operator ports of the members that the first daemon considers alive;
 * none if it does not answer. */
static GArray *
live_members(struct tool *t, struct kq_error *e)
{
	char *text = tool_get(&t->daemon[0], "/v1/members", e);
	GArray *a = g_array_new(FALSE, TRUE, sizeof(struct settings_address));
	struct settings_address m;
	char state[16];
	struct json *j;
	int64_t port;
	int i, n;

	j = text ? json_read(text, strlen(text), e) : NULL;
	g_free(text);
	if (!j)
		return a;
	n = json_count(j, json_root(j));
	for (i = 0; i < n; i++) {
		int node = json_item(j, json_root(j), i);

		memset(&m, 0, sizeof m);
		port = 0;
		if (json_get_string(j, node, "state", state, sizeof state,
			NULL) != 1 ||
		    strcmp(state, "alive"))
			continue;
		json_get_string(j, node, "ip", m.ip, sizeof m.ip, NULL);
		json_get_int(j, node, "operator_port", 1, 65535, &port, NULL);
		m.port = port;
		if (port)
			g_array_append_val(a, m);
	}
	json_free(j);
	return a;
}

static int
count_in_force(GArray *members, uint64_t version)
{
	guint i;
	int n = 0;

	for (i = 0; i < members->len; i++)
		n += in_force_at(&g_array_index(members,
				     struct settings_address, i),
		    version);
	return n;
}

static int
wait_in_force(struct tool *t, uint64_t version)
{
	int64_t start = io_clock(), now;
	struct kq_error e = { 0 };
	GArray *m;
	int n, all, last = -1;

	for (;;) {
		m = live_members(t, &e);
		all = m->len;
		n = count_in_force(m, version);
		g_array_unref(m);
		now = io_clock();
		if (n != last)
			fprintf(stderr,
			    "version %" G_GUINT64_FORMAT
			    " in force at %d of %d after %.2f s\n",
			    version, n, all, (now - start) / 1e6);
		last = n;
		if (all && n == all)
			return EXIT_DONE;
		if (now - start > t->wait_ms * (int64_t)1000)
			return EXIT_NOT_IN_FORCE;
		g_usleep(POLL_US);
	}
}

static void
print_outcome(struct tool *t, const struct publication *p)
{
	if (t->json) {
		printf("{\"outcome\":\"%s\",\"kind\":\"%s\",\"name\":\"%s\","
		       "\"version\":%" G_GUINT64_FORMAT
		       ",\"publication\":\"%s\"}\n",
		    outcome_names[p->outcome], config_kind_name(p->kind),
		    p->name, p->version, p->id);
		return;
	}
	printf("%s %s %s version %" G_GUINT64_FORMAT "\n",
	    outcome_names[p->outcome], config_kind_name(p->kind), p->name,
	    p->version);
}

int
tool_publish_report(struct tool *t, struct publication *p,
    const char *retry_command)
{
	print_outcome(t, p);
	fflush(stdout);
	switch (p->outcome) {
	case PUBLISH_ACCEPTED:
		send_to_daemons(t, p);
		if (!t->wait_ms)
			return EXIT_DONE;
		return t->ndaemon ? wait_in_force(t, p->version)
				  : tool_error_no_daemon();
	case PUBLISH_CONFLICT:
		fprintf(stderr,
		    "kumquatrock: somebody else wrote version %" G_GUINT64_FORMAT
		    "; this publication has no effect. Check that version and "
		    "publish again.\n",
		    p->version);
		return EXIT_CONFLICT;
	case PUBLISH_UNDECIDED:
		tool_print_error(&p->error);
		fprintf(stderr,
		    "kumquatrock: it is not known whether the publication took "
		    "effect; to find out, or to repeat it if it did not, run:\n"
		    "  kumquatrock %s --publication %s",
		    retry_command, p->id);
		if (p->version != PUBLISH_ANY)
			fprintf(stderr, " --expect %" G_GUINT64_FORMAT,
			    p->version);
		fprintf(stderr, "\n");
		return EXIT_UNDECIDED;
	default:
		tool_print_error(&p->error);
		return EXIT_FAILED;
	}
}
