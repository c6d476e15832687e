/* daisyledge status: lists VMs, replicas, pools and endpoints. */
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

#define OK 200

#define COUNT(table) (sizeof(table) / sizeof((table)[0]))

static const struct cli_column vm_columns[] = {
	{ .key = "vm", .title = "VM" },
	{ .key = "domain", .title = "DOMAIN" },
	{ .key = "role", .title = "ROLE" },
	{ .key = "state", .title = "STATE" },
	{ .key = "version", .title = "VERSION" },
	{ .key = "draining", .title = "DRAINING" },
	{ .key = "since_ms", .title = "SINCE MS" },
};

static const struct cli_column pool_columns[] = {
	{ .key = "service", .title = "SERVICE" },
	{ .key = "domain", .title = "DOMAIN" },
	{ .key = "dispatcher", .title = "DISPATCHER" },
	{ .key = "endpoints", .title = "ENDPOINTS" },
	{ .key = "queued", .title = "QUEUED" },
	{ .key = "queued_tokens", .title = "QUEUED TOKENS" },
	{ .key = "free_tokens", .title = "FREE TOKENS" },
	{ .key = "backlog_ms", .title = "BACKLOG MS" },
	{ .key = "grants", .title = "GRANTS" },
};

static const struct cli_column endpoint_columns[] = {
	{ .key = "service", .title = "SERVICE" },
	{ .key = "address", .title = "ADDRESS" },
	{ .key = "running", .title = "RUNNING" },
	{ .key = "used_tokens", .title = "USED TOKENS" },
	{ .key = "held_tokens", .title = "HELD TOKENS" },
	{ .key = "leaving", .title = "LEAVING" },
	{ .key = "put_out", .title = "PUT OUT" },
};

/* A list in the status document and the columns printed for it. */
struct section {
	const char *key;
	const struct cli_column *columns;
	size_t count;
};

static const struct cli_column evacuation_columns[] = {
	{ .key = "domain", .title = "EVACUATED DOMAIN" },
};

static const struct section sections[] = {
	{ "evacuated", evacuation_columns, COUNT(evacuation_columns) },
	{ "vms", vm_columns, COUNT(vm_columns) },
	{ "pools", pool_columns, COUNT(pool_columns) },
	{ "endpoints", endpoint_columns, COUNT(endpoint_columns) },
};

static void print_status(const json_t *json);
static void print_value(const char *key, const json_t *value, int depth);
static void print_values(const json_t *json, int depth);

/* Prints a key with its value; the members of a container go below it. */
static void print_value(const char *key, const json_t *value, int depth)
{
	char cell[80];

	if (json_is_object(value) || json_is_array(value)) {
		printf("%*s%s:\n", depth * 2, "", key);
		print_values(value, depth + 1);
		return;
	}
	cli_format_cell(value, false, cell);
	printf("%*s%s: %s\n", depth * 2, "", key,
	       json_is_false(value) ? "no" : cell);
}

/* Prints the members of a JSON object or array, one line per value. */
static void print_values(const json_t *json, int depth)
{
	const char *key;
	json_t *value;
	char number[24];
	size_t i;

	json_object_foreach((json_t *)json, key, value)
	{
		print_value(key, value, depth);
	}
	json_array_foreach(json, i, value)
	{
		snprintf(number, sizeof(number), "%zu", i + 1);
		print_value(number, value, depth);
	}
}

static void print_status(const json_t *json)
{
	char cell[80];

	cli_format_cell(json_object_get(json, "version"), false, cell);
	printf("version in force: %s\n", cell);
	for (size_t i = 0; i < COUNT(sections); i++) {
		const json_t *list = json_object_get(json, sections[i].key);

		if (json_array_size(list) == 0)
			continue;
		putchar('\n');
		cli_print_table(list, sections[i].columns, sections[i].count);
	}
	if (json_object_size(json_object_get(json, "replicas")) == 0)
		return;
	printf("\nreplicas:\n");
	print_values(json_object_get(json, "replicas"), 1);
}

/* Runs the status subcommand. */
int dl_main_status(int argc, char **argv)
{
	struct cli_request req = { "GET", "/v1/status", NULL, false };
	struct cli_answer answer = { 0 };
	struct cli cli;
	int rc = cli_options(&cli, NULL, NULL, 0, true, argc, argv);

	if (rc == DL_EXIT_OK) {
		cli_call(&cli, &req, (int64_t)cli.timeout_s * 1000, &answer);
		if (answer.status != OK || !answer.json)
			rc = cli_report_failure(&cli, &answer);
		else if (cli.json)
			cli_print_json(answer.json);
		else
			print_status(answer.json);
	}
	cli_answer_free(&answer);
	cli_free(&cli);
	return rc;
}
