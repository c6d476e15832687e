/* Replies to commands, each encoded as one msgpack array. */
#include "protocol/cmd.h"

#include <errno.h>
#include <string.h>

#include "state/cstore_pack.h"

#define REPLY_FORMAT 1
#define REPLY_FIELDS 10

/*
 * Encodes a reply and the address of the leader into *out, which the caller
 * frees with free(). Returns 0 or -ENOMEM.
 */
int dl_reply_encode(const struct dl_cstore_reply *reply, uint64_t leader,
		    char **out, size_t *n)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, REPLY_FIELDS);
	msgpack_pack_uint8(&pk, REPLY_FORMAT);
	msgpack_pack_int64(&pk, reply->code);
	msgpack_pack_uint64(&pk, reply->version);
	reply->repeated ? msgpack_pack_true(&pk) : msgpack_pack_false(&pk);
	msgpack_pack_uint8(&pk, (uint8_t)reply->claim);
	msgpack_pack_uint64(&pk, reply->owner);
	msgpack_pack_uint16(&pk, reply->status);
	pack_put_str(&pk, reply->outcome);
	pack_put_str(&pk, (struct dl_str){ reply->text,
					   strnlen(reply->text,
						   sizeof(reply->text) - 1) });
	msgpack_pack_uint64(&pk, leader);
	if (!buf.data)
		return -ENOMEM;
	*n = buf.size;
	*out = msgpack_sbuffer_release(&buf);
	return 0;
}

/* Decodes a reply, whose outcome points into body. Returns 0 or -EBADMSG. */
int dl_reply_decode(struct dl_str body, struct dl_cstore_reply *out,
		    uint64_t *leader)
{
	msgpack_unpacked u;
	struct pack_fields f;
	struct dl_str text;
	size_t offset = 0;
	bool ok;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&u);
	ok = body.n && pack_flat_size(body) == body.n &&
	     msgpack_unpack_next(&u, body.s, body.n, &offset) ==
		     MSGPACK_UNPACK_SUCCESS;
	f = ok ? pack_begin(&u.data, REPLY_FIELDS) :
		 (struct pack_fields){ .bad = true };
	if (pack_u64(&f, UINT8_MAX) != REPLY_FORMAT)
		f.bad = true;
	out->code = (int)pack_i64(&f);
	out->version = pack_u64(&f, UINT64_MAX);
	out->repeated = pack_bool(&f);
	out->claim = (enum dl_claim_state)pack_u64(&f, DL_CLAIM_DONE);
	out->owner = pack_u64(&f, UINT64_MAX);
	out->status = (uint16_t)pack_u64(&f, UINT16_MAX);
	out->outcome = pack_str(&f, UINT32_MAX);
	text = pack_str(&f, sizeof(out->text) - 1);
	memcpy(out->text, text.s, text.n);
	*leader = pack_u64(&f, UINT64_MAX);
	msgpack_unpacked_destroy(&u);
	return f.bad ? -EBADMSG : 0;
}
