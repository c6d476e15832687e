/*
 * What the operators' subcommands share: options, one call to an entry after
 * the other, and tables for people.
 */
#ifndef DL_MAIN_CLI_H
#define DL_MAIN_CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "daisyledge/conf.h"
#include "protocol/sign.h"

#define CLI_ENTRIES_MAX 32
/* In place of a number of words: the subcommand looks at them itself. */
#define CLI_ANY_ARGS UINT32_MAX

/* Options of every subcommand that speaks with an entry. */
struct cli {
	uint64_t entry[CLI_ENTRIES_MAX];
	unsigned entries;
	gboolean json;
	int timeout_s;
	struct dl_key key; /* signs each request; n is 0 for none */
	char *key_file;
	char **entry_args; /* --entry as given */
	char **args;	   /* what is no option */
};

struct cli_text {
	char *s;
	size_t n;
};

/*
 * Read the options of a subcommand, its own first.  usage is what follows the
 * name; files is how many words beside the options there must be.  DL_EXIT_OK,
 * or the exit status.
 */
int cli_options(struct cli *cli, const GOptionEntry *own, const char *usage,
		unsigned args_count, bool online, int argc, char **argv);
void cli_free(struct cli *cli);

/* One request; body may be NULL. */
struct cli_request {
	const char *method;
	const char *path;
	const char *body;
	bool other_on_503; /* ask the next entry, as this one has no quorum */
};

/* What came: status 0 where nobody answered, json NULL where it was none. */
struct cli_answer {
	int status;
	json_t *json;
	uint64_t from;
	struct dl_err err; /* of the last attempt without an answer */
};

/*
 * Ask the entries in order, round after round, until one answers or the
 * time given is over.
 */
void cli_call(const struct cli *cli, const struct cli_request *req,
	      int64_t timeout_ms, struct cli_answer *out);
void cli_answer_free(struct cli_answer *answer);
int64_t cli_now_ms(void);
void cli_sleep_ms(unsigned ms);

/* Tell an answer that is no success, and return the exit status. */
int cli_report_failure(const struct cli *cli, const struct cli_answer *answer);
void cli_print_json(const json_t *json);
void cli_print_faults(FILE *to, const char *file,
		      const struct dl_faults *faults);
json_t *cli_faults_json(const struct dl_faults *faults);

/* A column of a table: the key in each object, and what stands above. */
struct cli_column {
	const char *key;
	const char *title;
	bool is_time; /* milliseconds since 1970 */
};

void cli_print_table(const json_t *rows, const struct cli_column *columns,
		     size_t count);
void cli_format_cell(const json_t *value, bool is_time, char out[80]);

int cli_read_file(const char *path, struct cli_text *out);

#endif
