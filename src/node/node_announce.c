/* Announcements of endpoints whose instances have names. */
#include <glib.h>
#include <sys/param.h>

#include "base/metric.h"
#include "base/msg.h"
#include "node/node.h"

/*
 * Applies an announcement to a directory, logs the change and returns it. Sets
 * entry to the instance now known at its address, and superseded to an earlier
 * instance of the same name at another address, which no longer exists; either
 * may be NULL.
 */
enum dl_directory_result
dl_node_apply_announcement(struct dl_directory *directory,
			   const struct dl_announcement *a, int64_t now,
			   const struct dl_directory_entry **entry,
			   const struct dl_directory_entry **superseded)
{
	int64_t boot = dl_node_boot_ms();
	int64_t since = dl_leaving_since(a->report.leaving_ms, boot);
	struct dl_directory_update update = {
		.address = dl_name_str(&a->report.id),
		.instance = dl_name_str(&a->instance),
		.service = dl_name_str(&a->service),
		.sequence = a->sequence,
		.born = a->born,
		.leaving = a->report.leaving,
		.left_since = MAX(since, 0),
		.left_now = boot,
		.left_heard = a->departure_heard_at,
	};
	enum dl_directory_result result =
		dl_directory_apply(directory, &update, now, entry, superseded);

	if (!*entry && update.address.n) {
		dl_count(DL_METRIC_directory_full, 1);
		dl_msg(DL_MSG_DIRECTORY_FULL, "endpoint=%s instance=%s",
		       a->report.id.s, a->instance.s);
	}
	if (*entry &&
	    (result == DL_DIRECTORY_NEW || result == DL_DIRECTORY_LEAVING))
		dl_msg(result == DL_DIRECTORY_NEW ? DL_MSG_ENDPOINT_NEW :
						    DL_MSG_ENDPOINT_LEAVING,
		       "endpoint=%s instance=%s born=%lu", (*entry)->address.s,
		       (*entry)->instance.s, (unsigned long)(*entry)->born);
	if (*superseded)
		dl_msg(DL_MSG_ENDPOINT_LEAVING,
		       "endpoint=%s instance=%s born=%lu now_at=%s",
		       (*superseded)->address.s, (*superseded)->instance.s,
		       (unsigned long)(*superseded)->born, (*entry)->address.s);
	return result;
}

/*
 * Completes an announcement from the directory before it is relayed. A message
 * that an instance is leaving has no address or service. Leaving is final: a
 * later announcement that did not carry it would make the instance known as
 * ready to a VM that has just started.
 */
void dl_node_fill_announcement(struct dl_announcement *a,
			       const struct dl_directory_entry *start)
{
	a->report.id = start->address;
	a->service = start->service;
	if (!a->born)
		a->born = start->born;
	a->report.leaving = start->leaving;
	a->report.leaving_ms = start->leaving ?
				       dl_leaving_age_ms(&start->departure,
							 dl_node_boot_ms()) :
				       0;
}

/* Joins a list of names for a log line. */
char *dl_node_join_names(const json_t *list)
{
	GString *out = g_string_new(NULL);
	json_t *name;
	size_t i;

	json_array_foreach(list, i, name)
	{
		if (i)
			g_string_append_c(out, ',');
		g_string_append(out, json_string_value(name));
	}
	return g_string_free(out, FALSE);
}

/*
 * Dates a departure that the endpoint itself announces or deregisters with. The
 * announcement that follows directly on one that said it is ready is the first
 * one, and not acknowledged elsewhere before. Otherwise it may have been
 * acknowledged by another process at any time since the endpoint was known to
 * stay; if that time is not known either, it remains undated.
 */
void dl_node_date_announcement(const struct dl_directory *directory,
			       struct dl_announcement *a)
{
	const struct dl_directory_entry *d = dl_directory_find_instance(
		directory, dl_name_str(&a->instance));
	int64_t age;

	if (!a->report.leaving || !d || !d->staying_at ||
	    (d->departure.known && d->departure.since != DL_LEAVING_UNDATED) ||
	    (a->born && d->born && a->born != d->born))
		return;
	age = dl_node_boot_ms() - d->staying_at;
	if (!d->leaving && a->sequence && a->sequence == d->sequence + 1)
		age = 1;
	a->report.leaving_ms = (uint32_t)MIN(MAX(age, 1), INT32_MAX);
}
