/* daisyledge explain: what the logs say of one request, or of many. */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "main/cli.h"
#include "main/main.h"
#include "protocol/explain.h"

#define STEP_S_DEFAULT 10
#define STEP_S_MAX     86400
#define MS_PER_S       1000
#define STAMP_FORMAT   "%H:%M:%S"

static gboolean summary;
static int step_s;

static const GOptionEntry own_options[] = {
	{ "summary", 0, 0, G_OPTION_ARG_NONE, &summary,
	  "what was lost and late in the logs, of all requests", NULL },
	{ "step", 0, 0, G_OPTION_ARG_INT, &step_s,
	  "how long a moment of the summary lasts", "S" },
	{ NULL },
};

/* Whoever is handed the lines of the logs. */
struct taker {
	void (*take)(void *arg, struct dl_str node, struct dl_str line);
	void *arg;
};

/* The VM that a line is of: the last word before its stamp, or its file. */
static struct dl_str node_of(struct dl_str line, struct dl_str file)
{
	struct dl_logline l;
	struct dl_str s;
	const char *blank;

	if (dl_logline_read(line, &l))
		return file;
	s = l.prefix;
	while (s.n && s.s[s.n - 1] == ' ')
		s.n--;
	blank = s.n ? memrchr(s.s, ' ', s.n) : NULL;
	if (blank)
		s = (struct dl_str){ blank + 1,
				     (size_t)(s.s + s.n - blank - 1) };
	return s.n ? s : file;
}

static void take_line(const struct taker *t, struct dl_str file,
		      struct dl_str line)
{
	char *valid;

	if (g_utf8_validate(line.s, (gssize)line.n, NULL)) {
		t->take(t->arg, node_of(line, file), line);
		return;
	}
	valid = g_utf8_make_valid(line.s, (gssize)line.n);
	line = dl_str_of(valid);
	t->take(t->arg, node_of(line, file), line);
	g_free(valid);
}

static void take_lines(const struct taker *t, struct dl_str file,
		       struct dl_str text)
{
	while (text.n) {
		const char *end = memchr(text.s, '\n', text.n);
		size_t n = end ? (size_t)(end - text.s) : text.n;

		take_line(t, file, (struct dl_str){ text.s, n });
		n += end != NULL;
		text = (struct dl_str){ text.s + n, text.n - n };
	}
}

/* Hand in the lines of every file; DL_EXIT_FAULT where one cannot be read. */
static int take_files(char *const *paths, const struct taker *t)
{
	for (; *paths; paths++) {
		GError *error = NULL;
		GMappedFile *file = g_mapped_file_new(*paths, FALSE, &error);
		char *name;

		if (!file) {
			fprintf(stderr, "daisyledge explain: %s\n",
				error->message);
			g_error_free(error);
			return DL_EXIT_FAULT;
		}
		name = g_path_get_basename(*paths);
		if (g_str_has_suffix(name, ".log"))
			name[strlen(name) - strlen(".log")] = '\0';
		take_lines(t, dl_str_of(name),
			   (struct dl_str){ g_mapped_file_get_contents(file),
					    g_mapped_file_get_length(file) });
		g_free(name);
		g_mapped_file_unref(file);
	}
	return DL_EXIT_OK;
}

static void take_first(void *arg, struct dl_str node, struct dl_str line)
{
	explain_one_add_line(arg, node, line, true);
}

static void take_again(void *arg, struct dl_str node, struct dl_str line)
{
	explain_one_add_line(arg, node, line, false);
}

