/*
 * Crash reports that wait to be sent. A receiver takes the time of a crash from
 * the age in its report, and tells crashes in a row from those of one moment by
 * the order of an attempt and the crash before it, often 10 ms apart. Reports
 * wait for up to a tick of 20 ms at each VM on their way, so each VM adds that
 * time to the age.
 */
#include <glib.h>

#include "daisyledge/quarantine.h"

struct waiting {
	struct dl_crash crash;
	int64_t since;
};

struct dl_crash_queue {
	GArray *waiting; /* struct waiting */
};

struct dl_crash_queue *dl_crash_queue_new(void)
{
	struct dl_crash_queue *queue = g_new0(struct dl_crash_queue, 1);

	queue->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	return queue;
}

/* Frees it; NULL is allowed. */
void dl_crash_queue_free(struct dl_crash_queue *queue)
{
	if (!queue)
		return;
	g_array_free(queue->waiting, TRUE);
	g_free(queue);
}

void dl_crash_queue_add(struct dl_crash_queue *queue,
			const struct dl_crash *crash, int64_t now)
{
	struct waiting w = { *crash, now };

	g_array_append_val(queue->waiting, w);
}

uint32_t dl_crash_queue_take(struct dl_crash_queue *queue, bool parts,
			     int64_t now, struct dl_crash *out, uint32_t most)
{
	guint kept = 0;
	uint32_t taken = 0;

	for (guint i = 0; i < queue->waiting->len; i++) {
		struct waiting *w =
			&g_array_index(queue->waiting, struct waiting, i);

		if (taken == most || parts != (w->crash.cause.scope != 0)) {
			g_array_index(queue->waiting, struct waiting, kept++) =
				*w;
			continue;
		}
		w->crash.age_ms += (uint32_t)(now - w->since);
		out[taken++] = w->crash;
	}
	g_array_set_size(queue->waiting, kept);
	return taken;
}
