/*
 * Pushes of a configuration version along a tree of VMs: each VM forwards the
 * version to a few children and sends each of them the list of VMs below it.
 */
#ifndef DL_PROTOCOL_CONF_PUSH_H
#define DL_PROTOCOL_CONF_PUSH_H

#include "protocol/pack.h"

/* The largest number of children of a VM in the tree. */
#define DL_CONF_PUSH_FAN_OUT 8

uint32_t dl_conf_push_children(uint32_t count);
/* Packs the push to the child with this index; returns the child's address. */
uint64_t dl_conf_push_pack(struct dl_packer *pk, uint64_t version,
			   struct dl_str text, const uint64_t *vms,
			   uint32_t count, uint32_t child);

#endif
