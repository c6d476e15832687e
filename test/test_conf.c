/*
 * Configuration texts: the examples parse, each fault is reported with its path
 * and line, mutated texts are either valid or reported, and a diff says which
 * changes need confirmation.
 */
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "fake/suite.h"

#define FUZZ_RUNS   1500
#define FUZZ_SEED   20261202
#define MANY_FAULTS 100

/* A whole text around the part under test, which starts on line 2. */
#define REPLICAS                                                               \
	"\"replicas\": [{\"name\": \"r1\", \"address\": \"10.0.0.1:7\"},"      \
	"{\"name\": \"r2\", \"address\": \"10.0.0.2:7\"},"                     \
	"{\"name\": \"r3\", \"address\": \"10.0.0.3:7\"}]}"
#define SERVICES(part) "{\"format\": 1, \"services\": {\n" part "\n}," REPLICAS
#define TOP(part)                                                              \
	"{\"format\": 1, \"services\": {\"a\": {\"kind\": \"plain\"},"         \
	"\"m\": {\"kind\": \"model\"}},\n" part ",\n" REPLICAS

struct fault_case {
	const char *text;
	const char *path;
	uint32_t line;
	const char *expected;
};

static const struct fault_case fault_cases[] = {
	{ "", "", 1, "" },
	{ "[]", "", 1, "must be an object, not a list" },
	{ "{\"format\": 1,\n\"services\": }", "", 2, "unexpected token" },
	{ "{\"format\": 1,\n\"services\": 1e999}", "", 2, "overflow" },
	{ "{}", "", 1, "\"format\" is missing" },
	{ "{}", "", 1, "\"replicas\" is missing" },
	{ TOP("\"format\": 2"), "format", 2, "duplicate key" },
	{ TOP("\"f\\u006frmat\": 1"), "format", 2, "duplicate key" },
	{ TOP("\"log_level\": \"loud\""), "log_level", 2, "\"debug\"" },
	{ TOP("\"weight_store_mb_per_s\": 0"), "weight_store_mb_per_s", 2,
	  "from 1 to" },
	{ TOP("\"weight_store_mb_per_s\": 1.5"), "weight_store_mb_per_s", 2,
	  "a whole number" },
	{ TOP("\"workspace\": {}"), "workspace", 2, "\"workspaces\"" },
	{ TOP("\"workspaces\": []"), "workspaces", 2, "must be an object" },
	{ TOP("\"workspaces\": null"), "workspaces", 2, "must be an object" },
	{ TOP("\"workspaces\": {\n\"w\": 4}"), "workspaces.w", 3,
	  "must be an object" },
	{ TOP("\"workspaces\": {\"w\":\n{\"weight\": -1}}"),
	  "workspaces.w.weight", 3, "not -1" },
	{ TOP("\"workspaces\": {\"w\": {\n\"default_class\": \"bach\"}}"),
	  "workspaces.w.default_class", 3, "\"batch\"" },
	{ TOP("\"workspaces\": {\"w\": {},\n\n\"w\": {}}"), "workspaces.w", 4,
	  "also on line 2" },
	{ TOP("\"workspaces\": {\n\"\": {}}"), "workspaces.", 3, "1 to 63" },
	{ TOP("\"classes\": {}"), "classes", 2, "at least one" },
	{ TOP("\"classes\": {\"c\": {\"class\": \"urgent\"}}"), "classes.c", 2,
	  "\"deadline_ms\" is missing" },
	{ TOP("\"drain\": {\"vms\": [\n\"10.0.0.1\"]}"), "drain.vms[0]", 3,
	  "an address" },
	{ TOP("\"drain\": {\"endpoints\": [\"10.0.0.1:1\",\n\"10.0.0.1:1\"]}"),
	  "drain.endpoints[1]", 3, "twice" },
	{ TOP("\"orders\": [{\"service\": \"a\", \"model\": \"m\"}]"),
	  "orders[0].service", 2, "not a model service" },
	{ TOP("\"orders\": [{\"service\": \"m\",\n\"model\": \"n\"}]"),
	  "orders[0].model", 3, "not a model of" },
	{ TOP("\"orders\": [{\"service\": \"m\", \"model\": \"m\","
	      "\"version\": \"1\"},\n{\"service\": \"m\", \"model\": \"m\"}]"),
	  "orders[1]", 3, "both need a number" },
	{ TOP("\"orders\": [[[[[[[[[[1]]]]]]]]]]"),
	  "orders[0][0][0][0][0][0][0]", 2, "nested too deeply" },
	{ SERVICES(""), "services", 1, "at least one" },
	{ SERVICES("\"a b\": {\"kind\": \"plain\"}"), "services.a b", 2,
	  "character 2" },
	{ SERVICES("\"a\": {}"), "services.a", 2, "\"kind\" is missing" },
	{ SERVICES("\"a\": {\"kind\": \"plain\", \"kinds\": 1}"),
	  "services.a.kinds", 2, "\"kind\"" },
	{ SERVICES("\"a\": {\"kind\": \"plain\",\n\"pool\": {\"long\": 1}}"),
	  "services.a.pool.long", 3, "unknown key" },
	{ SERVICES("\"a\": {\"kind\": \"plain\", \"get_is_idempotent\": 1}"),
	  "services.a.get_is_idempotent", 2, "true or false" },
	{ SERVICES("\"a\": {\"kind\": \"plain\", \"models\": [\"m\"]}"),
	  "services.a.models", 2, "has no models" },
	{ SERVICES("\"a\": {\"kind\": \"model\",\n"
		   "\"idempotent_paths\": [\"/x\"]}"),
	  "services.a.idempotent_paths", 3, "only a plain" },
	{ SERVICES("\"a\": {\"kind\": \"plain\","
		   "\"idempotent_paths\": [\"x\"]}"),
	  "services.a.idempotent_paths[0]", 2, "begin with" },
	{ SERVICES("\"a\": {\"kind\": \"plain\", \"depends_on\": [\"a\"]}"),
	  "services.a.depends_on", 2, "in a cycle" },
	{ SERVICES("\"a\": {\"kind\": \"plain\", \"depends_on\": [\"b\"]},\n"
		   "\"b\": {\"kind\": \"plain\", \"depends_on\": [\"c\"]},\n"
		   "\"c\": {\"kind\": \"plain\", \"depends_on\": [\"a\"]}"),
	  "services.c.depends_on", 4, "\"c\" depends on \"a\" in a cycle" },
	{ SERVICES("\"desk\": {\"kind\": \"plain\"},\n"
		   "\"b\": {\"kind\": \"plain\", \"depends_on\": [\"dest\"]}"),
	  "services.b.depends_on", 3, "did you mean \"desk\"?" },
	{ SERVICES("\"a\": {\"kind\": \"model\", \"models\": [\"m\"]},\n"
		   "\"b\": {\"kind\": \"model\", \"models\": [\"m\"]}"),
	  "services.b", 3, "also one of \"a\"" },
	{ "{\"format\": 1, \"services\": {\"a\": {\"kind\": \"plain\"}},\n"
	  "\"replicas\": [{\"name\": \"r\", \"address\": \"10.0.0.1:7\"}]}",
	  "replicas", 2, "must have at least 3 replicas" },
};

