/*
 * Paths from a VM to endpoints: which of them are interrupted although the
 * endpoint works, and which other VMs may forward connections meanwhile.  The
 * module does no I/O and reads no clock.
 *
 * A connection that fails says nothing about its endpoint as long as only one
 * VM has tried: the VM may have lost its own links.  So the connection is tried
 * through another VM as well.  Where that succeeds the path is interrupted, and
 * further connections go through other VMs until a direct one succeeds again.
 *
 * Endpoints form groups, one for each service.  Where paths to several of a
 * group are interrupted and none works, the VM is cut off from the group: the
 * others need not be found out one by one.
 */
#ifndef DAISYLEDGE_PATHS_H
#define DAISYLEDGE_PATHS_H

#include "daisyledge/base.h"

struct dl_paths;

/* How to connect to an endpoint. */
struct dl_path_plan {
	bool direct;		  /* try a direct connection at once */
	uint32_t forwarded_at_ms; /* and, without success, forwarded ones */
	bool reuse;		  /* open connections may still work */
};

/* What became of a direct connection. */
enum dl_direct_result {
	DL_DIRECT_CONNECTED,
	DL_DIRECT_REFUSED, /* or failed in another way */
	DL_DIRECT_SILENT,  /* no answer in time */
};

/* What became of a connection that another VM was to forward. */
enum dl_forward_result {
	DL_FORWARD_CONNECTED,
	/* The VM cannot connect to this endpoint, but to another one. */
	DL_FORWARD_ENDPOINT_REFUSED,
	DL_FORWARD_ENDPOINT_SILENT,
	DL_FORWARD_CUT_OFF,	/* the VM cannot connect to others either */
	DL_FORWARD_UNAVAILABLE, /* the VM forwards nothing more at present */
	DL_FORWARD_NO_ANSWER,	/* of the VM */
	DL_FORWARD_RESULTS,
};

/* A change that dl_paths_next_event() returns. */
struct dl_path_event {
	uint64_t group;
	uint64_t endpoint; /* 0: all of the group */
	bool interrupted;
	bool silent;	   /* connections hang rather than fail */
	int64_t lasted_ms; /* for a path that works again */
};

struct dl_paths *dl_paths_new(void);
void dl_paths_free(struct dl_paths *paths);

void dl_paths_plan(struct dl_paths *paths, uint64_t group, uint64_t endpoint,
		   int64_t now, struct dl_path_plan *out);
void dl_paths_direct(struct dl_paths *paths, uint64_t group, uint64_t endpoint,
		     enum dl_direct_result result, int64_t now);
void dl_paths_forwarded(struct dl_paths *paths, uint64_t group,
			uint64_t endpoint, uint64_t vm,
			enum dl_forward_result result, int64_t now);

/*
 * A connection broke. Others that are open may have broken too and are not used
 * again until a new one succeeds.
 */
void dl_paths_broke(struct dl_paths *paths, int64_t now);
/*
 * A request found no way to its endpoint, and no VM said whether the endpoint
 * or the links of those asked are at fault.
 */
void dl_paths_undecided(struct dl_paths *paths, uint64_t group, int64_t now);

/* Whether connections to an endpoint have to be forwarded. */
bool dl_paths_interrupted(const struct dl_paths *paths, uint64_t group,
			  uint64_t endpoint);
/*
 * Since when open connections to an endpoint are taken to be dead as well,
 * since new ones were not answered again and again; 0: they are not.
 */
int64_t dl_paths_dead_since(const struct dl_paths *paths, uint64_t group,
			    uint64_t endpoint);
/* Whether this VM has lost its links to all endpoints of a group. */
bool dl_paths_cut_off(const struct dl_paths *paths, uint64_t group);
/*
 * Whether no endpoint of a group could be reached lately in any way, so that a
 * request cannot be served.  False once in a while, so that this is tried
 * again.
 */
bool dl_paths_isolated(struct dl_paths *paths, uint64_t group, int64_t now);
/*
 * Chooses VMs to be asked to forward a connection, of n that may be, and puts
 * them first; returns how many, up to max.  They are drawn by lot, so that the
 * load is spread, but a VM that forwarded a connection lately is among them.
 * Those that could not help lately are only asked if there is no other one.
 */
uint32_t dl_paths_choose(const struct dl_paths *paths, uint64_t *vms,
			 uint32_t n, uint32_t max, uint64_t random,
			 int64_t now);
/* The next change of state since the last call; false: none. */
bool dl_paths_next_event(struct dl_paths *paths, struct dl_path_event *out);

#endif
