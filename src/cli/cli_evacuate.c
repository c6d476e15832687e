/* daisyledge evacuate: begins or ends the evacuation of a failure domain. */
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

#define OK	       200
#define MS_PER_S       1000
#define PATH_MAX_BYTES 256

/* Returns the method of the action, or NULL if it is unknown. */
static const char *method_of(const char *action)
{
	if (strcmp(action, "start") == 0)
		return "PUT";
	return strcmp(action, "end") == 0 ? "DELETE" : NULL;
}

/* Prints the result for people. */
static void print_result(const char *domain, bool start, const json_t *answer)
{
	bool repeated = json_is_true(json_object_get(answer, "repeated"));
	json_t *without = json_object_get(answer, "services_without_endpoint");
	json_t *name;
	size_t i;

	printf("%s is %s%s\n", domain,
	       start ? "evacuated" : "no longer evacuated",
	       repeated ? "; nothing was changed" : "");
	json_array_foreach(without, i, name)
	{
		printf("service %s has no endpoint outside evacuated domains\n",
		       json_string_value(name));
	}
}

static int evacuate(struct cli *cli, const char *domain, const char *action)
{
	struct cli_request req = { method_of(action), NULL, NULL, true };
	struct cli_answer answer;
	char path[PATH_MAX_BYTES];
	char *name;
	int rc = DL_EXIT_OK;

	if (!req.method) {
		fprintf(stderr, "%s: must be start or end\n", action);
		return DL_EXIT_USAGE;
	}
	name = g_uri_escape_string(domain, NULL, FALSE);
	snprintf(path, sizeof(path), "/v1/evacuations/%s", name);
	g_free(name);
	req.path = path;
	cli_call(cli, &req, (int64_t)cli->timeout_s * MS_PER_S, &answer);
	if (answer.status != OK || !json_is_object(answer.json))
		rc = cli_report_failure(cli, &answer);
	else if (cli->json)
		cli_print_json(answer.json);
	else
		print_result(domain, strcmp(action, "start") == 0, answer.json);
	cli_answer_free(&answer);
	return rc;
}

/* Runs the evacuate subcommand. */
int dl_main_evacuate(int argc, char **argv)
{
	struct cli cli;
	int rc = cli_options(&cli, NULL, "DOMAIN start|end", 2, true, argc,
			     argv);

	if (rc == DL_EXIT_OK)
		rc = evacuate(&cli, cli.args[0], cli.args[1]);
	cli_free(&cli);
	return rc;
}
