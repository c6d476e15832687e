/* Msgpack encoding of log messages; decoding validates every field. */
#include "protocol/rlog_codec.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_check.h"

/*
 * [kind, cluster, from id, to id, term, index, index term, commit, stamp,
 * flags, payload]; the payload is nil, the entries, the members or a chunk of a
 * snapshot.
 */
#define MSG_FIELDS    11
#define ENTRY_FIELDS  4
#define MEMBER_FIELDS 3
#define CHUNK_FIELDS  6

#define FLAG_OK		1u
#define FLAG_FRESH	2u
#define FLAG_TRANSFER	4u
#define FLAG_DISK_FAILS 8u

/* The type of the payload of each message kind. */
enum payload {
	PAYLOAD_NONE,
	PAYLOAD_ENTRIES,
	PAYLOAD_MEMBERS,
	PAYLOAD_CHUNK
};

static const enum payload payload_of[DL_RLOG_MSG_KIND_COUNT] = {
	[DL_RLOG_BOOTSTRAP] = PAYLOAD_MEMBERS,
	[DL_RLOG_JOIN_REPLY] = PAYLOAD_MEMBERS,
	[DL_RLOG_APPEND] = PAYLOAD_ENTRIES,
	[DL_RLOG_SNAPSHOT] = PAYLOAD_CHUNK,
	[DL_RLOG_SNAPSHOT_REPLY] = PAYLOAD_CHUNK,
};

static void pack_str(msgpack_packer *pk, struct dl_str s);
static void pack_members(msgpack_packer *pk, const struct dl_rlog_members *m);
static void pack_entries(msgpack_packer *pk, const struct dl_rlog_msg *msg);
static void pack_chunk(msgpack_packer *pk, const struct dl_rlog_msg *msg);
static bool read_array(const msgpack_object *o, uint32_t n,
		       const msgpack_object **out);
static bool read_u64(const msgpack_object *o, uint64_t *out);
static bool read_bytes(const msgpack_object *o, struct dl_str *out);
static bool read_members(const msgpack_object *o, struct dl_rlog_members *out);
static bool read_entries(const msgpack_object *o, struct dl_rlog_decoded *out);
static bool read_chunk(const msgpack_object *o, struct dl_rlog_msg *msg);
static bool read_payload(const msgpack_object *o, struct dl_rlog_decoded *out);
static bool read_header(const msgpack_object *f, struct dl_rlog_msg *msg);

static void pack_str(msgpack_packer *pk, struct dl_str s)
{
	msgpack_pack_bin(pk, s.n);
	msgpack_pack_bin_body(pk, s.s, s.n);
}

static void pack_members(msgpack_packer *pk, const struct dl_rlog_members *m)
{
	msgpack_pack_array(pk, m->count);
	for (uint32_t i = 0; i < m->count; i++) {
		msgpack_pack_array(pk, MEMBER_FIELDS);
		msgpack_pack_uint64(pk, m->at[i].vm);
		msgpack_pack_uint64(pk, m->at[i].id);
		msgpack_pack_uint64(pk, m->at[i].voter);
	}
}

static void pack_entries(msgpack_packer *pk, const struct dl_rlog_msg *msg)
{
	msgpack_pack_array(pk, msg->count);
	for (uint32_t i = 0; i < msg->count; i++) {
		const struct dl_rlog_entry *e = &msg->entries[i];

		msgpack_pack_array(pk, ENTRY_FIELDS);
		msgpack_pack_uint64(pk, e->index);
		msgpack_pack_uint64(pk, e->term);
		msgpack_pack_uint64(pk, e->kind);
		pack_str(pk, e->data);
	}
}

static void pack_chunk(msgpack_packer *pk, const struct dl_rlog_msg *msg)
{
	msgpack_pack_array(pk, CHUNK_FIELDS);
	msgpack_pack_uint64(pk, msg->snapshot.index);
	msgpack_pack_uint64(pk, msg->snapshot.term);
	pack_members(pk, &msg->snapshot.members);
	msgpack_pack_uint64(pk, msg->offset);
	msgpack_pack_uint64(pk, msg->total);
	pack_str(pk, msg->snapshot.data);
}

/* Appends the encoded message to out. */
void dl_rlog_encode(const struct dl_rlog_msg *msg, msgpack_sbuffer *out)
{
	unsigned flags = (msg->ok ? FLAG_OK : 0) |
			 (msg->fresh ? FLAG_FRESH : 0) |
			 (msg->transfer ? FLAG_TRANSFER : 0) |
			 (msg->disk_fails ? FLAG_DISK_FAILS : 0);
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, MSG_FIELDS);
	msgpack_pack_uint64(&pk, msg->kind);
	msgpack_pack_uint64(&pk, msg->cluster);
	msgpack_pack_uint64(&pk, msg->from_id);
	msgpack_pack_uint64(&pk, msg->to_id);
	msgpack_pack_uint64(&pk, msg->term);
	msgpack_pack_uint64(&pk, msg->index);
	msgpack_pack_uint64(&pk, msg->index_term);
	msgpack_pack_uint64(&pk, msg->commit);
	msgpack_pack_int64(&pk, msg->stamp);
	msgpack_pack_uint64(&pk, flags);
	switch (payload_of[msg->kind]) {
	case PAYLOAD_ENTRIES:
		pack_entries(&pk, msg);
		break;
	case PAYLOAD_MEMBERS:
		pack_members(&pk, &msg->snapshot.members);
		break;
	case PAYLOAD_CHUNK:
		pack_chunk(&pk, msg);
		break;
	default:
		msgpack_pack_nil(&pk);
	}
}

