/* What a process believes of endpoints whose starts have names. */
#include "base/msg.h"
#include "main/node.h"

/*
 * Take an announcement into a directory, and say what it changed there; entry
 * is the start that is known at its address then, or NULL, and left an earlier
 * start of its name at another address, which is gone, or NULL.
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

	if (result == DL_DIRECTORY_NEW || result == DL_DIRECTORY_LEAVING)
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
 * What is known of a start goes with its words.  Its leaving is final: a word
 * that comes later would make it known as ready to a VM that has just started.
 * And one that only leaves names no address or service.
 */
void dl_node_fill_announcement(struct dl_announcement *a,
			       const struct dl_directory_entry *start)
{
	a->report.id = start->address;
	a->service = start->service;
	a->report.leaving = start->leaving;
}
