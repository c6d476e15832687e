/* The members of the replica group: encoding, lookup and quorum. */
#include "state/rlog_int.h"

#include <string.h>

#include <msgpack.h>

#define MEMBER_FIELDS 3

static bool decode_member(const msgpack_object *o, struct dl_rlog_member *out);

/* Encodes members as the data of an entry; the caller frees it with free(). */
struct dl_str rlog_members_encode(const struct dl_rlog_members *members)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, members->count);
	for (uint32_t i = 0; i < members->count; i++) {
		const struct dl_rlog_member *m = &members->at[i];

		msgpack_pack_array(&pk, MEMBER_FIELDS);
		msgpack_pack_uint64(&pk, m->vm);
		msgpack_pack_uint64(&pk, m->id);
		msgpack_pack_int(&pk, m->voter);
	}
	return (struct dl_str){ buf.data, buf.size };
}

static bool decode_member(const msgpack_object *o, struct dl_rlog_member *out)
{
	const msgpack_object *f = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size != MEMBER_FIELDS)
		return false;
	for (int i = 0; i < MEMBER_FIELDS; i++) {
		if (f[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	}
	out->vm = f[0].via.u64;
	out->id = f[1].via.u64;
	out->voter = f[2].via.u64 != 0;
	return true;
}

/* Decodes what rlog_members_encode() wrote; false if it is anything else. */
bool rlog_members_decode(struct dl_str s, struct dl_rlog_members *out)
{
	msgpack_unpacked u;
	bool ok;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&u);
	ok = msgpack_unpack_next(&u, s.s, s.n, NULL) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     u.data.type == MSGPACK_OBJECT_ARRAY &&
	     u.data.via.array.size <= DL_RLOG_MEMBERS_MAX;
	if (ok)
		out->count = u.data.via.array.size;
	for (uint32_t i = 0; ok && i < out->count; i++)
		ok = decode_member(&u.data.via.array.ptr[i], &out->at[i]);
	msgpack_unpacked_destroy(&u);
	return ok;
}

/* The member with an identity, or NULL. */
const struct dl_rlog_member *
rlog_member_find(const struct dl_rlog_members *members, uint64_t id)
{
	for (uint32_t i = 0; i < members->count; i++) {
		if (members->at[i].id == id)
			return &members->at[i];
	}
	return NULL;
}

/* The first member on a VM, or NULL. */
const struct dl_rlog_member *
rlog_member_of_vm(const struct dl_rlog_members *members, uint64_t vm)
{
	for (uint32_t i = 0; i < members->count; i++) {
		if (members->at[i].vm == vm)
			return &members->at[i];
	}
	return NULL;
}

/* The number of voters that form a majority. */
uint32_t rlog_majority(const struct dl_rlog_members *members)
{
	uint32_t voters = 0;

	for (uint32_t i = 0; i < members->count; i++)
		voters += members->at[i].voter;
	return voters / 2 + 1;
}

/* The ID of the log that these initial members create. */
uint64_t rlog_cluster_of(const struct dl_rlog_members *members)
{
	struct dl_str s = rlog_members_encode(members);
	uint64_t id = dl_hash(s, 0);

	free((char *)s.s);
	return id ? id : 1;
}

/* The state kept about a member; NULL for this replica and for non-members. */
struct rlog_peer *rlog_peer_find(struct dl_rlog *r, uint64_t id)
{
	for (uint32_t i = 0; i < r->peers_count; i++) {
		if (r->peers[i].member.id == id)
			return &r->peers[i];
	}
	return NULL;
}

/* Whether this replica is a voter. */
bool rlog_is_voter(const struct dl_rlog *r)
{
	const struct dl_rlog_member *m = rlog_member_find(&r->members, r->id);

	return m && m->voter;
}

static void peers_refresh(struct dl_rlog *r)
{
	struct rlog_peer old[DL_RLOG_MEMBERS_MAX];
	uint32_t old_count = r->peers_count;

	memcpy(old, r->peers, sizeof(old));
	memset(r->peers, 0, sizeof(r->peers));
	r->peers_count = 0;
	for (uint32_t i = 0; i < r->members.count; i++) {
		struct rlog_peer *p = &r->peers[r->peers_count];

		if (r->members.at[i].id == r->id)
			continue;
		p->heard = INT64_MIN;
		p->sent = INT64_MIN;
		p->acked_stamp = INT64_MIN;
		p->stored_at = INT64_MIN;
		p->disk_failed_at = INT64_MIN;
		p->next = rlog_last(&r->log) + 1;
		p->mode = RLOG_PROBE;
		p->send_now = true;
		for (uint32_t j = 0; j < r->joins_count; j++) {
			if (r->joins[j].id == r->members.at[i].id)
				p->domain = r->joins[j].domain;
		}
		for (uint32_t j = 0; j < old_count; j++) {
			if (old[j].member.id == r->members.at[i].id)
				*p = old[j];
		}
		p->member = r->members.at[i];
		r->peers_count++;
	}
}

/*
 * Finds the members in effect: the newest in the log, or else the snapshot's.
 */
void rlog_members_refresh(struct dl_rlog *r)
{
	r->members = r->snap.members;
	r->members_index = r->snap.index;
	for (uint64_t i = rlog_last(&r->log); i > r->snap.index; i--) {
		const struct dl_rlog_entry *e = rlog_at(&r->log, i);
		struct dl_rlog_members found;

		if (e->kind != DL_RLOG_MEMBERS)
			continue;
		if (!rlog_invariant(r, rlog_members_decode(e->data, &found),
				    "an entry of members is malformed"))
			return;
		r->members = found;
		r->members_index = i;
		break;
	}
	peers_refresh(r);
}