static bool read_array(const msgpack_object *o, uint32_t n,
		       const msgpack_object **out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != n)
		return false;
	*out = o->via.array.ptr;
	return true;
}

static bool read_u64(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool read_bytes(const msgpack_object *o, struct dl_str *out)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	*out = (struct dl_str){ o->via.bin.ptr, o->via.bin.size };
	return true;
}

static bool read_members(const msgpack_object *o, struct dl_rlog_members *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > DL_RLOG_MEMBERS_MAX)
		return false;
	out->count = o->via.array.size;
	for (uint32_t i = 0; i < out->count; i++) {
		const msgpack_object *f;
		uint64_t voter;

		if (!read_array(&o->via.array.ptr[i], MEMBER_FIELDS, &f) ||
		    !read_u64(&f[0], &out->at[i].vm) ||
		    !read_u64(&f[1], &out->at[i].id) ||
		    !read_u64(&f[2], &voter))
			return false;
		out->at[i].voter = voter != 0;
	}
	return true;
}

static bool read_entries(const msgpack_object *o, struct dl_rlog_decoded *out)
{
	uint32_t n;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	n = o->via.array.size;
	if (!n)
		return true;
	out->entries = calloc(n, sizeof(*out->entries));
	if (!out->entries)
		return false;
	for (uint32_t i = 0; i < n; i++) {
		struct dl_rlog_entry *e = &out->entries[i];
		const msgpack_object *f;
		uint64_t kind;

		if (!read_array(&o->via.array.ptr[i], ENTRY_FIELDS, &f) ||
		    !read_u64(&f[0], &e->index) || !read_u64(&f[1], &e->term) ||
		    !read_u64(&f[2], &kind) || kind > DL_RLOG_MEMBERS ||
		    !read_bytes(&f[3], &e->data))
			return false;
		if (e->index != out->msg.index + 1 + i)
			return false;
		e->kind = (enum dl_rlog_entry_kind)kind;
	}
	out->msg.count = n;
	out->msg.entries = out->entries;
	return true;
}

static bool read_chunk(const msgpack_object *o, struct dl_rlog_msg *msg)
{
	const msgpack_object *f;

	return read_array(o, CHUNK_FIELDS, &f) &&
	       read_u64(&f[0], &msg->snapshot.index) &&
	       read_u64(&f[1], &msg->snapshot.term) &&
	       read_members(&f[2], &msg->snapshot.members) &&
	       read_u64(&f[3], &msg->offset) && read_u64(&f[4], &msg->total) &&
	       read_bytes(&f[5], &msg->snapshot.data);
}

static bool read_payload(const msgpack_object *o, struct dl_rlog_decoded *out)
{
	switch (payload_of[out->msg.kind]) {
	case PAYLOAD_ENTRIES:
		return read_entries(o, out);
	case PAYLOAD_MEMBERS:
		return read_members(o, &out->msg.snapshot.members);
	case PAYLOAD_CHUNK:
		return read_chunk(o, &out->msg);
	default:
		return o->type == MSGPACK_OBJECT_NIL;
	}
}

static bool read_header(const msgpack_object *f, struct dl_rlog_msg *msg)
{
	uint64_t kind, flags;

	if (!read_u64(&f[0], &kind) || kind == 0 ||
	    kind >= DL_RLOG_MSG_KIND_COUNT || !read_u64(&f[1], &msg->cluster) ||
	    !read_u64(&f[2], &msg->from_id) || !read_u64(&f[3], &msg->to_id) ||
	    !read_u64(&f[4], &msg->term) || !read_u64(&f[5], &msg->index) ||
	    !read_u64(&f[6], &msg->index_term) ||
	    !read_u64(&f[7], &msg->commit) || !read_u64(&f[9], &flags))
		return false;
	if (f[8].type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    f[8].type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return false;
	msg->stamp = f[8].via.i64;
	msg->kind = (enum dl_rlog_msg_kind)kind;
	msg->ok = flags & FLAG_OK;
	msg->fresh = flags & FLAG_FRESH;
	msg->transfer = flags & FLAG_TRANSFER;
	msg->disk_fails = flags & FLAG_DISK_FAILS;
	return true;
}

/* Decodes a message; the caller sets from_vm, which only the frame carries. */
int dl_rlog_decode(struct dl_str body, struct dl_rlog_decoded *out)
{
	const msgpack_object *f;

	memset(&out->msg, 0, sizeof(out->msg));
	out->entries = NULL;
	msgpack_unpacked_init(&out->unpacked);
	if (dl_msgpack_well_formed(body) &&
	    msgpack_unpack_next(&out->unpacked, body.s, body.n, NULL) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    read_array(&out->unpacked.data, MSG_FIELDS, &f) &&
	    read_header(f, &out->msg) && read_payload(&f[MSG_FIELDS - 1], out))
		return 0;
	dl_rlog_decoded_free(out);
	return -EINVAL;
}

void dl_rlog_decoded_free(struct dl_rlog_decoded *decoded)
{
	free(decoded->entries);
	decoded->entries = NULL;
	msgpack_unpacked_destroy(&decoded->unpacked);
}
