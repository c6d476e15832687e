/*
 * Common parts of the operators' subcommands: options, requests to entries and
 * printing of results.
 */
#ifndef DL_CLI_CLI_H
#define DL_CLI_CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "daisyledge/conf.h"
#include "protocol/sign.h"

#define CLI_ENTRIES_MAX 32
/* Instead of a number of arguments: the subcommand checks them itself. */
#define CLI_ANY_ARGS UINT32_MAX

/* Options common to the subcommands. */
struct cli {
	uint64_t entry[CLI_ENTRIES_MAX];
	unsigned entries;
	gboolean json;
	int timeout_s;
	struct dl_key key; /* signs each request; n is 0 if there is none */
	char *key_file;
	char **entry_args; /* values of --entry */
	char **args;	   /* arguments that are not options */
};

struct cli_text {
	char *s;
	size_t n;
};

/*
 * Parses the options of a subcommand; own are those specific to it. usage
 * describes the arguments in the help, args_count is the number of arguments
 * required besides options. Returns DL_EXIT_OK or the exit status.
 */
int cli_options(struct cli *cli, const GOptionEntry *own, const char *usage,
		unsigned args_count, bool online, int argc, char **argv);
void cli_free(struct cli *cli);

/* A request to an entry; body may be NULL. */
struct cli_request {
	const char *method;
	const char *path;
	const char *body;
	bool other_on_503; /* on 503 (no quorum), try the next entry */
};

/* The answer; status is 0 if there was none, json NULL if it was not JSON. */
struct cli_answer {
	int status;
	json_t *json;
	uint64_t from;
	struct dl_err err; /* of the last attempt that got no answer */
};

/*
 * Sends a request to the entries in turn until one answers or the timeout
 * expires.
 */
void cli_call(const struct cli *cli, const struct cli_request *req,
	      int64_t timeout_ms, struct cli_answer *out);
void cli_answer_free(struct cli_answer *answer);
int64_t cli_now_ms(void);
void cli_sleep_ms(unsigned ms);

/* Prints why a request failed and returns the exit status. */
int cli_report_failure(const struct cli *cli, const struct cli_answer *answer);
void cli_print_json(const json_t *json);
void cli_print_faults(FILE *to, const char *file,
		      const struct dl_faults *faults);
json_t *cli_faults_json(const struct dl_faults *faults);

/* A table column: the key in each row's object and the column title. */
struct cli_column {
	const char *key;
	const char *title;
	bool is_time; /* Unix time in milliseconds */
};

void cli_print_table(const json_t *rows, const struct cli_column *columns,
		     size_t count);
void cli_format_cell(const json_t *value, bool is_time, char out[80]);

int cli_read_file(const char *path, struct cli_text *out);

#endif
