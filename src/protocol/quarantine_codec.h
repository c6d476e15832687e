/*
 * The bodies of DL_FRAME_CRASHES and DL_FRAME_PART_CRASHES: crashes of
 * endpoints under whole requests, and under parts of prompts.
 */
#ifndef DL_PROTOCOL_QUARANTINE_CODEC_H
#define DL_PROTOCOL_QUARANTINE_CODEC_H

#include "daisyledge/quarantine.h"
#include "protocol/pack.h"

/* Crashes in one frame; a sender with more splits them over several frames. */
#define DL_CRASHES_MAX 512

/* The packer must be closed by the caller. */
void dl_crashes_pack(struct dl_packer *p, const struct dl_crash *crashes,
		     uint32_t count);
void dl_part_crashes_pack(struct dl_packer *p, const struct dl_crash *crashes,
			  uint32_t count);
/* out has DL_CRASHES_MAX elements; -EBADMSG if the body is malformed. */
int dl_crashes_read(struct dl_str body, struct dl_crash *out, uint32_t *count);
int dl_part_crashes_read(struct dl_str body, struct dl_crash *out,
			 uint32_t *count);

#endif
