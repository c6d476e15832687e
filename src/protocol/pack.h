/*
 * Reading msgpack arrays item by item.  A wrong type or a missing item makes
 * the reader bad and every later read empty, so a decoder reads all its
 * fields and checks once.
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

/* Open a body that must be one array; close it whatever came of it. */
void dl_reader_open(struct dl_reader *r, struct dl_str body);
void dl_reader_close(struct dl_reader *r);

uint64_t dl_read_u64(struct dl_reader *r);
int64_t dl_read_i64(struct dl_reader *r);
bool dl_read_bool(struct dl_reader *r);
/* Strings and binaries alike; points into the body. */
struct dl_str dl_read_str(struct dl_reader *r);
void dl_read_name(struct dl_reader *r, struct dl_name *out);

/* A packer with its buffer. */
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
