/*
 * Directory of endpoints, built from announcements that may arrive late, more
 * than once, out of order and by several paths.
 *
 * An instance is one run of an endpoint process. It has a name and a start time
 * by the clock of its own machine. An endpoint may restart under the same
 * instance name, and an address may be reused by another endpoint, also of
 * another service. The module does no I/O and reads no clock.
 */
#ifndef DAISYLEDGE_DIRECTORY_H
#define DAISYLEDGE_DIRECTORY_H

#include "daisyledge/departures.h"

struct dl_directory;

/* Number of earlier instances remembered for an address. */
#define DL_DIRECTORY_PREVIOUS_MAX 4

/*
 * One announcement. Address and service are empty in one that only says that
 * the instance is leaving.
 */
struct dl_directory_update {
	struct dl_str address;
	struct dl_str instance;
	struct dl_str service;
	uint64_t sequence;
	uint64_t born; /* start time of the instance, Unix ms; 0 if not given */
	bool leaving;
	/*
	 * The earliest time of its departure and the present time, on the clock
	 * that departures are counted on. 0 for since: not known.
	 */
	int64_t left_since;
	int64_t left_now;
	int64_t left_heard; /* when the first process heard of it; 0: now */
};

/* An instance that a later one replaced at the same address. */
struct dl_directory_previous {
	struct dl_name instance;
	uint64_t born;
	uint64_t sequence; /* of its last announcement */
};

struct dl_directory_entry {
	struct dl_name address;
	struct dl_name instance;
	struct dl_name service;
	uint64_t sequence;
	uint64_t born;	      /* start time, Unix ms; 0 if not given */
	uint64_t incarnation; /* local counter, higher for later instances */
	bool leaving;	      /* final for an instance */
	struct dl_leaving departure;
	int64_t staying_at; /* when it did not leave yet; 0: not known */
	int64_t last_seen;
	struct dl_directory_previous previous[DL_DIRECTORY_PREVIOUS_MAX];
	uint32_t previous_next;
};

/* Result of applying an announcement. */
enum dl_directory_result {
	DL_DIRECTORY_STALE, /* from a superseded or unknown instance; ignored */
	DL_DIRECTORY_KNOWN,
	DL_DIRECTORY_NEW,     /* an instance other than the known one */
	DL_DIRECTORY_LEAVING, /* reported as leaving for the first time */
};

struct dl_directory *dl_directory_new(void);
void dl_directory_free(struct dl_directory *dir);
/*
 * The departures of instances, also of those that the directory does not know.
 * dl_directory_apply() adds to them.
 */
struct dl_departures *dl_directory_departures(const struct dl_directory *dir);
/*
 * Applies an announcement. Sets entry to the known instance, or NULL; it is
 * valid until the next call. Sets superseded to the entry of an earlier
 * instance of the same name at another address, which is now gone, or NULL.
 */
enum dl_directory_result
dl_directory_apply(struct dl_directory *dir,
		   const struct dl_directory_update *update, int64_t now,
		   const struct dl_directory_entry **entry,
		   const struct dl_directory_entry **superseded);
/* The instance known at an address, or NULL. */
const struct dl_directory_entry *
dl_directory_find(const struct dl_directory *dir, struct dl_str address);
/* The latest instance of a name, or NULL. */
const struct dl_directory_entry *
dl_directory_find_instance(const struct dl_directory *dir,
			   struct dl_str instance);
/*
 * Records that the instance at an address was not leaving at a time, on the
 * clock that departures are counted on.
 */
void dl_directory_note_staying(struct dl_directory *dir, struct dl_str address,
			       struct dl_str instance, int64_t at);
/* Removes entries that were last seen before a given time. */
void dl_directory_expire(struct dl_directory *dir, int64_t before);
uint32_t dl_directory_count(const struct dl_directory *dir);

#endif
