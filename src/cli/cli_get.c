/* daisyledge get and history: prints a version, or the list of versions. */
#include <inttypes.h>
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

#define OK 200

static const struct cli_column history_columns[] = {
	{ .key = "version", .title = "VERSION" },
	{ .key = "wall_ms", .title = "TIME", .is_time = true },
	{ .key = "author", .title = "AUTHOR" },
	{ .key = "bytes", .title = "BYTES" },
	{ .key = "digest", .title = "DIGEST" },
	{ .key = "change_id", .title = "CHANGE ID" },
};

static int fetch(const struct cli *cli, const char *path,
		 struct cli_answer *answer);
static int print_text(const struct cli *cli, const json_t *json);

/* Requests a document; prints an error on failure. */
static int fetch(const struct cli *cli, const char *path,
		 struct cli_answer *answer)
{
	struct cli_request req = { "GET", path, NULL, true };

	cli_call(cli, &req, (int64_t)cli->timeout_s * 1000, answer);
	if (answer->status == OK && answer->json)
		return DL_EXIT_OK;
	return cli_report_failure(cli, answer);
}

/* Prints a configuration; fails if the version was dropped or never existed. */
static int print_text(const struct cli *cli, const json_t *json)
{
	const json_t *text = json_object_get(json, "text");

	if (cli->json)
		cli_print_json(json);
	if (!json_is_string(text) || json_string_length(text) == 0) {
		fprintf(stderr, "the text of this version is not stored\n");
		return DL_EXIT_FAULT;
	}
	if (!cli->json)
		fwrite(json_string_value(text), 1, json_string_length(text),
		       stdout);
	return DL_EXIT_OK;
}

/* Runs the get subcommand. */
int dl_main_get(int argc, char **argv)
{
	gint64 version = 0;
	const GOptionEntry own[] = {
		{ "version", 0, 0, G_OPTION_ARG_INT64, &version,
		  "print this version instead of the one in force", "N" },
		{ NULL },
	};
	struct cli_answer answer = { 0 };
	struct cli cli;
	char path[64] = "/v1/config";
	int rc = cli_options(&cli, own, NULL, 0, true, argc, argv);

	if (version)
		snprintf(path, sizeof(path), "/v1/config?version=%" PRId64,
			 (int64_t)version);
	if (rc == DL_EXIT_OK)
		rc = fetch(&cli, path, &answer);
	if (rc == DL_EXIT_OK)
		rc = print_text(&cli, answer.json);
	cli_answer_free(&answer);
	cli_free(&cli);
	return rc;
}

/* Runs the history subcommand: lists the versions, newest first. */
int dl_main_history(int argc, char **argv)
{
	struct cli_answer answer = { 0 };
	struct cli cli;
	int rc = cli_options(&cli, NULL, NULL, 0, true, argc, argv);

	if (rc == DL_EXIT_OK)
		rc = fetch(&cli, "/v1/config/history", &answer);
	if (rc == DL_EXIT_OK && cli.json)
		cli_print_json(answer.json);
	else if (rc == DL_EXIT_OK)
		cli_print_table(json_object_get(answer.json, "changes"),
				history_columns,
				sizeof(history_columns) /
					sizeof(history_columns[0]));
	cli_answer_free(&answer);
	cli_free(&cli);
	return rc;
}
