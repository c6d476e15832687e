/*
 * A version of the configuration on its way down a tree of VMs: each passes it
 * on to a few, and names to each of those the ones that it is to reach in turn.
 */
#ifndef DL_PROTOCOL_CONF_PUSH_H
#define DL_PROTOCOL_CONF_PUSH_H

#include "protocol/pack.h"

/* How many VMs one sends a version to. */
#define DL_CONF_PUSH_FAN_OUT 8

uint32_t dl_conf_push_children(uint32_t count);
/* Pack what the child of this number gets; the VM that it is. */
uint64_t dl_conf_push_pack(struct dl_packer *pk, uint64_t version,
			   struct dl_str text, const uint64_t *vms,
			   uint32_t count, uint32_t child);

#endif
