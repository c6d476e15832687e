/*
 * Endpoints that were granted and that this VM has no report of: they are of
 * another failure domain, or have announced themselves to other VMs only. Load:
 * a service that spills over to domains with hundreds of endpoints. Harm: a
 * table that grows with all endpoints that were ever granted.
 */
#ifndef DL_COORDINATION_UNREPORTED_H
#define DL_COORDINATION_UNREPORTED_H

#include "daisyledge/base.h"

#define DL_UNREPORTED_MAX 1024

struct dl_unreported_endpoint {
	uint64_t address;
	struct dl_name service;
	struct dl_name domain;
};

struct dl_unreported;

struct dl_unreported *dl_unreported_new(void);
/* Frees the table; NULL is allowed. */
void dl_unreported_free(struct dl_unreported *u);
/*
 * Records an endpoint, or replaces what is known of it. A full table is emptied
 * first, and each endpoint that it had is counted as dropped
 * (unreported_endpoints_dropped); its next grant records it again.
 */
void dl_unreported_add(struct dl_unreported *u, uint64_t address,
		       const struct dl_name *service,
		       const struct dl_name *domain);
/* Returns an endpoint until the next dl_unreported_add(), or NULL. */
const struct dl_unreported_endpoint *
dl_unreported_find(const struct dl_unreported *u, uint64_t address);

#endif
