/* One binary: each subcommand is a function of this table. */
#include <stdio.h>
#include <string.h>

#include "main/main.h"

static const struct dl_subcommand subcommands[] = {
	{ "entry", dl_main_entry, "serve callers, endpoints and operators" },
	{ "replica", dl_main_replica, "keep and decide the configuration" },
	{ "rescue", dl_main_rescue, "go on from one replica's disk alone" },
	{ "check", dl_main_check, "check a configuration, offline" },
	{ "apply", dl_main_apply, "put a configuration in force" },
	{ "get", dl_main_get, "print a configuration" },
	{ "history", dl_main_history, "list the versions" },
	{ "status", dl_main_status, "show VMs, pools and endpoints" },
	{ "explain", dl_main_explain, "what the logs say of requests" },
	{ "version", dl_main_version, "print the version" },
};

#define SUBCOMMANDS (sizeof(subcommands) / sizeof(subcommands[0]))

static int usage(FILE *to)
{
	fprintf(to, "usage: daisyledge SUBCOMMAND [OPTION...]\n");
	for (size_t i = 0; i < SUBCOMMANDS; i++)
		fprintf(to, "  %-8s %s\n", subcommands[i].name,
			subcommands[i].help);
	fprintf(to, "daisyledge SUBCOMMAND --help tells its options.\n");
	return to == stdout ? DL_EXIT_OK : DL_EXIT_USAGE;
}

/* Print the version. */
int dl_main_version(int argc, char **argv)
{
	printf("daisyledge %s\n", DL_VERSION);
	return DL_EXIT_OK;
}

/* Find the subcommand and hand it the rest of the line. */
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
