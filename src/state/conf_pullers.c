/* The VMs that wait for a whole configuration body; see the header. */
#include "state/conf_pullers.h"

#include <stdbool.h>

#include "base/metric.h"

static bool is_waiting(const struct dl_conf_pullers *p, uint64_t vm)
{
	for (uint32_t i = 0; i < p->count; i++) {
		if (p->vms[i] == vm)
			return true;
	}
	return false;
}

/* Adds a VM once. One that waits already is not dropped if the list is full. */
void dl_conf_pullers_add(struct dl_conf_pullers *p, uint64_t vm)
{
	if (is_waiting(p, vm))
		return;
	if (p->count == DL_CONF_PULLERS_MAX) {
		dl_count(DL_METRIC_conf_pulls_dropped, 1);
		return;
	}
	p->vms[p->count++] = vm;
}
