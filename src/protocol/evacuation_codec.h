/* The evacuated failure domains in frames from replicas to entries. */
#ifndef DL_PROTOCOL_EVACUATION_CODEC_H
#define DL_PROTOCOL_EVACUATION_CODEC_H

#include "daisyledge/evacuation.h"
#include "protocol/pack.h"

/* Adds two items to a packed array: the revision and the list of domains. */
#define DL_EVACUATIONS_ITEMS 2

void dl_evacuations_pack(struct dl_packer *p, const struct dl_evacuations *e);
/* Reads the two items; sets the reader's bad flag if they are malformed. */
void dl_evacuations_read(struct dl_reader *r, struct dl_evacuations *out);

#endif
