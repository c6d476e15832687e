/* daisyledge explain: traces one request, or summarizes all, from log files. */
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
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
	  "summarize the lost and late requests in the logs", NULL },
	{ "step", 0, 0, G_OPTION_ARG_INT, &step_s,
	  "length of an interval of the summary", "S" },
	{ NULL },
};

/* Callback for each log line, with the node that wrote it. */
struct line_handler {
	void (*handle)(void *arg, struct dl_str node, struct dl_str line);
	void *arg;
};

/* Returns a line's node: the last word before its timestamp, or the file. */
static struct dl_str get_node(struct dl_str line, struct dl_str file)
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

static void handle_line(const struct line_handler *handler, struct dl_str file,
			struct dl_str line)
{
	char *valid;

	if (g_utf8_validate(line.s, (gssize)line.n, NULL)) {
		handler->handle(handler->arg, get_node(line, file), line);
		return;
	}
	valid = g_utf8_make_valid(line.s, (gssize)line.n);
	line = dl_str_of(valid);
	handler->handle(handler->arg, get_node(line, file), line);
	g_free(valid);
}

static void handle_lines(const struct line_handler *handler, struct dl_str file,
			 struct dl_str text)
{
	while (text.n) {
		const char *end = memchr(text.s, '\n', text.n);
		size_t n = end ? (size_t)(end - text.s) : text.n;

		handle_line(handler, file, (struct dl_str){ text.s, n });
		n += end != NULL;
		text = (struct dl_str){ text.s + n, text.n - n };
	}
}

/* Passes all lines of the files on; DL_EXIT_FAULT if one cannot be read. */
static int read_files(char *const *paths, const struct line_handler *handler)
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
		handle_lines(handler, dl_str_of(name),
			     (struct dl_str){ g_mapped_file_get_contents(file),
					      g_mapped_file_get_length(file) });
		g_free(name);
		g_mapped_file_unref(file);
	}
	return DL_EXIT_OK;
}

static void handle_first_pass(void *arg, struct dl_str node, struct dl_str line)
{
	explain_one_add_line(arg, node, line, true);
}

static void handle_second_pass(void *arg, struct dl_str node,
			       struct dl_str line)
{
	explain_one_add_line(arg, node, line, false);
}

static const char *get_text(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

static int64_t get_number(const json_t *o, const char *key)
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

/* Prints each log line and below it the decision that it records. */
static void print_request(const json_t *lines)
{
	const json_t *l;
	int64_t start = 0;
	size_t i;

	json_array_foreach(lines, i, l)
	{
		int64_t at = get_number(l, "at_ms");

		if (i == 0)
			start = at;
		print_stamp(at, true);
		printf("  +%-6" PRId64 " %-24s %s: %s\n", at - start,
		       get_text(l, "node"), get_text(l, "part"),
		       get_text(l, "sentence"));
		if (strcmp(get_text(l, "decision"), get_text(l, "sentence")) !=
		    0)
			printf("%21s%s\n", "", get_text(l, "decision"));
	}
}

static int explain_one(struct cli *cli)
{
	struct explain_one *one = explain_one_new(dl_str_of(cli->args[0]));
	struct line_handler handler = { handle_first_pass, one };
	int rc = read_files(cli->args + 1, &handler);
	json_t *lines;

	handler.handle = handle_second_pass;
	if (rc == DL_EXIT_OK)
		rc = read_files(cli->args + 1, &handler);
	lines = explain_one_json(one);
	if (rc == DL_EXIT_OK && cli->json)
		cli_print_json(lines);
	else if (rc == DL_EXIT_OK)
		print_request(lines);
	if (rc == DL_EXIT_OK && json_array_size(lines) == 0) {
		fprintf(stderr, "daisyledge explain: no log line mentions %s\n",
			cli->args[0]);
		rc = DL_EXIT_FAULT;
	}
	json_decref(lines);
	explain_one_free(one);
	return rc;
}

static void handle_summary(void *arg, struct dl_str node, struct dl_str line)
{
	explain_sum_add_line(arg, line);
}

static void print_summary(const json_t *sum)
{
	const json_t *row;
	size_t i;

	printf("%" PRId64 " requests, %" PRId64 " served, %" PRId64
	       " of them late\n",
	       get_number(sum, "requests"), get_number(sum, "served"),
	       get_number(sum, "served_late"));
	json_array_foreach(json_object_get(sum, "lost"), i, row)
	{
		if (i == 0)
			printf("\nlost: from, how many, service, outcome, "
			       "reason\n");
		print_stamp(get_number(row, "at_ms"), false);
		printf(" %6" PRId64 "  %-24s %-8s %s\n",
		       get_number(row, "count"), get_text(row, "service"),
		       get_text(row, "outcome"), get_text(row, "reason"));
	}
	json_array_foreach(json_object_get(sum, "late"), i, row)
	{
		if (i == 0)
			printf("\nlate: how many, service, where most of the "
			       "time went, ms there on average\n");
		printf("%6" PRId64 "  %-24s %-36s %" PRId64 "\n",
		       get_number(row, "count"), get_text(row, "service"),
		       get_text(row, "where"), get_number(row, "mean_ms"));
	}
	if (get_number(sum, "lost_not_listed"))
		printf("\n%" PRId64 " more are lost than are listed\n",
		       get_number(sum, "lost_not_listed"));
}

static int explain_all(struct cli *cli)
{
	struct explain_sum *sum = explain_sum_new((int64_t)step_s * MS_PER_S);
	struct line_handler handler = { handle_summary, sum };
	int rc = read_files(cli->args, &handler);
	json_t *counts = explain_sum_json(sum);

	if (rc == DL_EXIT_OK && cli->json)
		cli_print_json(counts);
	else if (rc == DL_EXIT_OK)
		print_summary(counts);
	json_decref(counts);
	explain_sum_free(sum);
	return rc;
}

/* Runs the explain subcommand. */
int dl_main_explain(int argc, char **argv)
{
	struct cli cli;
	guint args_count;
	int rc;

	summary = FALSE;
	step_s = STEP_S_DEFAULT;
	rc = cli_options(&cli, own_options, "ID LOG... or --summary LOG...",
			 CLI_ANY_ARGS, false, argc, argv);
	args_count = rc == DL_EXIT_OK && cli.args ? g_strv_length(cli.args) : 0;
	if (rc == DL_EXIT_OK && (args_count < (summary ? 1U : 2U) ||
				 step_s < 1 || step_s > STEP_S_MAX)) {
		fprintf(stderr,
			"daisyledge explain: expected an id and logs, or "
			"--summary and logs; --step is 1 to 86400\n");
		rc = DL_EXIT_USAGE;
	}
	if (rc == DL_EXIT_OK)
		rc = summary ? explain_all(&cli) : explain_one(&cli);
	cli_free(&cli);
	return rc;
}
