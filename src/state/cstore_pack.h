/*
 * Reading a msgpack array field by field. A field of the wrong type marks the
 * whole array as bad, so that a decoder checks only once, at the end.
 */
#ifndef DL_STATE_CSTORE_PACK_H
#define DL_STATE_CSTORE_PACK_H

#include <msgpack.h>

#include "daisyledge/base.h"

/*
 * Return the size of the array of scalars at the start, or 0 if there is none.
 */
size_t pack_flat_size(struct dl_str bytes);

struct pack_fields {
	msgpack_object_array array;
	uint32_t next;
	bool bad;
};

/* Start to read an object; bad if it is not an array of n fields. */
static inline struct pack_fields pack_begin(const msgpack_object *o, uint32_t n)
{
	struct pack_fields f = { .bad = true };

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != n)
		return f;
	f.array = o->via.array;
	f.bad = false;
	return f;
}

/* Return the next field if it has the given type, or NULL. */
static inline const msgpack_object *pack_next(struct pack_fields *f,
					      msgpack_object_type type)
{
	const msgpack_object *o;

	if (f->bad || f->next >= f->array.size) {
		f->bad = true;
		return NULL;
	}
	o = &f->array.ptr[f->next++];
	if (o->type == type)
		return o;
	f->bad = true;
	return NULL;
}

/* Read the next field as an unsigned integer of at most max. */
static inline uint64_t pack_u64(struct pack_fields *f, uint64_t max)
{
	const msgpack_object *o = pack_next(f, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (!o)
		return 0;
	if (o->via.u64 > max) {
		f->bad = true;
		return 0;
	}
	return o->via.u64;
}

/* Read the next field as an unsigned integer; nil reads as 0. */
static inline uint64_t pack_u64_or_nil(struct pack_fields *f)
{
	if (!f->bad && f->next < f->array.size &&
	    f->array.ptr[f->next].type == MSGPACK_OBJECT_NIL) {
		f->next++;
		return 0;
	}
	return pack_u64(f, UINT64_MAX);
}

/* Read the next field as a signed integer. */
static inline int64_t pack_i64(struct pack_fields *f)
{
	const msgpack_object *o;

	if (f->bad || f->next >= f->array.size) {
		f->bad = true;
		return 0;
	}
	o = &f->array.ptr[f->next];
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return (int64_t)pack_u64(f, INT64_MAX);
	o = pack_next(f, MSGPACK_OBJECT_NEGATIVE_INTEGER);
	return o ? o->via.i64 : 0;
}

/* Read the next field as a boolean. */
static inline bool pack_bool(struct pack_fields *f)
{
	const msgpack_object *o = pack_next(f, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

/*
 * Read the next field as a byte string, which points into the object's buffer.
 */
static inline struct dl_str pack_str(struct pack_fields *f, size_t max)
{
	const msgpack_object *o = pack_next(f, MSGPACK_OBJECT_BIN);

	if (!o || o->via.bin.size > max) {
		f->bad = true;
		return (struct dl_str){ "", 0 };
	}
	return (struct dl_str){ o->via.bin.ptr, o->via.bin.size };
}

static inline void pack_put_str(msgpack_packer *pk, struct dl_str s)
{
	msgpack_pack_bin(pk, s.n);
	if (s.n)
		msgpack_pack_bin_body(pk, s.s, s.n);
}

#endif
