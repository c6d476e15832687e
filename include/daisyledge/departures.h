/*
 * Departures of endpoint instances that a process knows of, kept for as long as
 * a delayed announcement of such an instance may still arrive. An instance that
 * departed is never in use again, also at a process that learns of the
 * departure before it hears of the instance.
 *
 * Processes hand their departures to each other. Each numbers them in the order
 * in which it learned of them, so that another one can tell by a number how far
 * it knows the list and request the rest.
 *
 * Times are in milliseconds on the clock that departures are counted on. The
 * module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_DEPARTURES_H
#define DAISYLEDGE_DEPARTURES_H

#include "daisyledge/leaving.h"

struct dl_departures;

/*
 * How long a departure is kept after it was last heard of. Announcements arrive
 * seconds late, and after a partition later than that.
 */
#define DL_DEPARTURE_KEEP_MS 120000
/* Departures kept at most: 130 a second. */
#define DL_DEPARTURES_MAX 16384

struct dl_departure {
	struct dl_name instance;
	uint64_t born; /* start time of the instance, Unix ms; 0: any */
	int64_t since; /* not acknowledged before; or DL_LEAVING_UNDATED */
	int64_t heard_at;
	uint64_t number; /* in the order of the list; set by the list */
};

enum dl_departures_result {
	DL_DEPARTURE_KNOWN,
	DL_DEPARTURE_NEW,
	DL_DEPARTURE_NO_ROOM,
};

struct dl_departures *dl_departures_new(void);
void dl_departures_free(struct dl_departures *list);
/*
 * Adds a departure. Of one name the departure of the latest start is kept, and
 * covers earlier starts. A departure that is known is kept from heard_at on.
 */
enum dl_departures_result dl_departures_add(struct dl_departures *list,
					    const struct dl_departure *what);
/*
 * The departure of the instance that started then, 0: not known when, or of a
 * later start of its name; NULL: it did not depart.
 */
const struct dl_departure *dl_departures_find(const struct dl_departures *list,
					      struct dl_str instance,
					      uint64_t born);
/* The number of the last departure that was added; 0: none yet. */
uint64_t dl_departures_last(const struct dl_departures *list);
/* The first departure with a higher number, or NULL. */
const struct dl_departure *dl_departures_after(const struct dl_departures *list,
					       uint64_t number);
/* Identifies a departure in messages. */
uint64_t dl_departure_key(const struct dl_departure *what);
bool dl_departures_has_key(const struct dl_departures *list, uint64_t key);
/* Removes departures that were not heard of for DL_DEPARTURE_KEEP_MS. */
void dl_departures_expire(struct dl_departures *list, int64_t now);
uint32_t dl_departures_count(const struct dl_departures *list);

#endif
