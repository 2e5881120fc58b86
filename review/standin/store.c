#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

/* The platform's object store. It keeps a specification as the text that was
 * sent, and all of its history. */

#define OBJECTS_MAX 4096

struct object {
	char kind[64];
	char name[512];
	char *specification;
	long revision;
	long created;
	int deleted;
};

/* Each change in order: the object as it was after the change. */
static struct object changes[OBJECTS_MAX];
static int nchange;
static struct object objects[OBJECTS_MAX];
static int nobject;
static long revision;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static const char *
skip_space(const char *p)
{
	return p + strspn(p, " \t\r\n");
}

static const char *
skip_string(const char *p)
{
	for (p++; *p && *p != '"'; p++)
		if (*p == '\\' && p[1])
			p++;
	return *p ? p + 1 : p;
}

static const char *
skip_value(const char *p)
{
	int depth = 0;

	do {
		p = skip_space(p);
		if (*p == '"') {
			p = skip_string(p);
			continue;
		}
		if (*p == '{' || *p == '[')
			depth++;
		else if (*p == '}' || *p == ']')
			depth--;
		else if (!depth) {
			p += strcspn(p, ",]} \t\r\n");
			break;
		}
		p += *p != '\0';
	} while (*p && depth > 0);
	return p;
}

/* Finds a key of the object at @p; NULL if it has none of that name. */
static const char *
find_key(const char *p, const char *key)
{
	size_t n = strlen(key);
	const char *k;

	p = skip_space(p);
	if (*p++ != '{')
		return NULL;
	for (;;) {
		p = skip_space(p);
		if (*p == ',')
			p = skip_space(p + 1);
		if (*p != '"')
			return NULL;
		k = p + 1;
		p = skip_space(skip_string(p));
		if (*p != ':')
			return NULL;
		p = skip_space(p + 1);
		if (!strncmp(k, key, n) && k[n] == '"')
			return p;
		p = skip_value(p);
	}
}

static char *
copy_value(const char *p)
{
	return strndup(p, (size_t)(skip_value(p) - p));
}

static struct object *
find_object(const char *kind, const char *name)
{
	int i;

	for (i = 0; i < nobject; i++)
		if (!objects[i].deleted && !strcmp(objects[i].kind, kind) &&
		    !strcmp(objects[i].name, name))
			return &objects[i];
	return NULL;
}

static char *
object_text(const struct object *o)
{
	size_t size = strlen(o->specification) + strlen(o->name) + 256;
	char *t = malloc(size);

	snprintf(t, size,
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%ld,\"created\":%ld,"
	    "\"finalizers\":[],\"deleting\":false},\"specification\":%s,"
	    "\"status\":null}",
	    o->name, o->revision, o->created, o->specification);
	return t;
}

static void
note_change(struct object *o)
{
	o->revision = ++revision;
	if (nchange < OBJECTS_MAX) {
		changes[nchange] = *o;
		changes[nchange++].specification = strdup(o->specification);
	}
	record("revision=%ld %s %s/%s %.200s", revision,
	    o->deleted ? "delete" : "write", o->kind, o->name,
	    o->specification);
	pthread_cond_broadcast(&changed);
}

static void
answer(struct stream *s, int status, const char *body)
{
	answer_json(s->fd, status, "Store-Era: 1\r\n", body);
}

static void
answer_object(struct stream *s, int status, const struct object *o)
{
	char *t = object_text(o);

	answer(s, status, t);
	free(t);
}

/* Joins the texts of the objects, or of the events, of a kind. */
static char *
join(const struct object *from, int n, const char *kind, long after, int events)
{
	size_t size = 64, len = 0, k;
	char *all = malloc(size), *t;
	int i;

	all[0] = '\0';
	for (i = 0; i < n; i++) {
		if (strcmp(from[i].kind, kind) || from[i].revision <= after ||
		    (!events && from[i].deleted))
			continue;
		t = object_text(&from[i]);
		k = strlen(t) + 64;
		if (len + k > size)
			all = realloc(all, size = 2 * (size + k));
		len += (size_t)sprintf(all + len,
		    events ? "%s{\"deleted\":%s,\"object\":%s}" : "%s%s%s",
		    len ? "," : "",
		    events ? (from[i].deleted ? "true" : "false") : "", t);
		free(t);
	}
	return all;
}

