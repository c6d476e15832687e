/*
 * Wire format of membership datagrams: a msgpack array [kind, seq, sender,
 * [newest VM, its version], live members of the sender's domain, target, syncs,
 * updates].
 *
 * Sender and each update are [VM, incarnation, flags, version], followed by the
 * domain name if the domain is not the sender's; the sender always includes it.
 * Syncs are [tag, hash, age], all in one flat array.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "coordination/memb_int.h"

#define FIELDS		   8
#define UPDATE_FIELDS	   4
#define SYNC_FIELDS	   3
#define FLAG_STATE	   3 /* bit mask */
#define FLAG_REPLICA	   4
#define FLAG_DRAINING	   8
#define FLAGS_ALL	   15
#define UPDATE_BYTES_MAX   128 /* no update is longer */
#define ARRAY_HEADER_BYTES 3   /* header of a msgpack array */
#define AGE_UNKNOWN_MS	   3600000

/* A bounded output buffer. */
struct wire_buf {
	char *buf;
	size_t n;
	size_t max;
	bool full;
};

static int get_msg(const msgpack_object *o, uint64_t from,
		   struct memb_msg *out);
static bool get_u64(const msgpack_object *o, uint64_t max, uint64_t *out);
static bool get_update(const msgpack_object *o, struct dl_str domain,
		       struct memb_update *out);
static void pack_head(struct dl_memb *memb, msgpack_packer *pk,
		      const struct memb_intent *intent, int64_t now);
static void pack_update(msgpack_packer *pk, const struct memb_peer *peer,
			const struct dl_name *domain);
static int wire_write(void *arg, const char *buf, size_t n);

/* Appends bytes if all of them fit; otherwise marks the buffer as full. */
static int wire_write(void *arg, const char *buf, size_t n)
{
	struct wire_buf *out = arg;

	if (out->full || out->n + n > out->max) {
		out->full = true;
		return -1;
	}
	memcpy(out->buf + out->n, buf, n);
	out->n += n;
	return 0;
}

/* Reads an unsigned integer of at most max. */
static bool get_u64(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

/* Reads the state of one member; domain is the sender's. */
static bool get_update(const msgpack_object *o, struct dl_str domain,
		       struct memb_update *out)
{
	const msgpack_object *f = o->via.array.ptr;
	uint32_t n;
	uint64_t flags;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	n = o->via.array.size;
	if (n != UPDATE_FIELDS && n != UPDATE_FIELDS + 1)
		return false;
	if (!get_u64(&f[0], UINT64_MAX, &out->vm) || out->vm == DL_VM_NONE ||
	    !get_u64(&f[1], INT64_MAX, &out->incarnation) ||
	    !get_u64(&f[2], FLAGS_ALL, &flags) ||
	    !get_u64(&f[3], INT64_MAX, &out->config_version))
		return false;
	out->state = (enum dl_memb_state)(flags & FLAG_STATE);
	out->replica = flags & FLAG_REPLICA;
	out->draining = flags & FLAG_DRAINING;
	out->domain = domain;
	if (n == UPDATE_FIELDS)
		return domain.n > 0;
	if (f[4].type != MSGPACK_OBJECT_STR || f[4].via.str.size == 0 ||
	    f[4].via.str.size > DL_NAME_MAX)
		return false;
	out->domain = (struct dl_str){ f[4].via.str.ptr, f[4].via.str.size };
	return true;
}

/* Reads the summaries of domains. */
static bool get_syncs(const msgpack_object *o, struct memb_msg *out)
{
	const msgpack_object *f = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size % SYNC_FIELDS ||
	    o->via.array.size > MEMB_DOMAINS_MAX * SYNC_FIELDS)
		return false;
	out->nsync = o->via.array.size / SYNC_FIELDS;
	for (uint32_t i = 0; i < out->nsync; i++, f += SYNC_FIELDS) {
		uint64_t tag, hash, age;

		if (!get_u64(&f[0], UINT32_MAX, &tag) ||
		    !get_u64(&f[1], UINT32_MAX, &hash) ||
		    !get_u64(&f[2], UINT32_MAX, &age))
			return false;
		out->sync[i] = (struct memb_sync){ (uint32_t)tag,
						   (uint32_t)hash,
						   (uint32_t)age };
	}
	return true;
}

