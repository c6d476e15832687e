/* Wrappers around msgpack-c that read and write arrays. */
#include "protocol/pack.h"

#include "base/msgpack_check.h"

/* Opens a body; the reader becomes bad unless the body is exactly one array. */
void dl_reader_open(struct dl_reader *r, struct dl_str body)
{
	size_t off = 0;

	msgpack_unpacked_init(&r->unpacked);
	r->next = NULL;
	r->remaining = 0;
	r->bad = !dl_msgpack_well_formed(body) ||
		 msgpack_unpack_next(&r->unpacked, body.s, body.n, &off) !=
			 MSGPACK_UNPACK_SUCCESS ||
		 off != body.n || r->unpacked.data.type != MSGPACK_OBJECT_ARRAY;
	if (r->bad)
		return;
	r->next = r->unpacked.data.via.array.ptr;
	r->remaining = r->unpacked.data.via.array.size;
}

/* Frees the reader; strings that were read stay valid within the body. */
void dl_reader_close(struct dl_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}

static const msgpack_object *take(struct dl_reader *r)
{
	if (r->bad || r->remaining == 0) {
		r->bad = true;
		return NULL;
	}
	r->remaining--;
	return r->next++;
}

/* Reads a non-negative integer. */
uint64_t dl_read_u64(struct dl_reader *r)
{
	const msgpack_object *o = take(r);

	if (!o)
		return 0;
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		r->bad = true;
		return 0;
	}
	return o->via.u64;
}

/* Reads a signed integer; the reader becomes bad above INT64_MAX. */
int64_t dl_read_i64(struct dl_reader *r)
{
	const msgpack_object *o = take(r);

	if (!o)
		return 0;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return o->via.i64;
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= INT64_MAX)
		return (int64_t)o->via.u64;
	r->bad = true;
	return 0;
}

bool dl_read_bool(struct dl_reader *r)
{
	const msgpack_object *o = take(r);

	if (!o)
		return false;
	if (o->type != MSGPACK_OBJECT_BOOLEAN) {
		r->bad = true;
		return false;
	}
	return o->via.boolean;
}

/* Reads a string or binary; the result points into the body. */
struct dl_str dl_read_str(struct dl_reader *r)
{
	const msgpack_object *o = take(r);

	if (o && o->type == MSGPACK_OBJECT_STR)
		return (struct dl_str){ o->via.str.ptr, o->via.str.size };
	if (o && o->type == MSGPACK_OBJECT_BIN)
		return (struct dl_str){ o->via.bin.ptr, o->via.bin.size };
	r->bad = true;
	return (struct dl_str){ "", 0 };
}

/* Reads a name; the reader becomes bad if it is too long. */
void dl_read_name(struct dl_reader *r, struct dl_name *out)
{
	if (!dl_name_set(out, dl_read_str(r))) {
		dl_name_set(out, DL_STR(""));
		r->bad = true;
	}
}

/* Starts an array of the given number of items. */
void dl_packer_open(struct dl_packer *p, uint32_t items)
{
	msgpack_sbuffer_init(&p->buf);
	msgpack_packer_init(&p->pk, &p->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&p->pk, items);
}

void dl_packer_close(struct dl_packer *p)
{
	msgpack_sbuffer_destroy(&p->buf);
}

/* Returns the packed bytes, which the packer owns. */
struct dl_str dl_packer_bytes(const struct dl_packer *p)
{
	return (struct dl_str){ p->buf.data, p->buf.size };
}

void dl_pack_u64(struct dl_packer *p, uint64_t v)
{
	msgpack_pack_uint64(&p->pk, v);
}

void dl_pack_i64(struct dl_packer *p, int64_t v)
{
	msgpack_pack_int64(&p->pk, v);
}

void dl_pack_bool(struct dl_packer *p, bool v)
{
	if (v)
		msgpack_pack_true(&p->pk);
	else
		msgpack_pack_false(&p->pk);
}

/* Adds a string; it is encoded as a msgpack binary. */
void dl_pack_str(struct dl_packer *p, struct dl_str s)
{
	msgpack_pack_bin(&p->pk, s.n);
	msgpack_pack_bin_body(&p->pk, s.s, s.n);
}
