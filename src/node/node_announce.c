/* Announcements of endpoints whose instances have names. */
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
	struct dl_directory_update update = {
		.address = dl_name_str(&a->report.id),
		.instance = dl_name_str(&a->instance),
		.service = dl_name_str(&a->service),
		.sequence = a->sequence,
		.born = a->born,
		.leaving = a->report.leaving,
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
	a->report.leaving = start->leaving;
}
