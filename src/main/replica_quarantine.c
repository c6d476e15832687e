/* Crashes under requests on their way from the entries that saw them to all. */
#include "base/msg.h"
#include "main/replica.h"

static void on_saved(void *arg, int code);

/* Begin with what was held back when this replica ended. */
void replica_quarantine_open(struct replica *r, struct dl_disk disk)
{
	static struct dl_crash read[DL_CRASH_STORE_MAX];
	struct dl_disk_done saved = { on_saved, r };
	uint32_t count;
	int code;

	quarantine_init(&r->quarantine);
	r->crashes = dl_crash_store_new(disk, saved);
	code = dl_crash_store_read(r->crashes, dl_node_wall_ms(), read, &count);
	if (code)
		dl_msg(DL_MSG_CRASH_STORE_UNREADABLE, "error=%d", code);
	for (uint32_t i = 0; i < count; i++)
		quarantine_merge_remote(&r->quarantine, &read[i], true,
					replica_now(r));
	r->quarantine.changed = false;
}

/* Only while the disk is not busy. */
void replica_quarantine_close(struct replica *r)
{
	dl_crash_store_free(r->crashes);
}

/* What could not be saved is saved with the next change. */
static void on_saved(void *arg, int code)
{
	if (code)
		dl_msg(DL_MSG_CRASH_STORE_UNSAVED, "error=%d", code);
}

struct held {
	const struct dl_quarantine *known;
	int64_t now;
	GArray *crashes;
};

static void gather_held(void *arg, const struct dl_crash *crash)
{
	struct held *held = arg;

	if (dl_quarantine_remaining_ms(held->known, crash->request, held->now))
		g_array_append_val(held->crashes, *crash);
}

static void save(struct replica *r, int64_t now)
{
	struct held held = { r->quarantine.records, now, NULL };

	held.crashes = g_array_new(FALSE, FALSE, sizeof(struct dl_crash));
	dl_quarantine_foreach(r->quarantine.records, now, gather_held, &held);
	dl_crash_store_save(r->crashes,
			    (const struct dl_crash *)held.crashes->data,
			    held.crashes->len, dl_node_wall_ms());
	g_array_free(held.crashes, TRUE);
	r->quarantine.changed = false;
}

/* An entry or another replica tells of crashes. */
void replica_quarantine_frame(struct replica *r, const struct dl_frame *f)
{
	quarantine_frame(&r->quarantine, f->body, true, replica_now(r));
}

static void to_all(void *arg, struct dl_str body)
{
	replica_to_members(arg, true, DL_FRAME_CRASHES, body);
}

/* A VM is reached, for the first time or again: it is told all. */
void replica_quarantine_up(struct replica *r, uint64_t vm)
{
	quarantine_send_all(&r->quarantine, r->node.peers, vm, replica_now(r));
}

/* Pass on what is new, and keep what is held back. */
void replica_quarantine_tick(struct replica *r, int64_t now)
{
	if (r->quarantine.changed && !dl_crash_store_busy(r->crashes))
		save(r, now);
	quarantine_flush(&r->quarantine, now, to_all, r);
}