static void
answer_list(struct stream *s, const char *kind)
{
	char *items = join(objects, nobject, kind, 0, 0);
	size_t size = strlen(items) + 128;
	char *t = malloc(size);

	snprintf(t, size, "{\"items\":[%s],\"has_more\":false,\"at\":%ld}",
	    items, revision);
	answer(s, 200, t);
	free(items);
	free(t);
}

/* Waits for events; called with the lock held. */
static void
answer_watch(struct stream *s, const char *kind, long after, int wait_ms)
{
	struct timespec until;
	char *events, *t;
	size_t size;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	for (;;) {
		events = join(changes, nchange, kind, after, 1);
		if (*events || pthread_cond_timedwait(&changed, &lock, &until))
			break;
		free(events);
	}
	size = strlen(events) + 128;
	t = malloc(size);
	snprintf(t, size, "{\"events\":[%s],\"at\":%ld}", events, revision);
	answer(s, 200, t);
	free(events);
	free(t);
}

static void
put(struct stream *s, const char *kind, const char *name, const char *body,
    int create)
{
	const char *meta = find_key(body, "metadata"), *v;
	const char *spec = find_key(body, "specification");
	struct object *o;
	char own[512] = "";

	if (create && meta && (v = find_key(meta, "name")))
		snprintf(own, sizeof own, "%.*s", (int)(skip_value(v) - v - 2),
		    v + 1);
	o = find_object(kind, create ? own : name);
	v = meta ? find_key(meta, "revision") : NULL;
	if (create && (!own[0] || nobject == OBJECTS_MAX)) {
		answer(s, 400, "{}");
	} else if (!create && !o) {
		answer(s, 404, "{}");
	} else if (create ? o != NULL : v && number_of(v) != o->revision) {
		answer_object(s, 409, o);
	} else {
		if (create) {
			o = &objects[nobject++];
			snprintf(o->kind, sizeof o->kind, "%s", kind);
			snprintf(o->name, sizeof o->name, "%s", own);
			o->created = revision + 1;
		}
		o->specification = spec ? copy_value(spec) : strdup("null");
		note_change(o);
		answer_object(s, 200, o);
	}
}

static void
handle(struct stream *s, const char *method, char *path, const char *body)
{
	char *query = strchr(path, '?'), *kind = path + strlen("/v1/objects/");
	const char *watch, *wait;
	char *name;
	struct object *o;

	if (query)
		*query++ = '\0';
	if (strncmp(path, "/v1/objects/", strlen("/v1/objects/"))) {
		answer(s, 404, "{}");
		return;
	}
	name = strchr(kind, '/');
	if (name)
		*name++ = '\0';
	watch = query ? strstr(query, "watch=") : NULL;
	wait = query ? strstr(query, "wait_ms=") : NULL;
	if (!strcmp(method, "POST")) {
		put(s, kind, NULL, body, 1);
		return;
	}
	if (!strcmp(method, "GET") && !name) {
		if (watch)
			answer_watch(s, kind, number_of(watch + 6),
			    wait ? (int)number_of(wait + 8) : 1000);
		else
			answer_list(s, kind);
		return;
	}
	if (!strcmp(method, "PUT") && name) {
		put(s, kind, name, body, 0);
		return;
	}
	o = name ? find_object(kind, name) : NULL;
	if (!o) {
		answer(s, 404, "{}");
		return;
	}
	if (!strcmp(method, "DELETE")) {
		o->deleted = 1;
		note_change(o);
	}
	answer_object(s, 200, o);
}

static void
serve(struct stream *s)
{
	char method[16], path[1024];
	struct message *m = calloc(1, sizeof *m);

	while (!read_message(s, m)) {
		start_word(m, 0, method, sizeof method);
		start_word(m, 1, path, sizeof path);
		pthread_mutex_lock(&lock);
		handle(s, method, path, m->body ? m->body : "");
		pthread_mutex_unlock(&lock);
		message_clear(m);
	}
	message_clear(m);
	free(m);
}

/* store --listen IP:PORT [--record FILE] */
int
store_main(int argc, char **argv)
{
	char ip[64];
	int port;

	record_open(option(argc, argv, "record", NULL), "store");
	split_address(option(argc, argv, "listen", ""), ip, sizeof ip, &port);
	serve_forever(listen_on(ip, port), serve);
	return 0;
}