#define FAULT_CASES (sizeof(fault_cases) / sizeof(fault_cases[0]))

static const char *const examples[] = { "examples/dala-serik.json",
					"examples/zveza.json" };

/*
 * An edit of the first example, a line expected in the diff, and whether it
 * needs confirmation.
 */
struct diff_case {
	const char *from;
	const char *to;
	const char *expected;
	bool needs_confirm;
};

static const struct diff_case diff_cases[] = {
	{ "\"log_level\": \"info\"", "\"log_level\": \"warn\"",
	  "~ log_level: info -> warn", false },
	{ "\"gap_timeout_ms\": 10000", "\"gap_timeout_ms\": 9000",
	  "match-writer.gap_timeout_ms: 10000 -> 9000", false },
	{ "\"front-desk\": {", "\"back-desk\": {", "- services.front-desk",
	  true },
	{ "\"models\": [\"match-7b\"]", "\"models\": [\"match-7b\", \"x\"]",
	  "+ services.match-writer.models: x", false },
	{ "\"queue_entries_max\": 2000", "\"queue_entries_max\": 900",
	  "more than half of its capacity", true },
	{ "\"vms\": []", "\"vms\": [\"10.0.0.1:1\", \"10.0.0.2:1\"]",
	  "+ drain.vms: 10.0.0.2:1", false },
	{ "\"vms\": []",
	  "\"vms\": [\"10.0.0.1:1\", \"10.0.0.2:1\", \"10.0.0.3:1\"]",
	  "! drain.vms: 3 in all", true },
	{ "\"name\": \"medeu-hall-1\"", "\"name\": \"medeu-hall-2\"",
	  "+ replicas: medeu-hall-2", false },
	{ "\"class\": \"urgent\", \"deadline_ms\": 2000",
	  "\"class\": \"urgent\", \"deadline_ms\": 2500",
	  "~ classes.ping: urgent, 2000 ms -> urgent, 2500 ms", false },
	{ "\"version\": \"1\"", "\"version\": \"2\"",
	  "+ orders: match-writer match-7b 2", false },
	{ "\"kiosks\": {\"weight\": 4", "\"kiosks\": {\"weight\": 5",
	  "~ workspaces.kiosks.weight: 4 -> 5", false },
};

