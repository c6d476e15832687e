/*
 * In-memory network for tests of code without I/O.  Datagrams may be lost,
 * duplicated, delayed and reordered, links can be cut silently in one or both
 * directions, and VMs can be paused.  Deterministic for a given seed and
 * sequence of calls.
 */
#ifndef TEST_FAKE_LINK_H
#define TEST_FAKE_LINK_H

#include "daisyledge/base.h"

struct fake_link;

struct fake_link_conf {
	uint32_t seed;
	uint32_t loss_permille;
	uint32_t dup_permille;
	/* Random delay per datagram, so that datagrams are reordered. */
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
};

/* Traffic counted at the sender; a duplicated datagram counts once. */
struct fake_link_count {
	uint64_t msgs;
	uint64_t bytes;
	uint64_t dropped;
};

/* A delivered datagram; data is valid until the next fake_link_next(). */
struct fake_datagram {
	uint64_t from;
	uint64_t to;
	int64_t sent;
	struct dl_str data;
};

struct fake_link *fake_link_new(const struct fake_link_conf *conf);
void fake_link_free(struct fake_link *link);
/* Changes the settings; datagrams in flight keep their delivery times. */
void fake_link_set(struct fake_link *link, const struct fake_link_conf *conf);

void fake_link_send(struct fake_link *link, uint64_t from, uint64_t to,
		    struct dl_str data, int64_t now);
/* Returns the next datagram due by now; false if there is none. */
bool fake_link_next(struct fake_link *link, int64_t now,
		    struct fake_datagram *out);
/* Returns when the next datagram is due; INT64_MAX if there is none. */
int64_t fake_link_wakeup(const struct fake_link *link);

/*
 * Silently cuts a link in one direction; datagrams in flight are lost too.
 * DL_VM_NONE stands for all VMs.
 */
void fake_link_cut(struct fake_link *link, uint64_t from, uint64_t to);
/* Cuts a VM off from all others, in both directions. */
void fake_link_isolate(struct fake_link *link, uint64_t vm);
/* Restores all links. */
void fake_link_heal(struct fake_link *link);
bool fake_link_is_cut(const struct fake_link *link, uint64_t from, uint64_t to);

/*
 * Simulates a suspended process: datagrams due before the given time are
 * delivered together at its end.  The caller must not run the VM's timers.
 */
void fake_link_pause(struct fake_link *link, uint64_t vm, int64_t until);
bool fake_link_paused(const struct fake_link *link, uint64_t vm, int64_t now);

/* Traffic sent by one VM, or by all (DL_VM_NONE), since the start. */
struct fake_link_count fake_link_sent(const struct fake_link *link,
				      uint64_t vm);

#endif