/* Reads the array of a datagram. */
static int get_msg(const msgpack_object *o, uint64_t from, struct memb_msg *out)
{
	const msgpack_object *f = o->via.array.ptr;
	const msgpack_object *newest;
	uint64_t kind, seq, live;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != FIELDS)
		return -EBADMSG;
	if (!get_u64(&f[0], MEMB_KIND_END - 1, &kind) || kind == 0 ||
	    !get_u64(&f[1], UINT32_MAX, &seq) ||
	    !get_update(&f[2], (struct dl_str){ "", 0 }, &out->self) ||
	    out->self.vm != from)
		return -EBADMSG;
	out->kind = (enum memb_kind)kind;
	out->seq = (uint32_t)seq;
	newest = f[3].via.array.ptr;
	if (f[3].type != MSGPACK_OBJECT_ARRAY || f[3].via.array.size != 2 ||
	    !get_u64(&newest[0], UINT64_MAX, &out->newest_vm) ||
	    !get_u64(&newest[1], INT64_MAX, &out->newest_version) ||
	    !get_u64(&f[4], MEMB_MEMBERS_MAX, &live) ||
	    !get_u64(&f[5], UINT64_MAX, &out->target) || !get_syncs(&f[6], out))
		return -EBADMSG;
	out->live = (uint32_t)live;
	if (f[7].type != MSGPACK_OBJECT_ARRAY ||
	    f[7].via.array.size > MEMB_UPDATES_MAX)
		return -EBADMSG;
	out->nupdates = f[7].via.array.size;
	for (uint32_t i = 0; i < out->nupdates; i++) {
		if (!get_update(&f[7].via.array.ptr[i], out->self.domain,
				&out->updates[i]))
			return -EBADMSG;
	}
	return 0;
}

