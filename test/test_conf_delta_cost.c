/*
 * Tests of which deltas are applied between two events. They guard against a
 * delta of a few bytes that makes an entry parse all routes, or a large head,
 * in its event loop.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fake/suite.h"
#include "state/conf_delta_cost.h"

static struct dl_faults faults;

/* A configuration: services, workspaces, and a route with this timeout. */
struct model {
	const char *services[3]; /* names, NULL after the last */
	uint32_t workspaces;
	uint32_t number;
	uint32_t timeout_ms;
	uint32_t routes;
};

static GString *text_of(const struct model *m)
{
	GString *text = g_string_new("{\"format\":1,\"services\":{");

	for (uint32_t i = 0; i < 3 && m->services[i]; i++)
		g_string_append_printf(text, "%s\"%s\":{\"kind\":\"plain\"}",
				       i ? "," : "", m->services[i]);
	g_string_append(text, "},\"workspaces\":{");
	for (uint32_t i = 0; i < m->workspaces; i++)
		g_string_append_printf(text, "%s\"workspace-%u\":{}",
				       i ? "," : "", i);
	g_string_append_printf(text, "},\"number\":%u,\"routes\":[", m->number);
	for (uint32_t i = 0; i < m->routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"r%u\",\"host\":\"h%u.example\","
			"\"path_prefix\":\"/\",\"kind\":\"idempotent\","
			"\"timeout_ms\":%u,\"target_ms\":100,"
			"\"targets\":[{\"service\":\"desk\",\"weight\":1}]}",
			i ? "," : "", i, i, m->timeout_ms + i);
	g_string_append(text, "]}");
	return text;
}

static bool is_cheap(const struct model *from, const struct model *to,
		     bool *large_head)
{
	GString *a = text_of(from), *b = text_of(to);
	struct dl_conf_sections *base, *next;
	struct dl_conf *conf;
	char *delta;
	bool cheap;
	size_t n;
	int rc;

	rc = dl_conf_sections_parse((struct dl_str){ a->str, a->len }, &base,
				    &conf, &faults);
	ck_assert_msg(rc == 0, "%s: %s", faults.items[0].path,
		      faults.items[0].text);
	ck_assert_int_eq(dl_conf_sections_split(
				 (struct dl_str){ b->str, b->len }, &next),
			 0);
	ck_assert_int_eq(dl_conf_delta_make(base, 5, next, 6, &delta, &n), 0);
	cheap = dl_conf_delta_is_cheap((struct dl_str){ delta, n }, base, conf);
	*large_head =
		dl_conf_delta_has_large_head((struct dl_str){ delta, n }, base);
	/* A damaged one is left to the code that reports it. */
	delta[n / 2] = (char)(delta[n / 2] ^ 1);
	ck_assert(!dl_conf_delta_is_cheap((struct dl_str){ delta, n }, base,
					  conf));
	ck_assert(!dl_conf_delta_has_large_head((struct dl_str){ delta, n },
						base));
	free(delta);
	dl_conf_sections_free(base);
	dl_conf_sections_free(next);
	dl_conf_free(conf);
	g_string_free(a, TRUE);
	g_string_free(b, TRUE);
	return cheap;
}

static const struct {
	const char *name;
	struct model from, to;
	bool cheap;
	bool large_head; /* parsed in a thread, as it is one step */
} cases[] = {
	{ "another number",
	  { { "desk", "writer" }, 10, 1, 100, 20 },
	  { { "desk", "writer" }, 10, 2, 100, 20 },
	  true,
	  false },
	{ "other routes",
	  { { "desk", "writer" }, 10, 1, 100, 20 },
	  { { "desk", "writer" }, 10, 1, 200, 20 },
	  true,
	  false },
	{ "a service more",
	  { { "desk", "writer" }, 10, 1, 100, 20 },
	  { { "desk", "writer", "third" }, 10, 1, 100, 20 },
	  false,
	  false },
	{ "a service renamed",
	  { { "desk", "writer" }, 10, 1, 100, 20 },
	  { { "desk", "reader" }, 10, 1, 100, 20 },
	  false,
	  false },
	{ "services in another order",
	  { { "desk", "writer" }, 10, 1, 100, 20 },
	  { { "writer", "desk" }, 10, 1, 100, 20 },
	  false,
	  false },
	{ "a large head",
	  { { "desk", "writer" }, 3000, 1, 100, 20 },
	  { { "desk", "writer" }, 3000, 2, 100, 20 },
	  false,
	  true },
	{ "a large head that does not change",
	  { { "desk", "writer" }, 3000, 1, 100, 20 },
	  { { "desk", "writer" }, 3000, 1, 200, 20 },
	  false,
	  true },
	{ "many other routes",
	  { { "desk", "writer" }, 10, 1, 100, 600 },
	  { { "desk", "writer" }, 10, 1, 3000, 600 },
	  false,
	  false },
};

START_TEST(delta_is_cheap_if_little_is_parsed)
{
	bool large_head;

	ck_assert_msg(is_cheap(&cases[_i].from, &cases[_i].to, &large_head) ==
			      cases[_i].cheap,
		      "%s", cases[_i].name);
	ck_assert_msg(large_head == cases[_i].large_head, "%s", cases[_i].name);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("conf_delta_cost");
	TCase *tc = tcase_create("cost");

	tcase_add_loop_test(tc, delta_is_cheap_if_little_is_parsed, 0,
			    sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tc);
	return suite_run(suite);
}
