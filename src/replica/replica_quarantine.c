/*
 * Distributes crashes of endpoints under requests from the entries that
 * observed them to all VMs, and stores the active quarantines on disk.
 */
#include <string.h>

#include "base/metric.h"
#include "base/msg.h"
#include "replica/replica.h"

/*
 * Crashes of one cause that are saved: enough to blame it again, even if the
 * first of them have an explanation that is not saved.
 */
#define SAVED_OF_EACH 16

static void on_saved(void *arg, int code);

/* Logs that the stored quarantines cannot be read, or now can. */
static void log_read(struct replica *r, int code, int64_t now)
{
	if (code && !r->crashes_unread_at)
		dl_msg(DL_MSG_CRASH_STORE_UNREADABLE, "error=\"%s\"",
		       code == DL_EDAMAGED ? "damaged" : strerror(-code));
	if (!code && r->crashes_unread_at)
		dl_msg(DL_MSG_CRASH_STORE_READ, "failed_ms=%ld",
		       (long)(now - r->crashes_unread_at));
	if (!code || !r->crashes_unread_at)
		r->crashes_unread_at = code ? now : 0;
}

/* Merges the quarantines that are stored on the disk. */
static void read_stored(struct replica *r, int64_t now)
{
	static struct dl_crash read[DL_CRASH_STORE_MAX];
	uint32_t count;
	int code;

	code = dl_crash_store_read(r->crashes, dl_node_wall_ms(), now, read,
				   &count);
	log_read(r, code, now);
	for (uint32_t i = 0; i < count; i++)
		quarantine_merge_remote(&r->quarantine, &read[i], true, now);
}

/* Loads the quarantines that were active when this replica stopped. */
void replica_quarantine_open(struct replica *r, struct dl_disk disk)
{
	struct dl_disk_done saved = { on_saved, r };

	quarantine_init(&r->quarantine);
	r->crashes = dl_crash_store_new(disk, saved);
	read_stored(r, replica_now(r));
	quarantine_log_changes(&r->quarantine, replica_now(r));
	dl_quarantine_note_saved(r->quarantine.records);
}

/* Frees the crash store; the disk must not be busy. */
void replica_quarantine_close(struct replica *r)
{
	dl_crash_store_free(r->crashes);
}

/* Counts failed saves; logs the first of several and the end of them. */
static void on_saved(void *arg, int code)
{
	struct replica *r = arg;
	struct dl_crash_store_status s = dl_crash_store_status(r->crashes);

	if (code)
		dl_count(DL_METRIC_quarantine_unsaved, 1);
	if (!code == !r->crashes_unsaved)
		return;
	r->crashes_unsaved = code != 0;
	if (code)
		dl_msg(DL_MSG_CRASH_STORE_UNSAVED, "step=\"%s\" error=\"%s\"",
		       s.step, strerror(-code));
	else
		dl_msg(DL_MSG_CRASH_STORE_SAVED, "failed_ms=%ld tries=%u",
		       (long)(replica_now(r) - s.failed_at), s.tries);
}

struct active_crashes {
	struct dl_quarantine *known;
	int64_t now;
	GArray *crashes;
};

static void collect_active(void *arg, const struct dl_crash *crash)
{
	struct active_crashes *active = arg;

	if (dl_quarantine_is_candidate(active->known, &crash->cause,
				       active->now))
		g_array_append_val(active->crashes, *crash);
}

static void save_active(struct replica *r, int64_t now)
{
	struct active_crashes active = { r->quarantine.records, now, NULL };

	active.crashes = g_array_new(FALSE, FALSE, sizeof(struct dl_crash));
	dl_quarantine_foreach(r->quarantine.records, now, SAVED_OF_EACH,
			      collect_active, &active);
	dl_crash_store_save(r->crashes,
			    (const struct dl_crash *)active.crashes->data,
			    active.crashes->len, dl_node_wall_ms(), now);
	g_array_free(active.crashes, TRUE);
	dl_quarantine_note_saved(r->quarantine.records);
}

/* Handles crashes reported by an entry or another replica. */
void replica_quarantine_frame(struct replica *r, const struct dl_frame *f)
{
	quarantine_frame(&r->quarantine, f, true, replica_now(r), NULL, NULL);
}

static void broadcast(void *arg, uint32_t kind, struct dl_str body)
{
	replica_broadcast(arg, true, kind, body);
}

/* Sends all known crashes to a VM that was connected or reconnected. */
void replica_quarantine_up(struct replica *r, uint64_t vm)
{
	quarantine_send_all(&r->quarantine, r->node.peers, vm, replica_now(r));
}

/*
 * Forwards new crashes, saves those of active quarantines if there are new
 * ones, and repeats reads and saves that failed.
 */
void replica_quarantine_tick(struct replica *r, int64_t now)
{
	if (dl_crash_store_read_due(r->crashes, now))
		read_stored(r, now);
	if (dl_crash_store_due(r->crashes,
			       dl_quarantine_unsaved(r->quarantine.records),
			       now))
		save_active(r, now);
	quarantine_flush(&r->quarantine, now, broadcast, r);
}
