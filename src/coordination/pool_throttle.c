/* Limits that endpoints name of themselves, on requests from all VMs together.
 */
#include "pool_int.h"

/* Note what an answer of an endpoint named. */
bool dl_pool_limit(struct dl_pool *pool, struct dl_str id, uint32_t limit,
		   int64_t now)
{
	struct pool_endpoint *e = pool_endpoint_find(pool, id);

	pool->now = now;
	if (!e || e->limit == limit)
		return false;
	e->limit = limit;
	return true;
}
