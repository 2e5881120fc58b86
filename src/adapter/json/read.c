#include "adapter/json/json_impl.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* State of the parser callbacks while one text is read. */
struct reader {
	struct json *doc;
	yajl_handle yajl;
	const char *text;
	size_t n; /* without the newline appended to it */
	size_t token_end; /* offset after the last token */
	struct json_position pos; /* start of the current token */
	int parent;
	int depth;
	const char *key; /* of the next value */
	int key_line;
	int key_column;
	GHashTable *keys; /* struct object_key, to find duplicates */
	struct kq_error *err;
	int failed;
};

struct object_key {
	int object;
	const char *key;
};

static guint
key_hash(gconstpointer p)
{
	const struct object_key *k = p;

	return g_str_hash(k->key) * 31 + (guint)k->object;
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
	const struct object_key *x = a, *y = b;

	return x->object == y->object && strcmp(x->key, y->key) == 0;
}

/* Sets an error at the current position. Returns 0, which stops yajl. */
static int
fail(struct reader *r, int code, const char *what)
{
	r->failed = 1;
	json_error_at(r->err, code, r->pos.line, r->pos.column, "%s", what);
	return 0;
}

/* Returns the offset of the token that ends at @end. Commas and colons before
 * it are skipped, as yajl calls no callback for them. */
static size_t
token_start(const struct reader *r, size_t end)
{
	size_t i = r->token_end;

	for (;;) {
		i = json_skip_blank(r->text, i, MIN(end, r->n));
		if (i + 1 >= end || !strchr(",:", r->text[i]))
			return i;
		i++;
	}
}

/* Moves the position to the start of the token just read; yajl reports only
 * where the token ended. */
static void
locate_token(struct reader *r)
{
	size_t end = yajl_get_bytes_consumed(r->yajl);

	json_position_advance(&r->pos, r->text, token_start(r, end));
	r->token_end = end;
}

static int
add_node(struct reader *r, const struct json_node *value)
{
	struct json_node n = *value;
	int handle = (int)r->doc->node->len;

	if (handle >= JSON_NODES_MAX)
		return fail(r, JSON_E_SIZE, "too many values");
	n.parent = r->parent;
	n.line = r->pos.line;
	n.column = r->pos.column;
	n.key = r->key;
	n.key_line = r->key_line;
	n.key_column = r->key_column;
	r->key = NULL;
	if (r->parent != JSON_NONE)
		json_node_at(r->doc, r->parent)->count++;
	g_array_append_val(r->doc->node, n);
	return 1;
}

static int
on_null(void *ctx)
{
	struct json_node n = { .type = JSON_NULL };

	locate_token(ctx);
	return add_node(ctx, &n);
}

static int
on_boolean(void *ctx, int value)
{
	struct json_node n = { .type = JSON_BOOL, .integer = value };

	locate_token(ctx);
	return add_node(ctx, &n);
}

static int
on_number(void *ctx, const char *s, size_t len)
{
	struct reader *r = ctx;
	struct json_node n = { .type = JSON_REAL };
	char *copy;

	locate_token(r);
	copy = g_strndup(s, len);
	errno = 0;
	if (strpbrk(copy, ".eE")) {
		n.real = g_ascii_strtod(copy, NULL);
	} else {
		n.type = JSON_INT;
		n.integer = g_ascii_strtoll(copy, NULL, 10);
		n.real = (double)n.integer;
	}
	g_free(copy);
	if (errno == ERANGE || !isfinite(n.real))
		return fail(r, JSON_E_NUMBER, "number out of range");
	return add_node(r, &n);
}

/* Copies the string of the current token. Returns NULL after an error. */
static const char *
copy_string(struct reader *r, const unsigned char *s, size_t len)
{
	size_t bad;

	locate_token(r);
	bad = json_find_bad_escape(r->text, r->pos.offset, r->token_end);
	if (bad < r->token_end) {
		json_position_advance(&r->pos, r->text, bad);
		fail(r, JSON_E_UTF8,
		    "invalid \\u escape: NUL or unpaired surrogate");
		return NULL;
	}
	return g_string_chunk_insert_len(r->doc->strings, (const char *)s,
	    (gssize)len);
}

static int
on_string(void *ctx, const unsigned char *s, size_t len)
{
	struct json_node n = { .type = JSON_STRING };

	n.text = copy_string(ctx, s, len);
	return n.text ? add_node(ctx, &n) : 0;
}

static int
on_key(void *ctx, const unsigned char *s, size_t len)
{
	struct reader *r = ctx;
	struct object_key *k;

	r->key = copy_string(r, s, len);
	if (!r->key)
		return 0;
	r->key_line = r->pos.line;
	r->key_column = r->pos.column;
	k = g_new(struct object_key, 1);
	k->object = r->parent;
	k->key = r->key;
	if (g_hash_table_add(r->keys, k))
		return 1;
	r->failed = 1;
	json_error_at(r->err, JSON_E_DUPLICATE_KEY, r->key_line, r->key_column,
	    "key \"%s\" appears twice", r->key);
	return 0;
}

