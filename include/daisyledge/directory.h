/*
 * Which endpoints there are, from announcements that may come late, twice, out
 * of order and by several ways.  A start of an endpoint has a name, its
 * instance, and a time at which it began, by the clock of its own machine.  An
 * endpoint may start again under the name that it had; an address may be used
 * again by another one, also of another service.  Pure.
 */
#ifndef DAISYLEDGE_DIRECTORY_H
#define DAISYLEDGE_DIRECTORY_H

#include "daisyledge/base.h"

struct dl_directory;

/* Names of earlier starts at an address that are remembered. */
#define DL_DIRECTORY_PREVIOUS_MAX 4

/* One announcement; address and service are empty where it only leaves. */
struct dl_directory_update {
	struct dl_str address;
	struct dl_str instance;
	struct dl_str service;
	uint64_t sequence;
	uint64_t born; /* when the start began, Unix ms; 0: not said */
	bool leaving;
};

/* A start that another one has followed. */
struct dl_directory_previous {
	struct dl_name instance;
	uint64_t born;
};

struct dl_directory_entry {
	struct dl_name address;
	struct dl_name instance;
	struct dl_name service;
	uint64_t sequence;
	uint64_t born;	      /* 0: not said */
	uint64_t incarnation; /* of our own counting, higher for later starts */
	bool leaving;	      /* final for a start */
	int64_t last_seen;
	struct dl_directory_previous previous[DL_DIRECTORY_PREVIOUS_MAX];
	uint32_t previous_next;
};

/* What an announcement came to. */
enum dl_directory_result {
	DL_DIRECTORY_STALE, /* of an earlier start, or nothing that is known */
	DL_DIRECTORY_KNOWN,
	DL_DIRECTORY_NEW,     /* another start than the one known */
	DL_DIRECTORY_LEAVING, /* for the first time */
};

struct dl_directory *dl_directory_new(void);
void dl_directory_free(struct dl_directory *dir);
/*
 * The entry is set where one is known; good until the next call.  superseded:
 * where the start that is heard of had an earlier one of its name at another
 * address, that one, which is gone; else NULL.
 */
enum dl_directory_result
dl_directory_apply(struct dl_directory *dir,
		   const struct dl_directory_update *update, int64_t now,
		   const struct dl_directory_entry **entry,
		   const struct dl_directory_entry **superseded);
/* The start that is known at an address, or NULL. */
const struct dl_directory_entry *
dl_directory_find(const struct dl_directory *dir, struct dl_str address);
/* Forget what has been silent since before a time. */
void dl_directory_expire(struct dl_directory *dir, int64_t before);
uint32_t dl_directory_count(const struct dl_directory *dir);

#endif
