/*
 * The VMs that wait for the whole body of the configuration version in force
 * while it is built. Load: VMs that start at the same time and pull from one
 * VM. Harm: a list that grows with them, and as many large bodies sent at once.
 */
#ifndef DL_STATE_CONF_PULLERS_H
#define DL_STATE_CONF_PULLERS_H

#include <stdint.h>

/*
 * A VM beyond these gets no answer, and pulls again from this VM or another
 * one.
 */
#define DL_CONF_PULLERS_MAX 64

/* Zero-initialised by the owner; emptied by setting the count to 0. */
struct dl_conf_pullers {
	uint64_t vms[DL_CONF_PULLERS_MAX];
	uint32_t count;
};

/*
 * Adds a VM unless it waits already. The pull of a VM that finds the list full
 * is dropped and counted (conf_pulls_dropped).
 */
void dl_conf_pullers_add(struct dl_conf_pullers *p, uint64_t vm);

#endif
