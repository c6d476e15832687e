/* daisyledge apply: changes the configuration and optionally waits for it. */
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "main/main.h"

#define OK	 200
#define POLL_MS	 200
#define MS_PER_S 1000

struct apply {
	struct cli cli;
	gint64 expect;
	char *change_id;
	char *author;
	gboolean confirm;
	gboolean dry_run;
	gboolean wait;
	int64_t deadline_ms; /* set by --timeout; monotonic clock */
};

static int read_options(struct apply *a, int argc, char **argv);
static char *read_body(struct apply *a, int *rc);
static int send_text(struct apply *a, const char *body, json_t **answer);
static void print_answer(const struct apply *a, const json_t *answer);
static json_t *vms_behind(const json_t *status, json_int_t version);
static int wait_in_force(struct apply *a, json_t *answer);
static int finish(struct apply *a, json_t *answer);
static int64_t remaining_ms(const struct apply *a);

/* Parses the options and sets defaults. */
static int read_options(struct apply *a, int argc, char **argv)
{
	const GOptionEntry own[] = {
		{ "expect", 0, 0, G_OPTION_ARG_INT64, &a->expect,
		  "apply only if this version is in force", "N" },
		{ "change-id", 0, 0, G_OPTION_ARG_STRING, &a->change_id,
		  "id of this change, to make retries idempotent", "ID" },
		{ "author", 0, 0, G_OPTION_ARG_STRING, &a->author,
		  "author of the change", "NAME" },
		{ "confirm", 0, 0, G_OPTION_ARG_NONE, &a->confirm,
		  "allow removal of a service or of most capacity", NULL },
		{ "dry-run", 0, 0, G_OPTION_ARG_NONE, &a->dry_run,
		  "only show what would change", NULL },
		{ "wait", 0, 0, G_OPTION_ARG_NONE, &a->wait,
		  "wait until the version is in force on every live VM", NULL },
		{ NULL },
	};
	int rc;

	a->expect = -1;
	rc = cli_options(&a->cli, own, "FILE", 1, true, argc, argv);
	if (rc != DL_EXIT_OK)
		return rc;
	if (!a->change_id)
		a->change_id = g_uuid_string_random();
	if (!a->author)
		a->author = g_strdup(g_get_user_name());
	a->deadline_ms = cli_now_ms() + (int64_t)a->cli.timeout_s * MS_PER_S;
	return DL_EXIT_OK;
}

/* Returns the time left of --timeout. */
static int64_t remaining_ms(const struct apply *a)
{
	return MAX(a->deadline_ms - cli_now_ms(), 0);
}

/* Reads and validates the file; returns the request body, or NULL with *rc. */
static char *read_body(struct apply *a, int *rc)
{
	static struct dl_faults faults;
	const char *file = a->cli.args[0];
	struct cli_text text;
	struct dl_conf *conf;
	json_t *json;
	char *body;

	*rc = cli_read_file(file, &text);
	if (*rc) {
		fprintf(stderr, "%s: %s\n", file, strerror(-*rc));
		*rc = DL_EXIT_FAULT;
		return NULL;
	}
	if (dl_conf_parse((struct dl_str){ text.s, text.n }, &conf, &faults)) {
		cli_print_faults(stderr, file, &faults);
		free(text.s);
		*rc = DL_EXIT_FAULT;
		return NULL;
	}
	dl_conf_free(conf);
	json = json_pack("{s:s%, s:s, s:s, s:b, s:b}", "text", text.s, text.n,
			 "change_id", a->change_id, "author", a->author,
			 "confirm", a->confirm, "dry_run", a->dry_run);
	free(text.s);
	if (json && a->expect >= 0)
		json_object_set_new(json, "expect", json_integer(a->expect));
	body = json ? json_dumps(json, JSON_COMPACT) : NULL;
	json_decref(json);
	if (body)
		return body;
	fprintf(stderr, "the change id or the author is not valid UTF-8\n");
	*rc = DL_EXIT_USAGE;
	return NULL;
}

/*
 * Sends the configuration. If an answer is lost, another entry is tried with
 * the same change id, so the change is made at most once.
 */
static int send_text(struct apply *a, const char *body, json_t **answer)
{
	struct cli_request req = { "POST", "/v1/config", body, true };
	struct cli_answer got;
	int rc = DL_EXIT_OK;

	cli_call(&a->cli, &req, remaining_ms(a), &got);
	if (got.status != OK || !json_is_object(got.json))
		rc = cli_report_failure(&a->cli, &got);
	else
		*answer = json_incref(got.json);
	cli_answer_free(&got);
	return rc;
}