/* Decodes a datagram; strings in out point into it. Returns 0 or -EBADMSG. */
int memb_decode(struct dl_str datagram, uint64_t from, struct memb_msg *out)
{
	msgpack_unpacked result;
	size_t off = 0;
	int r = -EBADMSG;

	if (datagram.n > DL_MEMB_DATAGRAM_MAX)
		return r;
	msgpack_unpacked_init(&result);
	if (msgpack_unpack_next(&result, datagram.s, datagram.n, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == datagram.n)
		r = get_msg(&result.data, from, out);
	msgpack_unpacked_destroy(&result);
	return r;
}

/* Packs a member, with its domain only if it differs from the given one. */
static void pack_update(msgpack_packer *pk, const struct memb_peer *peer,
			const struct dl_name *domain)
{
	const struct dl_member *m = &peer->m;
	bool named = !domain || !dl_name_eq(domain, dl_name_str(&m->domain));
	uint8_t flags = (uint8_t)peer->gossip_state;

	if (m->replica)
		flags |= FLAG_REPLICA;
	if (m->draining)
		flags |= FLAG_DRAINING;
	msgpack_pack_array(pk, UPDATE_FIELDS + (named ? 1 : 0));
	msgpack_pack_uint64(pk, m->vm);
	msgpack_pack_uint64(pk, m->incarnation);
	msgpack_pack_uint8(pk, flags);
	msgpack_pack_uint64(pk, m->config_version);
	if (!named)
		return;
	msgpack_pack_str(pk, m->domain.n);
	msgpack_pack_str_body(pk, m->domain.s, m->domain.n);
}

/*
 * Returns the time since a domain last answered a VM of our domain; 0 for our
 * own.
 */
static uint32_t domain_age(const struct dl_memb *memb, uint32_t domain,
			   int64_t now)
{
	int64_t age = now - memb->domains[domain].last_contact;

	if (domain == 0 || age < 0)
		return 0;
	return age > AGE_UNKNOWN_MS ? AGE_UNKNOWN_MS : (uint32_t)age;
}

/* Packs everything before the updates. */
static void pack_head(struct dl_memb *memb, msgpack_packer *pk,
		      const struct memb_intent *intent, int64_t now)
{
	uint64_t newest_vm;
	uint64_t newest = dl_memb_newest_config(memb, &newest_vm);
	uint32_t nsync = memb->ndomains;

	if (intent->kind == MEMB_PULL || intent->kind == MEMB_PAGE)
		nsync = 0;
	msgpack_pack_array(pk, FIELDS);
	msgpack_pack_uint8(pk, (uint8_t)intent->kind);
	msgpack_pack_uint32(pk, intent->seq);
	pack_update(pk, &memb->peers[0], NULL);
	msgpack_pack_array(pk, 2);
	msgpack_pack_uint64(pk, newest_vm);
	msgpack_pack_uint64(pk, newest);
	msgpack_pack_uint32(pk, memb->domains[0].live);
	msgpack_pack_uint64(pk, intent->target);
	msgpack_pack_array(pk, (size_t)nsync * SYNC_FIELDS);
	for (uint32_t i = 0; i < nsync; i++) {
		msgpack_pack_uint32(pk, memb->domains[i].tag);
		msgpack_pack_uint32(pk, memb->domains[i].hash);
		msgpack_pack_uint32(pk, domain_age(memb, i, now));
	}
}

/* Packs one member into the buffer of updates; false if it does not fit. */
static bool put_update(struct dl_memb *memb, struct wire_buf *out,
		       uint32_t *count, const struct memb_peer *peer)
{
	char one[UPDATE_BYTES_MAX];
	struct wire_buf one_buf = { one, 0, sizeof(one), false };
	msgpack_packer pk;

	msgpack_packer_init(&pk, &one_buf, wire_write);
	pack_update(&pk, peer, &memb->conf.domain);
	if (one_buf.full || out->n + one_buf.n > out->max)
		return false;
	wire_write(out, one, one_buf.n);
	(*count)++;
	return true;
}

/*
 * Packs the next page of a pulled domain; intent->page is 0 after the last
 * page.
 */
static void put_page(struct dl_memb *memb, struct wire_buf *out,
		     uint32_t *count, struct memb_intent *intent)
{
	uint32_t i = intent->page;

	for (; i < memb->npeers; i++) {
		const struct memb_peer *peer = &memb->peers[i];

		if (intent->target &&
		    memb->domains[peer->domain].tag != intent->target)
			continue;
		if (*count == MEMB_UPDATES_MAX ||
		    !put_update(memb, out, count, peer))
			break;
	}
	intent->page = i < memb->npeers ? i : 0;
}

/* Takes the member with the most retransmissions left out of the candidates. */
static struct memb_peer *next_gossip(struct dl_memb *memb, uint16_t *news,
				     uint32_t *n)
{
	uint32_t best = 0;
	uint16_t index;

	for (uint32_t i = 1; i < *n; i++) {
		if (memb->peers[news[i]].retransmits >
		    memb->peers[news[best]].retransmits)
			best = i;
	}
	index = news[best];
	news[best] = news[--*n];
	return &memb->peers[index];
}

/*
 * Packs gossip into a probe or ack. If the receiver itself is not alive as seen
 * here, that goes first so that it can refute. A receiver that is held to be
 * dead gets nothing else: it may have been cut off, and gets the rest once it
 * has answered.
 */
static void put_gossip(struct dl_memb *memb, struct wire_buf *out,
		       uint32_t *count, const struct memb_intent *intent)
{
	uint16_t news[MEMB_MEMBERS_MAX];
	struct memb_peer *to = memb_peer(memb, intent->to);
	struct memb_peer *target = memb_peer(memb, intent->target);
	uint32_t n = 0;

	if (to && to->gossip_state != DL_ALIVE)
		put_update(memb, out, count, to);
	if (to && to->gossip_state == DL_DEAD)
		return;
	if (intent->kind == MEMB_ACK && target)
		put_update(memb, out, count, target);
	if (memb->gossip_pending == 0)
		return;
	for (uint32_t i = 0; i < memb->npeers; i++) {
		if (memb->peers[i].retransmits && &memb->peers[i] != to)
			news[n++] = (uint16_t)i;
	}
	while (n && *count < MEMB_PIGGYBACK_MAX) {
		struct memb_peer *peer = next_gossip(memb, news, &n);

		if (!put_update(memb, out, count, peer))
			return;
		if (--peer->retransmits == 0)
			memb->gossip_pending--;
	}
}

/*
 * Encodes a datagram into buf of DL_MEMB_DATAGRAM_MAX bytes. Returns its
 * length, or 0 on failure.
 */
size_t memb_encode(struct dl_memb *memb, struct memb_intent *intent,
		   int64_t now, char *buf)
{
	char updates[DL_MEMB_DATAGRAM_MAX];
	struct wire_buf head = { buf, 0, memb->conf.datagram_max, false };
	struct wire_buf tail = { updates, 0, 0, false };
	uint32_t count = 0;
	msgpack_packer pk;

	msgpack_packer_init(&pk, &head, wire_write);
	pack_head(memb, &pk, intent, now);
	if (head.full || head.n + ARRAY_HEADER_BYTES > head.max)
		return 0;
	tail.max = head.max - head.n - ARRAY_HEADER_BYTES;
	if (intent->kind == MEMB_PAGE)
		put_page(memb, &tail, &count, intent);
	else
		put_gossip(memb, &tail, &count, intent);
	msgpack_pack_array(&pk, count);
	wire_write(&head, updates, tail.n);
	return head.full ? 0 : head.n;
}
