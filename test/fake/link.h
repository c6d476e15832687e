/*
 * A network in memory for tests of the pure parts: opaque datagrams with a
 * from and a to, that may be lost, doubled, delayed and overtaken, links that
 * are cut one way or both ways in silence, and VMs that are paused.  Seeded:
 * the same calls give the same deliveries.
 */
#ifndef TEST_FAKE_LINK_H
#define TEST_FAKE_LINK_H

#include "daisyledge/base.h"

struct fake_link;

struct fake_link_conf {
	uint32_t seed;
	uint32_t loss_permille;
	uint32_t dup_permille;
	/* Each datagram takes a random time in between; so they overtake. */
	uint32_t delay_min_ms;
	uint32_t delay_max_ms;
};

/* What has gone through, counted at the sender. */
struct fake_link_count {
	uint64_t msgs;
	uint64_t bytes;
	uint64_t dropped;
};

/* A delivered datagram; data stays valid until the next call of next(). */
struct fake_datagram {
	uint64_t from;
	uint64_t to;
	int64_t sent;
	struct dl_str data;
};

struct fake_link *fake_link_new(const struct fake_link_conf *conf);
void fake_link_free(struct fake_link *link);
/* From now on; what is under way keeps its time. */
void fake_link_set(struct fake_link *link, const struct fake_link_conf *conf);

void fake_link_send(struct fake_link *link, uint64_t from, uint64_t to,
		    struct dl_str data, int64_t now);
/* The next datagram due by now; false at none. */
bool fake_link_next(struct fake_link *link, int64_t now,
		    struct fake_datagram *out);
/* When the next datagram is due; INT64_MAX at none. */
int64_t fake_link_wakeup(const struct fake_link *link);

/*
 * Cut a link in silence, in this direction; what is under way is lost too.
 * DL_VM_NONE stands for everybody.
 */
void fake_link_cut(struct fake_link *link, uint64_t from, uint64_t to);
/* Cut a VM off from everybody, both ways. */
void fake_link_isolate(struct fake_link *link, uint64_t vm);
/* Mend every cut. */
void fake_link_heal(struct fake_link *link);
bool fake_link_is_cut(const struct fake_link *link, uint64_t from, uint64_t to);

/*
 * A VM's process stands still until then: what is due to it in between
 * arrives all at once at the end.  The caller leaves its timers alone.
 */
void fake_link_pause(struct fake_link *link, uint64_t vm, int64_t until);
bool fake_link_paused(const struct fake_link *link, uint64_t vm, int64_t now);

/* What all VMs together (DL_VM_NONE) or one have sent since the start. */
struct fake_link_count fake_link_sent(const struct fake_link *link,
				      uint64_t vm);

#endif
