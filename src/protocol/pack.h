/*
 * Reads msgpack arrays item by item. A wrong type or a missing item sets the
 * reader's bad flag, after which every read returns an empty value. A decoder
 * can thus read all fields and check for errors once.
 */
#ifndef DL_PROTOCOL_PACK_H
#define DL_PROTOCOL_PACK_H

#include <msgpack.h>

#include "daisyledge/base.h"

struct dl_reader {
	msgpack_unpacked unpacked;
	const msgpack_object *next;
	uint32_t remaining;
	bool bad;
};

/* The body must be one array. dl_reader_close() is due even if it is not. */
void dl_reader_open(struct dl_reader *r, struct dl_str body);
void dl_reader_close(struct dl_reader *r);

uint64_t dl_read_u64(struct dl_reader *r);
int64_t dl_read_i64(struct dl_reader *r);
bool dl_read_bool(struct dl_reader *r);
/* Accepts strings and binaries; the result points into the body. */
struct dl_str dl_read_str(struct dl_reader *r);
void dl_read_name(struct dl_reader *r, struct dl_name *out);

/* A msgpack packer and the buffer that it writes to. */
struct dl_packer {
	msgpack_sbuffer buf;
	msgpack_packer pk;
};

void dl_packer_open(struct dl_packer *p, uint32_t items);
void dl_packer_close(struct dl_packer *p);
struct dl_str dl_packer_bytes(const struct dl_packer *p);
void dl_pack_u64(struct dl_packer *p, uint64_t v);
void dl_pack_i64(struct dl_packer *p, int64_t v);
void dl_pack_bool(struct dl_packer *p, bool v);
void dl_pack_str(struct dl_packer *p, struct dl_str s);

#endif
