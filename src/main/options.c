/* The command-line option of the entry and replica daemons. */
#include <glib.h>
#include <stdio.h>

#include "main/main.h"

/* Path of the settings if -c is not given. */
#define SETTINGS_VARIABLE "DAISYLEDGE_SETTINGS"

/*
 * Returns the path of the settings from -c or the environment, or NULL after
 * printing an error.
 */
char *dl_main_settings_option(int *argc, char ***argv)
{
	char *path = NULL;
	GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
		  "Settings of this process (JSON)", "FILE" },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, argc, argv, &error)) {
		fprintf(stderr, "daisyledge: %s\n", error->message);
		g_error_free(error);
		path = NULL;
	} else if (!path && g_getenv(SETTINGS_VARIABLE)) {
		path = g_strdup(g_getenv(SETTINGS_VARIABLE));
	} else if (!path) {
		fprintf(stderr, "daisyledge: -c FILE is missing\n");
	}
	g_option_context_free(ctx);
	return path;
}