/* No list of workspaces is not an empty one, whose change shuts requests out.
 */
#define NO_LIST	   "\"log_level\": \"info\""
#define EMPTY_LIST "\"workspaces\": {}"
#define ONE_LISTED "\"workspaces\": {\"w\": {\"keys\": [\"k\"]}}"
static const struct diff_case workspace_list_cases[] = {
	{ TOP(NO_LIST), TOP(EMPTY_LIST), "+ workspaces: a list", false },
	{ TOP(EMPTY_LIST), TOP(NO_LIST), "! workspaces: no list any more",
	  true },
	{ TOP(ONE_LISTED), TOP(NO_LIST), "! workspaces: no list any more",
	  true },
	{ TOP(ONE_LISTED), TOP(EMPTY_LIST), "! workspaces: 1 of 1 are removed",
	  true },
};

#define DIFF_CASES (sizeof(diff_cases) / sizeof(diff_cases[0]))

static struct dl_faults faults;

static GString *read_example(int index)
{
	char *text;
	gsize n;
	GString *out;

	ck_assert(g_file_get_contents(examples[index], &text, &n, NULL));
	out = g_string_new_len(text, (gssize)n);
	g_free(text);
	return out;
}

static int parse(const GString *text, struct dl_conf **conf)
{
	return dl_conf_parse((struct dl_str){ text->str, text->len }, conf,
			     &faults);
}