static int
begin_container(struct reader *r, enum json_type type)
{
	struct json_node n = { .type = type };
	int handle = (int)r->doc->node->len;

	locate_token(r);
	if (++r->depth > JSON_DEPTH_MAX)
		return fail(r, JSON_E_DEPTH, "nested too deeply");
	if (!add_node(r, &n))
		return 0;
	r->parent = handle;
	return 1;
}

static int
on_object(void *ctx)
{
	return begin_container(ctx, JSON_OBJECT);
}

static int
on_array(void *ctx)
{
	return begin_container(ctx, JSON_ARRAY);
}

static int
on_end(void *ctx)
{
	struct reader *r = ctx;

	locate_token(r);
	r->depth--;
	r->parent = json_node_at(r->doc, r->parent)->parent;
	return 1;
}

/* Reports yajl's error at the token that ends at @end, unless a callback has
 * reported one. Returns -1. */
static int
fail_syntax(struct reader *r, size_t end)
{
	unsigned char *why;

	if (r->failed)
		return -1;
	json_position_advance(&r->pos, r->text, token_start(r, end));
	why = yajl_get_error(r->yajl, 0, NULL, 0);
	fail(r, JSON_E_SYNTAX, g_strchomp((char *)why));
	yajl_free_error(r->yajl, why);
	return -1;
}

/* Refuses an unterminated comment after the last token, which yajl treats as
 * white space. Returns 0 or -1. */
static int
check_open_comment(struct reader *r)
{
	size_t i = json_skip_blank(r->text, r->token_end, r->n);

	if (i >= r->n)
		return 0;
	json_position_advance(&r->pos, r->text, i);
	fail(r, JSON_E_SYNTAX, "unterminated comment");
	return -1;
}

static int
parse(struct reader *r)
{
	static const yajl_callbacks calls = { on_null, on_boolean, NULL, NULL,
		on_number, on_string, on_object, on_key, on_end, on_array,
		on_end };

	r->yajl = yajl_alloc(&calls, NULL, r);
	yajl_config(r->yajl, yajl_allow_comments, 1);
	if (yajl_parse(r->yajl, (const unsigned char *)r->text, r->n + 1) !=
	    yajl_status_ok)
		return fail_syntax(r, yajl_get_bytes_consumed(r->yajl));
	if (yajl_complete_parse(r->yajl) != yajl_status_ok)
		return fail_syntax(r, r->n + 1);
	return check_open_comment(r);
}

/* Fills in the children of each node from the parent of each node. */
static void
link_children(struct json *j)
{
	int *next_slot = g_new0(int, j->node->len);
	int total = 0;
	guint i;

	for (i = 0; i < j->node->len; i++) {
		struct json_node *n = json_node_at(j, (int)i);

		n->first_child = next_slot[i] = total;
		total += n->count;
	}
	g_array_set_size(j->child, (guint)total);
	for (i = 1; i < j->node->len; i++) {
		int parent = json_node_at(j, (int)i)->parent;

		g_array_index(j->child, int, next_slot[parent]) = (int)i;
		next_slot[parent]++;
	}
	g_free(next_slot);
}

static int
check_text(struct reader *r)
{
	const char *bad;

	if (r->n > JSON_TEXT_MAX) {
		fail(r, JSON_E_SIZE, "text is too long");
		return -1;
	}
	if (g_utf8_validate_len(r->text, r->n, &bad))
		return 0;
	json_position_advance(&r->pos, r->text, (size_t)(bad - r->text));
	fail(r, JSON_E_UTF8, *bad ? "invalid UTF-8" : "NUL byte");
	return -1;
}

struct json *
json_read(const char *text, size_t n, struct kq_error *e)
{
	struct reader r = { .n = n, .parent = JSON_NONE, .err = e };
	char *copy = g_malloc(n + 2);
	int failed;

	memcpy(copy, text, n);
	memcpy(copy + n, "\n", 2);
	r.text = copy;
	r.pos.line = r.pos.column = 1;
	r.keys = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
	r.doc = g_new0(struct json, 1);
	r.doc->node = g_array_new(FALSE, FALSE, sizeof(struct json_node));
	r.doc->child = g_array_new(FALSE, FALSE, sizeof(int));
	r.doc->lookups = g_array_new(FALSE, FALSE, sizeof(struct json_lookup));
	r.doc->strings = g_string_chunk_new(4096);
	failed = check_text(&r) == -1 || parse(&r) == -1;
	if (r.yajl)
		yajl_free(r.yajl);
	g_hash_table_destroy(r.keys);
	g_free(copy);
	if (failed) {
		json_free(r.doc);
		return NULL;
	}
	link_children(r.doc);
	return r.doc;
}

void
json_free(struct json *j)
{
	if (!j)
		return;
	g_array_free(j->node, TRUE);
	g_array_free(j->child, TRUE);
	g_array_free(j->lookups, TRUE);
	g_string_chunk_free(j->strings);
	g_free(j);
}
