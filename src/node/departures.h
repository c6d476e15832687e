/*
 * Departures of endpoint instances, compared between processes: on each new
 * connection, after each departure, and once in a while. A process that lacks
 * some requests them, so that none depends on having been told at the time.
 */
#ifndef DL_NODE_DEPARTURES_H
#define DL_NODE_DEPARTURES_H

#include <glib.h>

#include "daisyledge/departures.h"
#include "node/node.h"

struct departures {
	struct dl_departures *list;
	struct dl_peers *peers;
	uint64_t incarnation; /* of this process, and so of its list */
	GHashTable
		*positions; /* how far the lists of others are known, by VM */
	int64_t expired_at;
};

void departures_init(struct departures *d, struct dl_departures *list,
		     const struct dl_node *node);
/* Tells a VM how far the list goes, without keys: it requests what it lacks. */
void departures_offer(struct departures *d, uint64_t to);
/*
 * Handles how far the list of a VM goes; requests the rest if some of it is
 * unknown. confirms: says otherwise that all of it is known.
 */
void departures_at_frame(struct departures *d, uint64_t from,
			 const struct dl_frame *f, bool confirms);
/* Requests the list of a VM, also an empty one. */
void departures_request(struct departures *d, uint64_t to);
/*
 * Handles a request or a confirmation; sends what is missing. Returns how far
 * the sender knows the list.
 */
uint64_t departures_request_frame(struct departures *d, uint64_t from,
				  const struct dl_frame *f, bool in_sync);
/*
 * Handles the list of a VM. Calls apply() for each departure as an
 * announcement. confirms: says that the list is known. Returns whether the
 * sender is in sync.
 */
bool departures_list_frame(struct departures *d, uint64_t from,
			   const struct dl_frame *f, bool confirms,
			   void (*apply)(void *arg, struct dl_announcement *a),
			   void *arg);
/* Removes old departures once in a while. */
void departures_tick(struct departures *d);

#endif
