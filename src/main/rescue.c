/*
 * daisyledge rescue: after the permanent loss of a majority of the replicas'
 * disks, starts a new group from the state on one replica's disk. It runs
 * offline and writes only with --confirm, because changes that were committed
 * only on the lost disks are lost.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "daisyledge/cstore.h"
#include "daisyledge/rlog.h"
#include "main/main.h"
#include "protocol/settings.h"
#include "transport/disk_file.h"

struct rescue {
	struct dl_settings settings;
	struct dl_disk_file *disk;
	struct dl_rlog_store *store;
	struct dl_rlog_image image;
	struct dl_cstore *cstore;
	uint64_t last;
	uint64_t last_term;
	int code; /* result of the write */
};

static int rescue_open(struct rescue *r, const char *path, struct dl_err *err);
static int rescue_replay(struct rescue *r, struct dl_err *err);
static int rescue_write(struct rescue *r, struct dl_err *err);
static void rescue_close(struct rescue *r);

/* Loads the settings and reads the replica's journal. */
static int rescue_open(struct rescue *r, const char *path, struct dl_err *err)
{
	int code = dl_settings_load(path, &r->settings, err);

	if (code)
		return code;
	code = dl_disk_file_open(uv_default_loop(), r->settings.data_folder,
				 &r->disk, err);
	if (code)
		return code;
	code = dl_rlog_store_open(dl_disk_file_disk(r->disk), 1, &r->store,
				  &r->image, err);
	if (!code && !r->image.cluster)
		code = dl_err_set(err, -ENOENT, DL_STEP_STORE, NULL,
				  "%s contains no log",
				  r->settings.data_folder);
	return code;
}

/*
 * Applies all stored entries: which of them were committed is not known, so
 * none may be left out.
 */
static int rescue_replay(struct rescue *r, struct dl_err *err)
{
	const struct dl_rlog_snapshot *snap = &r->image.snapshot;
	struct dl_cstore_reply reply;

	r->cstore = dl_cstore_new();
	r->last = snap->index;
	r->last_term = snap->term;
	if (snap->index && dl_cstore_restore(r->cstore, snap->data))
		return dl_err_set(err, DL_EDAMAGED, DL_STEP_STORE, NULL,
				  "the snapshot cannot be decoded");
	for (uint32_t i = 0; i < r->image.count; i++) {
		const struct dl_rlog_entry *e = &r->image.entries[i];

		if (e->index <= snap->index)
			continue;
		r->last = e->index;
		r->last_term = e->term;
		if (e->kind == DL_RLOG_COMMAND)
			dl_cstore_exec(r->cstore, e->index, e->data, &reply);
	}
	return 0;
}

static void on_written(void *arg, int code)
{
	struct rescue *r = arg;

	r->code = code;
}

/* Writes a snapshot with this replica as the only member of a new cluster. */
static int rescue_write(struct rescue *r, struct dl_err *err)
{
	struct dl_rlog_snapshot snap = {
		.index = r->last,
		.term = r->last_term,
		.members = { 1, { { r->settings.peer, r->image.id, true } } },
	};
	struct dl_rlog_record record = {
		.term = r->image.term + 1,
		.base_index = r->last,
		.base_term = r->last_term,
		.snapshot = &snap,
	};
	uint64_t seed[] = { r->image.cluster, r->image.id, record.term };
	char *data;
	size_t n;

	if (dl_cstore_snapshot(r->cstore, &data, &n))
		return dl_err_set(err, -ENOMEM, DL_STEP_STORE, NULL,
				  "out of memory");
	snap.data = (struct dl_str){ data, n };
	record.cluster =
		dl_hash((struct dl_str){ (const char *)seed, sizeof(seed) }, 0);
	dl_rlog_store_write(r->store, &record,
			    (struct dl_disk_done){ on_written, r });
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	free(data);
	if (r->code)
		return dl_err_set(err, r->code, DL_STEP_STORE, NULL,
				  "cannot write: %s", strerror(-r->code));
	return 0;
}

static void rescue_close(struct rescue *r)
{
	dl_cstore_free(r->cstore);
	dl_rlog_image_free(&r->image);
	dl_rlog_store_free(r->store);
	if (r->disk)
		dl_disk_file_close(r->disk);
}

static int rescue_run(const char *path, bool confirm)
{
	struct rescue r = { 0 };
	struct dl_err err;
	int code = rescue_open(&r, path, &err);

	if (!code)
		code = rescue_replay(&r, &err);
	if (!code) {
		printf("term: %lu\nlast: %lu\nversion: %lu\n",
		       (unsigned long)r.last_term, (unsigned long)r.last,
		       (unsigned long)dl_cstore_version(r.cstore));
		if (confirm)
			code = rescue_write(&r, &err);
	}
	if (code)
		fprintf(stderr, "daisyledge: %s: %s\n", dl_step_name(err.step),
			err.text);
	else if (confirm)
		puts("This replica is now the only member of a new group.");
	else
		puts("Nothing was changed; use --confirm to start a new group.");
	rescue_close(&r);
	return code ? DL_EXIT_FAULT : DL_EXIT_OK;
}

/*
 * Prints the state stored by a stopped replica; with --confirm, starts a new
 * group from it.
 */
int dl_main_rescue(int argc, char **argv)
{
	char *path = NULL;
	gboolean confirm = FALSE;
	GOptionEntry entries[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
		  "Settings of the replica (JSON)", "FILE" },
		{ "confirm", 0, 0, G_OPTION_ARG_NONE, &confirm,
		  "Start a new group from the state of this replica", NULL },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	int status = DL_EXIT_USAGE;

	g_option_context_add_main_entries(ctx, entries, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &error))
		fprintf(stderr, "daisyledge: %s\n", error->message);
	else if (!path)
		fprintf(stderr, "daisyledge: -c FILE is missing\n");
	else
		status = rescue_run(path, confirm);
	g_clear_error(&error);
	g_option_context_free(ctx);
	g_free(path);
	return status;
}