static const char *text_in(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

static int64_t number_in(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static void print_stamp(int64_t at_ms, bool with_ms)
{
	GDateTime *t = g_date_time_new_from_unix_utc(at_ms / MS_PER_S);
	char *s = g_date_time_format(t, STAMP_FORMAT);

	fputs(s, stdout);
	if (with_ms)
		printf(".%03d", (int)(at_ms % MS_PER_S));
	g_free(s);
	g_date_time_unref(t);
}

/* A line of the log, and under it what was decided. */
static void print_one(const json_t *lines)
{
	const json_t *l;
	int64_t begun = 0;
	size_t i;

	json_array_foreach(lines, i, l)
	{
		int64_t at = number_in(l, "at_ms");

		if (i == 0)
			begun = at;
		print_stamp(at, true);
		printf("  +%-6" PRId64 " %-24s %s: %s\n", at - begun,
		       text_in(l, "node"), text_in(l, "part"),
		       text_in(l, "sentence"));
		if (strcmp(text_in(l, "decision"), text_in(l, "sentence")) != 0)
			printf("%21s%s\n", "", text_in(l, "decision"));
	}
}

static int explain_one(struct cli *cli)
{
	struct explain_one *one = explain_one_new(dl_str_of(cli->rest[0]));
	struct taker t = { take_first, one };
	int rc = take_files(cli->rest + 1, &t);
	json_t *lines;

	t.take = take_again;
	if (rc == DL_EXIT_OK)
		rc = take_files(cli->rest + 1, &t);
	lines = explain_one_json(one);
	if (rc == DL_EXIT_OK && cli->json)
		cli_print_json(lines);
	else if (rc == DL_EXIT_OK)
		print_one(lines);
	if (rc == DL_EXIT_OK && json_array_size(lines) == 0) {
		fprintf(stderr, "daisyledge explain: no line names %s\n",
			cli->rest[0]);
		rc = DL_EXIT_FAULT;
	}
	json_decref(lines);
	explain_one_free(one);
	return rc;
}

static void take_sum(void *arg, struct dl_str node, struct dl_str line)
{
	explain_sum_add_line(arg, line);
}

static void print_sum(const json_t *sum)
{
	const json_t *row;
	size_t i;

	printf("%" PRId64 " requests, %" PRId64 " served, %" PRId64
	       " of them late\n",
	       number_in(sum, "requests"), number_in(sum, "served"),
	       number_in(sum, "served_late"));
	json_array_foreach(json_object_get(sum, "lost"), i, row)
	{
		if (i == 0)
			printf("\nlost: from, how many, service, outcome, "
			       "reason\n");
		print_stamp(number_in(row, "at_ms"), false);
		printf(" %6" PRId64 "  %-24s %-8s %s\n",
		       number_in(row, "count"), text_in(row, "service"),
		       text_in(row, "outcome"), text_in(row, "reason"));
	}
	json_array_foreach(json_object_get(sum, "late"), i, row)
	{
		if (i == 0)
			printf("\nlate: how many, service, where most of the "
			       "time went, ms there on average\n");
		printf("%6" PRId64 "  %-24s %-36s %" PRId64 "\n",
		       number_in(row, "count"), text_in(row, "service"),
		       text_in(row, "where"), number_in(row, "mean_ms"));
	}
	if (number_in(sum, "lost_not_listed"))
		printf("\n%" PRId64 " more are lost than are listed\n",
		       number_in(sum, "lost_not_listed"));
}

static int explain_all(struct cli *cli)
{
	struct explain_sum *sum = explain_sum_new((int64_t)step_s * MS_PER_S);
	struct taker t = { take_sum, sum };
	int rc = take_files(cli->rest, &t);
	json_t *counts = explain_sum_json(sum);

	if (rc == DL_EXIT_OK && cli->json)
		cli_print_json(counts);
	else if (rc == DL_EXIT_OK)
		print_sum(counts);
	json_decref(counts);
	explain_sum_free(sum);
	return rc;
}

/* Explain one request by its id, or all requests in one table. */
int dl_main_explain(int argc, char **argv)
{
	struct cli cli;
	guint words;
	int rc;

	summary = FALSE;
	step_s = STEP_S_DEFAULT;
	rc = cli_options(&cli, own_options, "ID LOG... or --summary LOG...",
			 CLI_ANY_WORDS, false, argc, argv);
	words = rc == DL_EXIT_OK && cli.rest ? g_strv_length(cli.rest) : 0;
	if (rc == DL_EXIT_OK && (words < (summary ? 1U : 2U) || step_s < 1 ||
				 step_s > STEP_S_MAX)) {
		fprintf(stderr, "daisyledge explain: name an id and logs, or "
				"--summary and logs; --step is 1 to 86400\n");
		rc = DL_EXIT_USAGE;
	}
	if (rc == DL_EXIT_OK)
		rc = summary ? explain_all(&cli) : explain_one(&cli);
	cli_free(&cli);
	return rc;
}
