/* Commands as stored in the log: one msgpack array each. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/cstore.h"
#include "state/cstore_pack.h"

#define COMMAND_FORMAT 1
#define COMMAND_FIELDS 16
/*
 * Start of a command: marker of an array of 16 (3 bytes), format and op (1 byte
 * each), the marker of an int64, and the wall clock in network order.
 */
#define WALL_MARKER_AT 5
#define MARKER_INT64   0xd3
#define WALL_AT	       6
#define WALL_END       14
#define TEXT_MAX       UINT32_MAX

/* Encode a command into *out, which the caller frees with free(). */
int dl_cstore_encode(const struct dl_cstore_cmd *cmd, char **out, size_t *n)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, COMMAND_FIELDS);
	msgpack_pack_uint8(&pk, COMMAND_FORMAT);
	msgpack_pack_uint8(&pk, (uint8_t)cmd->op);
	msgpack_pack_fix_int64(&pk, cmd->wall_ms);
	pack_put_str(&pk, cmd->text);
	pack_put_str(&pk, cmd->change_id);
	pack_put_str(&pk, cmd->author);
	msgpack_pack_uint64(&pk, cmd->expect);
	cmd->confirm ? msgpack_pack_true(&pk) : msgpack_pack_false(&pk);
	pack_put_str(&pk, cmd->key);
	msgpack_pack_uint64(&pk, cmd->owner);
	msgpack_pack_uint64(&pk, cmd->body_hash);
	msgpack_pack_uint32(&pk, cmd->expires_s);
	msgpack_pack_uint16(&pk, cmd->status);
	pack_put_str(&pk, cmd->outcome);
	msgpack_pack_uint64(&pk, cmd->term);
	if (cmd->checked_number)
		msgpack_pack_uint64(&pk, cmd->checked_number);
	else
		msgpack_pack_nil(&pk);
	if (!buf.data)
		return -ENOMEM;
	*n = buf.size;
	*out = msgpack_sbuffer_release(&buf);
	return 0;
}

/* Decode a command; strings point into its bytes. Returns 0 or -EBADMSG. */
int dl_cstore_decode(struct dl_str command, struct dl_cstore_cmd *out)
{
	msgpack_unpacked u;
	struct pack_fields f;
	size_t offset = 0;
	bool ok;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&u);
	ok = command.n && pack_flat_size(command) == command.n &&
	     msgpack_unpack_next(&u, command.s, command.n, &offset) ==
		     MSGPACK_UNPACK_SUCCESS;
	f = ok ? pack_begin(&u.data, COMMAND_FIELDS) :
		 (struct pack_fields){ .bad = true };
	if (pack_u64(&f, UINT8_MAX) != COMMAND_FORMAT)
		f.bad = true;
	out->op = (enum dl_cstore_op)pack_u64(&f, DL_CSTORE_OP_COUNT - 1);
	out->wall_ms = pack_i64(&f);
	out->text = pack_str(&f, TEXT_MAX);
	out->change_id = pack_str(&f, TEXT_MAX);
	out->author = pack_str(&f, TEXT_MAX);
	out->expect = pack_u64(&f, UINT64_MAX);
	out->confirm = pack_bool(&f);
	out->key = pack_str(&f, TEXT_MAX);
	out->owner = pack_u64(&f, UINT64_MAX);
	out->body_hash = pack_u64(&f, UINT64_MAX);
	out->expires_s = (uint32_t)pack_u64(&f, UINT32_MAX);
	out->status = (uint16_t)pack_u64(&f, UINT16_MAX);
	out->outcome = pack_str(&f, TEXT_MAX);
	out->term = pack_u64(&f, UINT64_MAX);
	out->checked_number = pack_u64_or_nil(&f);
	msgpack_unpacked_destroy(&u);
	return f.bad ? -EBADMSG : 0;
}

/* Overwrite the wall clock of an encoded command. */
int dl_cstore_stamp(char *command, size_t n, int64_t wall_ms)
{
	uint64_t v = (uint64_t)wall_ms;

	if (n < WALL_END || (uint8_t)command[WALL_MARKER_AT] != MARKER_INT64)
		return -EBADMSG;
	for (int i = WALL_END - 1; i >= WALL_AT; i--) {
		command[i] = (char)(v & UINT8_MAX);
		v >>= 8;
	}
	return 0;
}
