/*
 * What endpoints said of themselves last, each under a key of eight bytes that
 * both ends of a connection derive from the words: who has heard them need not
 * be sent them again to be told that the endpoint still says the same.  Pure.
 */
#ifndef DAISYLEDGE_REPORTS_H
#define DAISYLEDGE_REPORTS_H

#include "daisyledge/base.h"

struct dl_reports;

struct dl_reports *dl_reports_new(void);
void dl_reports_free(struct dl_reports *reports);
/*
 * Note an endpoint's words; instance: the start that they are of.  Whether they
 * are new here; their key.
 */
bool dl_reports_add(struct dl_reports *reports, struct dl_str instance,
		    struct dl_str words, int64_t now, uint64_t *key);
/* The words of a key; n 0: they are not known here. */
struct dl_str dl_reports_find(const struct dl_reports *reports, uint64_t key);
/* Whether a key's words were heard since a time. */
bool dl_reports_received_since(const struct dl_reports *reports, uint64_t key,
			       int64_t since);
/*
 * Whether others are to be told that they were said again, and note that they
 * are: of many endpoints each one more seldom.
 */
bool dl_reports_relay_due(struct dl_reports *reports, uint64_t key,
			  int64_t now);
/* They were said again, as their key tells. */
void dl_reports_refresh(struct dl_reports *reports, uint64_t key, int64_t now);
/* A start leaves: nothing that it said before counts. */
void dl_reports_remove(struct dl_reports *reports, struct dl_str instance);
/* Forget what has not been said since before a time. */
void dl_reports_expire(struct dl_reports *reports, int64_t before);
uint32_t dl_reports_count(const struct dl_reports *reports);

#endif
