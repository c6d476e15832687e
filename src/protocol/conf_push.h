/*
 * Pushes of a configuration version along a tree of VMs: each VM forwards the
 * version to a few children and sends each of them the list of VMs below it.
 * A version is pushed as its whole text (DL_FRAME_CONF_PUSH) or as a delta from
 * an earlier version (DL_FRAME_CONF_DELTA). Pulls request a newer version.
 */
#ifndef DL_PROTOCOL_CONF_PUSH_H
#define DL_PROTOCOL_CONF_PUSH_H

#include "protocol/pack.h"

/* The largest number of children of a VM in the tree. */
#define DL_CONF_PUSH_FAN_OUT 8

uint32_t dl_conf_push_children(uint32_t count);
/*
 * Packs the push to the child with this index; returns the child's address.
 * body: the deflated text or delta; both kinds of frames have the same form.
 */
uint64_t dl_conf_push_pack(struct dl_packer *pk, uint64_t version,
			   struct dl_str body, const uint64_t *vms,
			   uint32_t count, uint32_t child);

/* A received push; body points into the frame. */
struct dl_conf_push {
	uint64_t version;
	struct dl_str body;
	uint64_t *vms; /* to forward it to; to be freed with free() */
	uint32_t vms_count;
};

/* Returns 0 or -EBADMSG. */
int dl_conf_push_read(struct dl_str frame_body, struct dl_conf_push *out);

/* Packs a pull: the version that the sender has, and its digest or 0. */
void dl_conf_pull_pack(struct dl_packer *pk, uint64_t version, uint64_t digest);
/*
 * Reads a pull. Returns 0 or -EBADMSG. The digest is 0 in a message from a
 * release without deltas.
 */
int dl_conf_pull_read(struct dl_str frame_body, uint64_t *version,
		      uint64_t *digest);

#endif
