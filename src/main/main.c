/* Entry point: dispatches to the subcommands. */
#include <stdio.h>
#include <string.h>

#include "main/main.h"

static const struct dl_subcommand subcommands[] = {
	{ "entry", dl_main_entry, "serve callers, endpoints and operators" },
	{ "replica", dl_main_replica, "store and replicate the configuration" },
	{ "rescue", dl_main_rescue,
	  "start a new group from one replica's disk" },
	{ "check", dl_main_check, "validate a configuration, offline" },
	{ "apply", dl_main_apply, "put a configuration in force" },
	{ "evacuate", dl_main_evacuate,
	  "begin or end the evacuation of a failure domain" },
	{ "get", dl_main_get, "print a configuration" },
	{ "history", dl_main_history,
	  "list the versions of the configuration" },
	{ "status", dl_main_status, "show VMs, pools and endpoints" },
	{ "explain", dl_main_explain, "trace requests in the logs" },
	{ "version", dl_main_version, "print the version" },
};

#define SUBCOMMANDS (sizeof(subcommands) / sizeof(subcommands[0]))

static int usage(FILE *to)
{
	fprintf(to, "usage: daisyledge SUBCOMMAND [OPTION...]\n");
	for (size_t i = 0; i < SUBCOMMANDS; i++)
		fprintf(to, "  %-8s %s\n", subcommands[i].name,
			subcommands[i].help);
	fprintf(to, "Run daisyledge SUBCOMMAND --help for its options.\n");
	return to == stdout ? DL_EXIT_OK : DL_EXIT_USAGE;
}

int dl_main_version(int argc, char **argv)
{
	printf("daisyledge %s\n", DL_VERSION);
	return DL_EXIT_OK;
}

/* Runs the subcommand named by the first argument. */
int main(int argc, char **argv)
{
	if (argc < 2)
		return usage(stderr);
	if (strcmp(argv[1], "--help") == 0)
		return usage(stdout);
	for (size_t i = 0; i < SUBCOMMANDS; i++) {
		if (strcmp(argv[1], subcommands[i].name) == 0)
			return subcommands[i].run(argc - 1, argv + 1);
	}
	return usage(stderr);
}
