/* daisyledge check: validates a configuration file without contacting a VM. */
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

static void print_ok(const struct cli *cli, const struct dl_conf *conf);

/* Prints that a configuration is valid and a summary of it. */
static void print_ok(const struct cli *cli, const struct dl_conf *conf)
{
	json_t *json;

	if (!cli->json) {
		printf("%s: good; %u services, %u workspaces, %s, %u "
		       "replicas\n",
		       cli->args[0], conf->services_count,
		       conf->workspaces_count,
		       conf->keys_required ? "keys required" :
					     "no keys required",
		       conf->replicas_count);
		return;
	}
	json = json_pack("{s:b, s:[]}", "good", 1, "faults");
	cli_print_json(json);
	json_decref(json);
}

/* Validates a file and prints all faults found. */
int dl_main_check(int argc, char **argv)
{
	static struct dl_faults faults;
	struct cli cli;
	struct cli_text text;
	struct dl_conf *conf;
	json_t *json;
	int rc = cli_options(&cli, NULL, "FILE", 1, false, argc, argv);

	if (rc != DL_EXIT_OK) {
		cli_free(&cli);
		return rc;
	}
	rc = cli_read_file(cli.args[0], &text);
	if (rc) {
		fprintf(stderr, "%s: %s\n", cli.args[0], strerror(-rc));
		cli_free(&cli);
		return DL_EXIT_FAULT;
	}
	rc = dl_conf_parse((struct dl_str){ text.s, text.n }, &conf, &faults);
	free(text.s);
	if (rc == 0) {
		print_ok(&cli, conf);
		dl_conf_free(conf);
	} else if (cli.json) {
		json = json_pack("{s:b, s:o}", "good", 0, "faults",
				 cli_faults_json(&faults));
		cli_print_json(json);
		json_decref(json);
	} else {
		cli_print_faults(stdout, cli.args[0], &faults);
	}
	cli_free(&cli);
	return rc ? DL_EXIT_FAULT : DL_EXIT_OK;
}