START_TEST(examples_parse)
{
	GString *text = read_example(_i);
	struct dl_conf *conf;
	struct dl_str model;
	int rc = parse(text, &conf);

	ck_assert_msg(rc == 0, "line %u %s: %s", faults.items[0].line,
		      faults.items[0].path, faults.items[0].text);
	ck_assert_uint_eq(conf->workspaces_count, 10);
	ck_assert_uint_eq(conf->replicas_count, 3);
	ck_assert_uint_eq(dl_conf_workspace(conf, DL_STR("training"))
				  ->limits.requests_per_s,
			  20);
	ck_assert_ptr_null(dl_conf_workspace(conf, DL_STR("nobody")));
	ck_assert_ptr_null(dl_conf_workspace(conf, DL_STR("training\0x")));
	model = dl_name_str(&conf->services[0].models[0]);
	ck_assert_ptr_eq(dl_conf_service_of_model(conf, model),
			 &conf->services[0]);
	dl_conf_free(conf);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(default_values)
{
	struct dl_conf *conf;
	GString *text = g_string_new(TOP("\"workspaces\": {\"w\": {}}"));

	ck_assert_int_eq(parse(text, &conf), 0);
	ck_assert_uint_eq(conf->classes_count, 3);
	ck_assert_str_eq(conf->classes[conf->services[0].default_class].name.s,
			 "interactive");
	ck_assert_uint_eq(conf->services[0].pool.long_tokens, 100000);
	ck_assert_int_eq(conf->services[0].pool.kind, DL_POOL_PLAIN);
	ck_assert_str_eq(conf->services[1].models[0].s, "m");
	ck_assert_uint_eq(conf->workspaces[0].limits.weight, 1);
	ck_assert_uint_eq(conf->workspaces[0].default_class, UINT32_MAX);
	ck_assert_int_eq(conf->log_level, DL_INFO);
	dl_conf_free(conf);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(fault_has_path_and_line)
{
	const struct fault_case *c = &fault_cases[_i];
	GString *text = g_string_new(c->text);
	struct dl_conf *conf = NULL;
	bool found = false;

	ck_assert_int_eq(parse(text, &conf), -EINVAL);
	ck_assert_ptr_null(conf);
	for (uint32_t i = 0; i < faults.count; i++) {
		const struct dl_fault *f = &faults.items[i];

		if (f->line == c->line && strstr(f->text, c->expected) &&
		    strncmp(f->path, c->path, strlen(c->path)) == 0 &&
		    (f->path[strlen(c->path)] == '\0' ||
		     f->path[strlen(c->path)] == '['))
			found = true;
	}
	ck_assert_msg(found, "case %d: %u faults, the first on line %u %s: %s",
		      _i, faults.count, faults.items[0].line,
		      faults.items[0].path, faults.items[0].text);
	g_string_free(text, TRUE);
}
END_TEST

/* All faults are counted, also those that are not kept, and ordered by line. */
START_TEST(all_faults_are_reported)
{
	GString *text = g_string_new(
		"{\"format\": 1, \"services\": {\"a\": {\"kind\": \"plain\"}},"
		"\"workspaces\": {\n");
	struct dl_conf *conf;

	for (int i = 0; i < MANY_FAULTS; i++)
		g_string_append_printf(text, "%s\"w%d\": {\"weight\": 0}\n",
				       i ? "," : "", i);
	g_string_append(text, "}," REPLICAS);
	ck_assert_int_eq(parse(text, &conf), -EINVAL);
	ck_assert_uint_eq(faults.count, MANY_FAULTS);
	for (uint32_t i = 0; i < DL_FAULTS_MAX; i++)
		ck_assert_uint_eq(faults.items[i].line, i + 2);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(text_too_long)
{
	GString *text = read_example(0);
	struct dl_conf *conf;

	while (text->len <= DL_CONF_TEXT_MAX)
		g_string_append_printf(text, "%*s", 65536, "");
	ck_assert_int_eq(parse(text, &conf), -EINVAL);
	ck_assert_ptr_nonnull(strstr(faults.items[0].text, "at most"));
	g_string_truncate(text, DL_CONF_TEXT_MAX);
	ck_assert_int_eq(parse(text, &conf), 0);
	dl_conf_free(conf);
	g_string_free(text, TRUE);
}
END_TEST

/*
 * Mutate a text: replace a byte, delete or duplicate a range, or insert a
 * token.
 */
static void mutate(GRand *rand, GString *text)
{
	static const char *const tokens[] = {
		"{",	"}", "[",  "]",	  ",",	  ":",	"\"", "\\",
		"null", "0", "-1", "1e9", "true", "\n", "{}", "\"format\":1,",
		"\xc3", "[]"
	};
	gint32 at = g_rand_int_range(rand, 0, (gint32)text->len);
	gint32 n = g_rand_int_range(rand, 1, 40);
	char *copy;

	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		text->str[at] = (char)g_rand_int_range(rand, 0, 256);
		break;
	case 1:
		g_string_erase(text, at, MIN(n, (gint32)text->len - at));
		break;
	case 2:
		copy = g_strndup(text->str + at,
				 MIN((gsize)n, text->len - (gsize)at));
		g_string_insert(text,
				g_rand_int_range(rand, 0, (gint32)text->len),
				copy);
		g_free(copy);
		break;
	default:
		g_string_insert(text, at,
				tokens[g_rand_int_range(rand, 0,
							G_N_ELEMENTS(tokens))]);
	}
	if (text->len == 0)
		g_string_append_c(text, '{');
}

/*
 * A rejected text has faults with valid lines; an accepted one can be compared.
 */
static void check_mutated(const GString *text, const struct dl_conf *base)
{
	struct dl_conf *conf = NULL;
	struct dl_conf_diff diff;
	uint32_t lines = 1;
	int rc = parse(text, &conf);

	for (gsize i = 0; i < text->len; i++)
		lines += text->str[i] == '\n';
	if (rc == 0) {
		ck_assert_uint_gt(conf->services_count, 0);
		ck_assert_uint_eq(conf->replicas_count % 2, 1);
		ck_assert_int_eq(dl_conf_compare(base, conf, &diff), 0);
		dl_conf_diff_free(&diff);
		dl_conf_free(conf);
		return;
	}
	ck_assert_int_eq(rc, -EINVAL);
	ck_assert_uint_gt(faults.count, 0);
	for (uint32_t i = 0; i < MIN(faults.count, DL_FAULTS_MAX); i++) {
		ck_assert_msg(faults.items[i].line >= 1 &&
				      faults.items[i].line <= lines,
			      "line %u of %u: %s: %s\n%s", faults.items[i].line,
			      lines, faults.items[i].path, faults.items[i].text,
			      text->str);
		ck_assert_uint_gt(strlen(faults.items[i].text), 0);
	}
}

START_TEST(fuzz)
{
	const char *runs = g_getenv("DL_FUZZ");
	uint64_t n = runs ? g_ascii_strtoull(runs, NULL, 10) : FUZZ_RUNS;
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED + (guint32)_i);
	GString *example = read_example(_i);
	struct dl_conf *base;

	ck_assert_int_eq(parse(example, &base), 0);
	for (uint64_t i = 0; i < n; i++) {
		GString *text =
			g_string_new_len(example->str, (gssize)example->len);

		for (int j = g_rand_int_range(rand, 1, 4); j > 0; j--)
			mutate(rand, text);
		check_mutated(text, base);
		g_string_free(text, TRUE);
	}
	dl_conf_free(base);
	g_string_free(example, TRUE);
	g_rand_free(rand);
}
END_TEST

START_TEST(diff_of_the_list_of_workspaces)
{
	const struct diff_case *c = &workspace_list_cases[_i];
	struct dl_conf *old, *new;
	struct dl_conf_diff diff;

	ck_assert_int_eq(dl_conf_parse(dl_str_of(c->from), &old, &faults), 0);
	ck_assert_int_eq(dl_conf_parse(dl_str_of(c->to), &new, &faults), 0);
	ck_assert_int_eq(dl_conf_compare(old, new, &diff), 0);
	ck_assert_msg(strstr(diff.text, c->expected) != NULL, "%s", diff.text);
	ck_assert_int_eq(diff.needs_confirm, c->needs_confirm);
	dl_conf_diff_free(&diff);
	dl_conf_free(old);
	dl_conf_free(new);
}
END_TEST

START_TEST(diff_of_an_edit)
{
	const struct diff_case *c = &diff_cases[_i];
	GString *before = read_example(0), *after = read_example(0);
	struct dl_conf *old, *new;
	struct dl_conf_diff diff;

	ck_assert_ptr_nonnull(strstr(before->str, c->from));
	g_string_replace(after, c->from, c->to, 1);
	ck_assert_int_eq(parse(before, &old), 0);
	ck_assert_int_eq(parse(after, &new), 0);
	ck_assert_int_eq(dl_conf_compare(old, new, &diff), 0);
	ck_assert_msg(strstr(diff.text, c->expected) != NULL, "%s", diff.text);
	ck_assert_msg(diff.needs_confirm == c->needs_confirm, "%s", diff.text);
	dl_conf_diff_free(&diff);
	ck_assert_int_eq(dl_conf_compare(old, old, &diff), 0);
	ck_assert_str_eq(diff.text, "");
	ck_assert(!diff.needs_confirm);
	dl_conf_diff_free(&diff);
	dl_conf_free(old);
	dl_conf_free(new);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
}
END_TEST

START_TEST(majority_of_replicas)
{
	struct dl_conf a = { .replicas_count = 3 }, b;

	for (uint32_t i = 0; i < 3; i++) {
		dl_name_set(&a.replicas[i].name, DL_STR("r"));
		a.replicas[i].vm = i + 1;
	}
	b = a;
	b.replicas[0].vm = 9;
	ck_assert(dl_conf_keeps_majority(&a, &b));
	dl_name_set(&b.replicas[1].name, DL_STR("s"));
	ck_assert(!dl_conf_keeps_majority(&a, &b));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("conf");
	TCase *t = tcase_create("conf");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 0);
	tcase_add_loop_test(t, examples_parse, 0, 2);
	tcase_add_test(t, default_values);
	tcase_add_loop_test(t, fault_has_path_and_line, 0, FAULT_CASES);
	tcase_add_test(t, all_faults_are_reported);
	tcase_add_test(t, text_too_long);
	tcase_add_loop_test(t, fuzz, 0, 2);
	tcase_add_loop_test(t, diff_of_the_list_of_workspaces, 0, 4);
	tcase_add_loop_test(t, diff_of_an_edit, 0, DIFF_CASES);
	tcase_add_test(t, majority_of_replicas);
	return suite_run(s);
}
