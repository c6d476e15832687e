/* Options of the operators' subcommands, and reading of their input file. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

#define ENTRY_ENV	  "DAISYLEDGE_ENTRY"
#define KEY_ENV		  "DAISYLEDGE_KEY_FILE"
#define TIMEOUT_S_DEFAULT 30
#define TIMEOUT_S_MAX	  3600
#define READ_CHUNK	  65536

static int usage_error(const char *name, const char *what);
static int args_error(const char *name, const char *usage, unsigned args_count);
static int add_entry(struct cli *cli, const char *name, const char *address);
static int find_entries(struct cli *cli, const char *name);
static int read_key(struct cli *cli, const char *name);

/* Prints a usage error and returns its exit status. */
static int usage_error(const char *name, const char *what)
{
	fprintf(stderr, "daisyledge %s: %s; see daisyledge %s --help\n", name,
		what, name);
	return DL_EXIT_USAGE;
}

/* Reports a wrong number of arguments. */
static int args_error(const char *name, const char *usage, unsigned args_count)
{
	char text[64];

	if (!args_count)
		return usage_error(name, "unexpected argument");
	snprintf(text, sizeof(text), "expected %s", usage);
	return usage_error(name, text);
}

/* Adds the address of an entry. */
static int add_entry(struct cli *cli, const char *name, const char *address)
{
	char text[128];

	if (cli->entries == CLI_ENTRIES_MAX)
		return usage_error(name, "too many entries");
	if (dl_vm_parse(dl_str_of(address), &cli->entry[cli->entries])) {
		cli->entries++;
		return DL_EXIT_OK;
	}
	snprintf(text, sizeof(text), "\"%.60s\" is not an address IP:PORT",
		 address);
	return usage_error(name, text);
}

/* Reads the entries from --entry, or from the environment if there is none. */
static int find_entries(struct cli *cli, const char *name)
{
	const char *env = g_getenv(ENTRY_ENV);
	char **addresses;
	int rc = DL_EXIT_OK;

	for (char **w = cli->entry_args; w && *w && rc == DL_EXIT_OK; w++)
		rc = add_entry(cli, name, *w);
	if (rc != DL_EXIT_OK || cli->entries || !env)
		return rc;
	addresses = g_strsplit_set(env, ", ", 0);
	for (char **w = addresses; *w && rc == DL_EXIT_OK; w++) {
		if (**w)
			rc = add_entry(cli, name, *w);
	}
	g_strfreev(addresses);
	return rc;
}

/*
 * Reads the signing key from the first line of a file: a key given as an option
 * would be visible in process listings.
 */
static int read_key(struct cli *cli, const char *name)
{
	const char *path = cli->key_file ? cli->key_file : g_getenv(KEY_ENV);
	char *text;
	size_t n;

	if (!path)
		return DL_EXIT_OK;
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return usage_error(name, "the key file cannot be read");
	n = strcspn(text, "\r\n");
	if (n > 0 && n <= DL_KEY_MAX) {
		memcpy(cli->key.s, text, n);
		cli->key.n = (uint8_t)n;
	}
	g_free(text);
	return cli->key.n ? DL_EXIT_OK :
			    usage_error(name, "the key file has no key of 1 "
					      "to 128 bytes on its first line");
}

/* Parses the options of a subcommand. */
int cli_options(struct cli *cli, const GOptionEntry *own, const char *usage,
		unsigned args_count, bool online, int argc, char **argv)
{
	const GOptionEntry common[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &cli->json,
		  "print JSON for programs", NULL },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY,
		  &cli->args, NULL, NULL },
		{ NULL },
	};
	const GOptionEntry connection[] = {
		{ "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &cli->entry_args,
		  "address of an entry; repeat to try several (or "
		  "$" ENTRY_ENV ")",
		  "IP:PORT" },
		{ "key-file", 0, 0, G_OPTION_ARG_FILENAME, &cli->key_file,
		  "sign with the key in this file (or $" KEY_ENV ")", "FILE" },
		{ "timeout", 0, 0, G_OPTION_ARG_INT, &cli->timeout_s,
		  "give up after this time", "S" },
		{ NULL },
	};
	GOptionContext *context;
	GError *error = NULL;
	char *prgname;
	int rc = DL_EXIT_OK;

	memset(cli, 0, sizeof(*cli));
	cli->timeout_s = TIMEOUT_S_DEFAULT;
	prgname = g_strdup_printf("daisyledge %s", argv[0]);
	g_set_prgname(prgname);
	g_free(prgname);
	context = g_option_context_new(usage);
	if (own)
		g_option_context_add_main_entries(context, own, NULL);
	if (online)
		g_option_context_add_main_entries(context, connection, NULL);
	g_option_context_add_main_entries(context, common, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		rc = usage_error(argv[0], error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	if (rc != DL_EXIT_OK)
		return rc;
	if (args_count != CLI_ANY_ARGS &&
	    (cli->args ? g_strv_length(cli->args) : 0) != args_count)
		return args_error(argv[0], usage, args_count);
	if (!online)
		return DL_EXIT_OK;
	if (cli->timeout_s < 1 || cli->timeout_s > TIMEOUT_S_MAX)
		return usage_error(argv[0], "--timeout must be 1 to 3600");
	rc = read_key(cli, argv[0]);
	if (rc == DL_EXIT_OK)
		rc = find_entries(cli, argv[0]);
	if (rc == DL_EXIT_OK && cli->entries == 0)
		rc = usage_error(argv[0],
				 "no entry given; use --entry IP:PORT or "
				 "$" ENTRY_ENV);
	return rc;
}

/* Frees the options. */
void cli_free(struct cli *cli)
{
	g_free(cli->key_file);
	g_strfreev(cli->entry_args);
	g_strfreev(cli->args);
}

/*
 * Reads a file, "-" for standard input, up to one byte more than the maximum
 * size of a configuration, so that validation can report that it is too long.
 * Returns 0 or a negative errno; the caller frees out->s with free().
 */
int cli_read_file(const char *path, struct cli_text *out)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "rb");
	int rc = 0;

	out->n = 0;
	out->s = NULL;
	if (!f)
		return -errno;
	out->s = malloc((size_t)DL_CONF_TEXT_MAX + 1);
	if (!out->s)
		rc = -ENOMEM;
	while (rc == 0 && out->n <= DL_CONF_TEXT_MAX && !feof(f)) {
		size_t room = (size_t)DL_CONF_TEXT_MAX + 1 - out->n;

		out->n += fread(out->s + out->n, 1, MIN(room, READ_CHUNK), f);
		if (ferror(f))
			rc = -EIO;
	}
	if (f != stdin)
		fclose(f);
	if (rc) {
		free(out->s);
		out->s = NULL;
	}
	return rc;
}
