/*
 * Cache of the latest report of each endpoint, under an eight-byte key that
 * both ends of a connection derive from the report text: a peer that has the
 * report is sent only the key to learn that it is unchanged. The module does no
 * I/O and reads no clock.
 */
#ifndef DAISYLEDGE_REPORTS_H
#define DAISYLEDGE_REPORTS_H

#include "daisyledge/base.h"

struct dl_reports;

struct dl_reports *dl_reports_new(void);
void dl_reports_free(struct dl_reports *reports);
/*
 * Stores the report text of an endpoint instance. Sets its key; returns whether
 * the text was new.
 */
bool dl_reports_add(struct dl_reports *reports, struct dl_str instance,
		    struct dl_str text, int64_t now, uint64_t *key);
/* The report text of a key; n is 0 if it is not cached. */
struct dl_str dl_reports_find(const struct dl_reports *reports, uint64_t key);
/* Whether the report of a key was received at or after a given time. */
bool dl_reports_received_since(const struct dl_reports *reports, uint64_t key,
			       int64_t since);
/*
 * Whether peers must be told that a report is unchanged; if so, records that
 * they are. The interval grows with the number of endpoints, here and at the
 * other VMs that relay; relays is the number of these VMs, this one included.
 */
bool dl_reports_relay_due(struct dl_reports *reports, uint64_t key,
			  uint32_t relays, int64_t now);
/* Records that a report was received again, by its key alone. */
void dl_reports_refresh(struct dl_reports *reports, uint64_t key, int64_t now);
/* Removes the report of an instance that is leaving. */
void dl_reports_remove(struct dl_reports *reports, struct dl_str instance);
/* Removes reports that were last received before a given time. */
void dl_reports_expire(struct dl_reports *reports, int64_t before);
uint32_t dl_reports_count(const struct dl_reports *reports);

#endif
