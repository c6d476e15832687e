/*
 * Collects the lines of one request from the logs of all VMs: those with its
 * request id, and those without one that have the content hash which it shares
 * with its repetitions.
 */
#include "protocol/explain.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct explain_one {
	struct dl_str id;
	GHashTable *requests; /* request ids, owned */
	GHashTable *contents; /* content hashes, owned */
	GPtrArray *lines;     /* struct kept */
	uint64_t added;
};

/* A collected line. */
struct collected_line {
	int64_t at;
	uint64_t order; /* in which lines of equal time were added */
	json_t *json;
};

static void collected_line_free(gpointer p)
{
	struct collected_line *k = p;

	json_decref(k->json);
	g_free(k);
}

/* Creates an empty collection. */
struct explain_one *explain_one_new(struct dl_str id)
{
	struct explain_one *one = g_new0(struct explain_one, 1);

	one->id = id;
	one->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	one->contents =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	one->lines = g_ptr_array_new_with_free_func(collected_line_free);
	return one;
}

/* Frees a collection; NULL is allowed. */
void explain_one_free(struct explain_one *one)
{
	if (!one)
		return;
	g_hash_table_destroy(one->requests);
	g_hash_table_destroy(one->contents);
	g_ptr_array_free(one->lines, TRUE);
	g_free(one);
}

static void add(GHashTable *set, struct dl_str s)
{
	if (s.n)
		g_hash_table_add(set, g_strndup(s.s, s.n));
}

static bool has(GHashTable *set, struct dl_str s)
{
	char text[DL_NAME_MAX + 1];

	if (s.n == 0 || s.n >= sizeof(text))
		return false;
	memcpy(text, s.s, s.n);
	text[s.n] = '\0';
	return g_hash_table_contains(set, text);
}

/* Whether a line has the id as its request, attempt or content. */
static bool has_id(const struct explain_one *one, const struct dl_logline *l)
{
	return dl_str_eq(dl_logline_field(l, "request"), one->id) ||
	       dl_str_eq(dl_logline_field(l, "attempt"), one->id) ||
	       dl_str_eq(dl_logline_field(l, "content"), one->id);
}

static bool concerns(const struct explain_one *one, const struct dl_logline *l)
{
	if (has(one->requests, dl_logline_field(l, "request")))
		return true;
	/* The line of a quarantined request, from any VM. */
	return dl_logline_field(l, "request").n == 0 &&
	       has(one->contents, dl_logline_field(l, "content"));
}

static json_t *fields_json(const struct dl_logline *l)
{
	json_t *o = json_object();

	for (uint32_t i = 0; i < l->fields; i++) {
		const struct dl_logfield *w = &l->field[i];

		json_object_setn_new(o, w->key.s, w->key.n,
				     json_stringn(w->value.s, w->value.n));
	}
	return o;
}

static void collect(struct explain_one *one, struct dl_str node,
		    const struct dl_logline *l)
{
	char text[EXPLAIN_TEXT_MAX];
	struct collected_line *k = g_new0(struct collected_line, 1);

	explain_line(l, text);
	k->at = l->at;
	k->order = one->added++;
	k->json = json_pack("{s:I, s:s%, s:s%, s:s%, s:s, s:o}", "at_ms",
			    (json_int_t)l->at, "node", node.s, node.n, "part",
			    l->part.s, l->part.n, "sentence", l->sentence.s,
			    l->sentence.n, "decision", text, "words",
			    fields_json(l));
	if (k->json)
		g_ptr_array_add(one->lines, k);
	else
		g_free(k);
}

/* Finds the requests that the id refers to, or collects their lines. */
void explain_one_add_line(struct explain_one *one, struct dl_str node,
			  struct dl_str line, bool first_pass)
{
	struct dl_logline l;

	if (dl_logline_read(line, &l))
		return;
	if (!first_pass) {
		if (concerns(one, &l))
			collect(one, node, &l);
		return;
	}
	if (!has_id(one, &l))
		return;
	add(one->requests, dl_logline_field(&l, "request"));
	add(one->contents, dl_logline_field(&l, "content"));
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct collected_line *x = *(struct collected_line *const *)a;
	const struct collected_line *y = *(struct collected_line *const *)b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

/* Returns all collected lines in order of time. */
json_t *explain_one_json(struct explain_one *one)
{
	json_t *all = json_array();

	g_ptr_array_sort(one->lines, by_time);
	for (guint i = 0; i < one->lines->len; i++) {
		const struct collected_line *k = one->lines->pdata[i];

		json_array_append(all, k->json);
	}
	return all;
}
