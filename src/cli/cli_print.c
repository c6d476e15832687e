/* Output of the operators' subcommands: tables, faults and errors. */
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

#define COLUMNS_MAX 16
#define CELL_MAX    80
#define MS_PER_S    1000

/* Exit status for each HTTP status; 0 means that there was no answer. */
struct status_exit {
	int status;
	int exit;
};

static const struct status_exit status_exits[] = {
	{ 400, DL_EXIT_FAULT },	    { 401, DL_EXIT_FAULT },
	{ 404, DL_EXIT_FAULT },	    { 409, DL_EXIT_CONFLICT },
	{ 412, DL_EXIT_FAULT },	    { 413, DL_EXIT_FAULT },
	{ 503, DL_EXIT_UNREACHED }, { 0, DL_EXIT_UNREACHED },
};

static int exit_status(int status);
static const char *get_reason(const json_t *json);
static void print_line(const struct cli_column *columns, size_t count,
		       char cells[][CELL_MAX], const size_t *width);
static void print_member(const char *label, const json_t *json,
			 const char *key);

static int exit_status(int status)
{
	for (size_t i = 0; i < sizeof(status_exits) / sizeof(status_exits[0]);
	     i++) {
		if (status_exits[i].status == status)
			return status_exits[i].exit;
	}
	return DL_EXIT_FAULT;
}

/* Prints JSON on one line. */
void cli_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_COMPACT | JSON_ENCODE_ANY);
	putchar('\n');
}

/* Prints one line per fault, in the format of compiler errors. */
void cli_print_faults(FILE *to, const char *file,
		      const struct dl_faults *faults)
{
	uint32_t listed = MIN(faults->count, DL_FAULTS_MAX);

	for (uint32_t i = 0; i < listed; i++) {
		const struct dl_fault *f = &faults->items[i];

		fprintf(to, "%s:%u: %s%s%s\n", file, f->line, f->path,
			f->path[0] ? ": " : "", f->text);
	}
	if (faults->count > listed)
		fprintf(to, "%s: and %u more faults\n", file,
			faults->count - listed);
}

/* Returns the faults as a JSON array. */
json_t *cli_faults_json(const struct dl_faults *faults)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < MIN(faults->count, DL_FAULTS_MAX); i++) {
		const struct dl_fault *f = &faults->items[i];

		json_array_append_new(
			list, json_pack("{s:s, s:i, s:s}", "path", f->path,
					"line", (int)f->line, "text", f->text));
	}
	return list;
}

/* Prints a label and a member of a JSON object, if it is present. */
static void print_member(const char *label, const json_t *json, const char *key)
{
	const json_t *value = json_object_get(json, key);
	char cell[CELL_MAX];

	if (json_is_string(value) && json_string_length(value)) {
		fprintf(stderr, "%s%s\n", label, json_string_value(value));
	} else if (json_is_integer(value)) {
		cli_format_cell(value, false, cell);
		fprintf(stderr, "%s%s\n", label, cell);
	}
}

/*
 * Returns the reason in an error response. "error" is a string in responses to
 * operators and an object in all others.
 */
static const char *get_reason(const json_t *json)
{
	const json_t *error = json_object_get(json, "error");
	const json_t *message = json_object_get(error, "message");

	if (json_is_string(error))
		return json_string_value(error);
	if (json_is_string(message))
		return json_string_value(message);
	return json_string_value(json_object_get(error, "reason"));
}

/* Prints why a request failed and returns the exit status. */
int cli_report_failure(const struct cli *cli, const struct cli_answer *answer)
{
	const char *error = get_reason(answer->json);
	const char *diff =
		json_string_value(json_object_get(answer->json, "diff"));
	json_t *fault;
	size_t i;

	if (cli->json && answer->json) {
		cli_print_json(answer->json);
		return exit_status(answer->status);
	}
	if (answer->status == 0)
		fprintf(stderr, "no entry answered; last: %s: %s: %s\n",
			answer->err.peer, dl_step_name(answer->err.step),
			answer->err.text);
	else
		fprintf(stderr, "refused with status %d: %s\n", answer->status,
			error ? error : "no reason given");
	print_member("step: ", answer->json, "step");
	print_member("peer: ", answer->json, "peer");
	print_member("version in force: ", answer->json, "version");
	if (!error || !diff || strcmp(error, diff) != 0)
		print_member("", answer->json, "diff");
	json_array_foreach(json_object_get(answer->json, "faults"), i, fault)
	{
		char line[CELL_MAX];

		cli_format_cell(json_object_get(fault, "line"), false, line);
		fprintf(stderr, "line %s: ", line);
		print_member("", fault, "path");
		print_member("  ", fault, "text");
	}
	return exit_status(answer->status);
}

/* Formats a JSON value for people. */
void cli_format_cell(const json_t *value, bool is_time, char out[CELL_MAX])
{
	GDateTime *time;
	char *text;

	if (!value || json_is_null(value)) {
		snprintf(out, CELL_MAX, "-");
	} else if (json_is_string(value)) {
		snprintf(out, CELL_MAX, "%s", json_string_value(value));
	} else if (json_is_boolean(value)) {
		snprintf(out, CELL_MAX, "%s", json_is_true(value) ? "yes" : "");
	} else if (json_is_integer(value) && is_time) {
		time = g_date_time_new_from_unix_utc(json_integer_value(value) /
						     MS_PER_S);
		text = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") :
			      NULL;
		snprintf(out, CELL_MAX, "%s", text ? text : "?");
		g_free(text);
		if (time)
			g_date_time_unref(time);
	} else {
		text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
		snprintf(out, CELL_MAX, "%s", text ? text : "?");
		free(text);
	}
}

/* Prints one line of a table; the last column is not padded. */
static void print_line(const struct cli_column *columns, size_t count,
		       char cells[][CELL_MAX], const size_t *width)
{
	for (size_t i = 0; i < count; i++) {
		const char *cell = cells ? cells[i] : columns[i].title;

		if (i + 1 == count)
			printf("%s\n", cell);
		else
			printf("%-*s  ", (int)width[i], cell);
	}
}

/* Prints a list of objects as a table with a header line. */
void cli_print_table(const json_t *rows, const struct cli_column *columns,
		     size_t count)
{
	char cells[COLUMNS_MAX][CELL_MAX];
	size_t width[COLUMNS_MAX], r;
	json_t *row;

	for (size_t i = 0; i < count; i++)
		width[i] = strlen(columns[i].title);
	json_array_foreach(rows, r, row)
	{
		for (size_t i = 0; i < count; i++) {
			cli_format_cell(json_object_get(row, columns[i].key),
					columns[i].is_time, cells[i]);
			width[i] = MAX(width[i], strlen(cells[i]));
		}
	}
	print_line(columns, count, NULL, width);
	json_array_foreach(rows, r, row)
	{
		for (size_t i = 0; i < count; i++)
			cli_format_cell(json_object_get(row, columns[i].key),
					columns[i].is_time, cells[i]);
		print_line(columns, count, cells, width);
	}
}