/* Prints the result for people. */
static void print_answer(const struct apply *a, const json_t *answer)
{
	const char *diff = json_string_value(json_object_get(answer, "diff"));
	char version[80];

	if (a->cli.json)
		return;
	if (diff && *diff)
		printf("%s%s", diff,
		       diff[strlen(diff) - 1] == '\n' ? "" : "\n");
	cli_format_cell(json_object_get(answer, "version"), false, version);
	if (a->dry_run)
		printf("nothing was changed; version %s is in force%s\n",
		       version,
		       json_is_true(json_object_get(answer, "needs_confirm")) ?
			       "; this change needs --confirm" :
			       "");
	else
		printf("version %s%s\n", version,
		       json_is_true(json_object_get(answer, "repeated")) ?
			       " (this change id was answered before)" :
			       "");
}

/* Lists the live VMs whose version is older than the given one. */
static json_t *vms_behind(const json_t *status, json_int_t version)
{
	json_t *list = json_array(), *vm;
	size_t i;

	json_array_foreach(json_object_get(status, "vms"), i, vm)
	{
		const char *state =
			json_string_value(json_object_get(vm, "state"));
		json_t *has = json_object_get(vm, "version");

		if (state &&
		    (strcmp(state, "dead") == 0 || strcmp(state, "left") == 0))
			continue;
		if (!json_is_integer(has) || json_integer_value(has) < version)
			json_array_append(list, vm);
	}
	return list;
}

/* Polls the status until no VM is behind or the timeout expires. */
static int wait_in_force(struct apply *a, json_t *answer)
{
	json_int_t version =
		json_integer_value(json_object_get(answer, "version"));
	struct cli_request req = { "GET", "/v1/status", NULL, false };
	json_t *waiting = json_null(), *vm;
	size_t i;

	do {
		struct cli_answer got;

		cli_call(&a->cli, &req, MAX(remaining_ms(a), 1), &got);
		if (got.status == OK &&
		    json_array_size(json_object_get(got.json, "vms"))) {
			json_decref(waiting);
			waiting = vms_behind(got.json, version);
		}
		cli_answer_free(&got);
		if (json_is_array(waiting) && json_array_size(waiting) == 0)
			break;
		cli_sleep_ms((unsigned)MIN(POLL_MS, remaining_ms(a)));
	} while (remaining_ms(a) > 0);
	json_object_set(answer, "waiting", waiting);
	if (json_is_null(waiting))
		fprintf(stderr, "no entry returned its status\n");
	json_array_foreach(waiting, i, vm)
	{
		char name[80], has[80];

		cli_format_cell(json_object_get(vm, "vm"), false, name);
		cli_format_cell(json_object_get(vm, "version"), false, has);
		fprintf(stderr, "not yet in force at %s, which has %s\n", name,
			has);
	}
	i = json_is_null(waiting) || json_array_size(waiting);
	json_decref(waiting);
	return i ? DL_EXIT_WAITING : DL_EXIT_OK;
}

/* After the change was accepted: waits if requested and prints the result. */
static int finish(struct apply *a, json_t *answer)
{
	int rc = DL_EXIT_OK;

	print_answer(a, answer);
	if (a->wait && !a->dry_run)
		rc = wait_in_force(a, answer);
	if (rc == DL_EXIT_OK && a->wait && !a->dry_run && !a->cli.json)
		printf("in force on every live VM\n");
	if (a->cli.json) {
		json_object_set_new(answer, "change_id",
				    json_string(a->change_id));
		cli_print_json(answer);
	}
	return rc;
}

/* Runs the apply subcommand. */
int dl_main_apply(int argc, char **argv)
{
	struct apply a = { .expect = -1 };
	json_t *answer = NULL;
	char *body = NULL;
	int rc = read_options(&a, argc, argv);

	if (rc == DL_EXIT_OK)
		body = read_body(&a, &rc);
	if (body) {
		if (!a.cli.json)
			fprintf(stderr, "change id: %s\n", a.change_id);
		rc = send_text(&a, body, &answer);
	}
	if (answer)
		rc = finish(&a, answer);
	json_decref(answer);
	free(body);
	g_free(a.change_id);
	g_free(a.author);
	cli_free(&a.cli);
	return rc;
}
