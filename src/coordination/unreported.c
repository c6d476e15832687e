/* Granted endpoints that this VM has no report of; see the header. */
#include "coordination/unreported.h"

#include <glib.h>

#include "base/metric.h"

struct dl_unreported {
	GHashTable *endpoints; /* by address */
};

/* Creates an empty table. */
struct dl_unreported *dl_unreported_new(void)
{
	struct dl_unreported *u = g_new0(struct dl_unreported, 1);

	u->endpoints = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	return u;
}

void dl_unreported_free(struct dl_unreported *u)
{
	if (!u)
		return;
	g_hash_table_destroy(u->endpoints);
	g_free(u);
}

/* Empties the table if it is full. */
static void make_room(struct dl_unreported *u)
{
	uint32_t count = g_hash_table_size(u->endpoints);

	if (count < DL_UNREPORTED_MAX)
		return;
	dl_count(DL_METRIC_unreported_endpoints_dropped, count);
	g_hash_table_remove_all(u->endpoints);
}

/* Records the service and failure domain of an endpoint that was granted. */
void dl_unreported_add(struct dl_unreported *u, uint64_t address,
		       const struct dl_name *service,
		       const struct dl_name *domain)
{
	struct dl_unreported_endpoint *endpoint =
		g_hash_table_lookup(u->endpoints, &address);

	if (!endpoint) {
		make_room(u);
		endpoint = g_new0(struct dl_unreported_endpoint, 1);
		endpoint->address = address;
		g_hash_table_insert(u->endpoints, &endpoint->address, endpoint);
	}
	endpoint->service = *service;
	endpoint->domain = *domain;
}

const struct dl_unreported_endpoint *
dl_unreported_find(const struct dl_unreported *u, uint64_t address)
{
	return g_hash_table_lookup(u->endpoints, &address);
}
