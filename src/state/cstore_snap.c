/*
 * Snapshots of the store: a msgpack header with counts, one array for each
 * version, answer, claim and evacuated domain, and a 64-bit checksum in network
 * order. Equal states give equal bytes.
 *
 * The header of a store without evacuations omits them, so that a release that
 * does not know them can read it.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "state/cstore_int.h"
#include "state/cstore_pack.h"

#define SNAP_FORMAT    1
#define SNAP_MAGIC     DL_STR("dl-cstore")
#define CHECKSUM_SEED  0x64616973
#define CHECKSUM_BYTES 8
#define HEAD_FIELDS    10
#define HEAD_EVACUATED 12 /* fields of a header with evacuations */
#define DOMAIN_FIELDS  1
#define CHANGE_FIELDS  8
#define ANSWER_FIELDS  5
#define CLAIM_FIELDS   8
#define TEXT_MAX       DL_CONF_TEXT_MAX

/* Reads a snapshot item by item. */
struct snap_reader {
	struct dl_str data;
	size_t offset;
	msgpack_unpacked item;
};

struct snap_counts {
	uint32_t history, answers, claims, evacuations;
};

static void put_head(msgpack_packer *pk, const struct dl_cstore *store);
static void put_change(msgpack_packer *pk, const struct change *c);
static void put_answer(msgpack_packer *pk, const struct answer *a);
static void put_claims(msgpack_packer *pk, const struct claims *claims);
static void put_evacuations(msgpack_packer *pk,
			    const struct dl_evacuations *evacuations);
static void put_checksum(msgpack_sbuffer *buf);
static bool checksum_ok(struct dl_str snapshot);
static struct pack_fields next_item(struct snap_reader *r, uint32_t fields);
static bool get_head(struct snap_reader *r, struct dl_cstore *store,
		     struct snap_counts *counts);
static bool get_change(struct snap_reader *r, struct dl_cstore *store,
		       bool newest);
static bool get_answer(struct snap_reader *r, struct dl_cstore *store);
static bool get_claim(struct snap_reader *r, struct dl_cstore *store);
static bool get_evacuation(struct snap_reader *r, struct dl_cstore *store);
static bool get_items(struct snap_reader *r, struct dl_cstore *store);

/* Write the header: the scalar state and the number of items of each type. */
static void put_head(msgpack_packer *pk, const struct dl_cstore *store)
{
	msgpack_pack_array(pk, store->evacuations.revision ? HEAD_EVACUATED :
							     HEAD_FIELDS);
	pack_put_str(pk, SNAP_MAGIC);
	msgpack_pack_uint8(pk, SNAP_FORMAT);
	msgpack_pack_uint64(pk, store->index);
	msgpack_pack_uint64(pk, store->version);
	msgpack_pack_uint64(pk, store->fence);
	msgpack_pack_int64(pk, store->clock_ms);
	msgpack_pack_int64(pk, store->wall_ms);
	msgpack_pack_uint32(pk, store->history_count);
	msgpack_pack_uint32(pk, store->answers_count);
	msgpack_pack_uint32(pk, claims_count(&store->claims));
	if (!store->evacuations.revision)
		return;
	msgpack_pack_uint64(pk, store->evacuations.revision);
	msgpack_pack_uint32(pk, store->evacuations.count);
}

/* Write a version, with its text if that is kept. */
static void put_change(msgpack_packer *pk, const struct change *c)
{
	msgpack_pack_array(pk, CHANGE_FIELDS);
	msgpack_pack_uint64(pk, c->version);
	msgpack_pack_int64(pk, c->wall_ms);
	msgpack_pack_uint64(pk, c->digest);
	msgpack_pack_uint64(pk, c->bytes);
	pack_put_str(pk, dl_name_str(&c->author));
	pack_put_str(pk, dl_name_str(&c->id));
	c->text ? msgpack_pack_true(pk) : msgpack_pack_false(pk);
	pack_put_str(pk, (struct dl_str){ c->text ? c->text : "",
					  c->text ? c->bytes : 0 });
}

static void put_answer(msgpack_packer *pk, const struct answer *a)
{
	msgpack_pack_array(pk, ANSWER_FIELDS);
	pack_put_str(pk, a->id);
	msgpack_pack_uint64(pk, a->text_hash);
	msgpack_pack_uint64(pk, a->expect);
	msgpack_pack_uint64(pk, a->version);
	msgpack_pack_int64(pk, a->code);
}

/* Write the claims of each queue, in their order. */
static void put_claims(msgpack_packer *pk, const struct claims *claims)
{
	for (unsigned i = 0; i < CLAIM_QUEUES; i++) {
		const struct claim *c = claims->queue[i].head;

		for (; c; c = c->next) {
			msgpack_pack_array(pk, CLAIM_FIELDS);
			pack_put_str(pk, c->key);
			msgpack_pack_uint8(pk, c->queue);
			msgpack_pack_int64(pk, c->expires_ms);
			msgpack_pack_uint64(pk, c->owner);
			msgpack_pack_uint64(pk, c->body_hash);
			c->done ? msgpack_pack_true(pk) :
				  msgpack_pack_false(pk);
			msgpack_pack_uint16(pk, c->status);
			pack_put_str(pk, (struct dl_str){ c->outcome,
							  c->outcome_n });
		}
	}
}

/* Write the evacuated domains, in the order in which they were. */
static void put_evacuations(msgpack_packer *pk,
			    const struct dl_evacuations *evacuations)
{
	for (uint32_t i = 0; i < evacuations->count; i++) {
		msgpack_pack_array(pk, DOMAIN_FIELDS);
		pack_put_str(pk, dl_name_str(&evacuations->domain[i]));
	}
}

/* Append the checksum of what was written. */
static void put_checksum(msgpack_sbuffer *buf)
{
	struct dl_str all = { buf->data, buf->size };
	uint64_t sum = dl_hash(all, CHECKSUM_SEED);
	char bytes[CHECKSUM_BYTES];

	for (int i = CHECKSUM_BYTES - 1; i >= 0; i--) {
		bytes[i] = (char)(sum & UINT8_MAX);
		sum >>= 8;
	}
	msgpack_sbuffer_write(buf, bytes, sizeof(bytes));
}

/* Return whether a snapshot ends with a valid checksum. */
static bool checksum_ok(struct dl_str snapshot)
{
	uint64_t sum = 0;

	if (!snapshot.s || snapshot.n < CHECKSUM_BYTES)
		return false;
	for (size_t i = snapshot.n - CHECKSUM_BYTES; i < snapshot.n; i++)
		sum = sum << 8 | (uint8_t)snapshot.s[i];
	snapshot.n -= CHECKSUM_BYTES;
	return dl_hash(snapshot, CHECKSUM_SEED) == sum;
}

/* A buffer that remembers if it lacks a part for want of memory. */
struct snap_buffer {
	msgpack_sbuffer buf;
	bool out_of_memory;
};

static int snap_write(void *arg, const char *data, size_t n)
{
	struct snap_buffer *b = arg;

	if (msgpack_sbuffer_write(&b->buf, data, n))
		b->out_of_memory = true;
	return b->out_of_memory ? -1 : 0;
}

/*
 * Write the whole state into *out, which the caller frees with free().  Return
 * 0, or -ENOMEM.
 */
int dl_cstore_snapshot(const struct dl_cstore *store, char **out, size_t *n)
{
	struct snap_buffer b = { .out_of_memory = false };
	msgpack_packer pk;

	msgpack_sbuffer_init(&b.buf);
	msgpack_packer_init(&pk, &b, snap_write);
	put_head(&pk, store);
	for (uint32_t i = store->history_count; i-- > 0;)
		put_change(&pk, cstore_change_at(store, i));
	for (uint32_t i = 0; i < store->answers_count; i++)
		put_answer(&pk, cstore_answer_at(store, i));
	put_claims(&pk, &store->claims);
	put_evacuations(&pk, &store->evacuations);
	if (b.out_of_memory) {
		msgpack_sbuffer_destroy(&b.buf);
		return -ENOMEM;
	}
	put_checksum(&b.buf);
	*n = b.buf.size;
	*out = msgpack_sbuffer_release(&b.buf);
	return *out ? 0 : -ENOMEM;
}

/* Read the next item of a snapshot; bad if there is none. */
static struct pack_fields next_item(struct snap_reader *r, uint32_t fields)
{
	struct dl_str rest = { r->data.s + r->offset, r->data.n - r->offset };

	if (pack_flat_size(rest) == 0 ||
	    msgpack_unpack_next(&r->item, r->data.s, r->data.n, &r->offset) !=
		    MSGPACK_UNPACK_SUCCESS)
		return (struct pack_fields){ .bad = true };
	return pack_begin(&r->item.data, fields);
}

static bool get_head(struct snap_reader *r, struct dl_cstore *store,
		     struct snap_counts *counts)
{
	struct pack_fields f = next_item(r, HEAD_FIELDS);
	bool evacuated = f.bad;

	if (evacuated)
		f = pack_begin(&r->item.data, HEAD_EVACUATED);
	if (!dl_str_eq(pack_str(&f, SNAP_MAGIC.n), SNAP_MAGIC) ||
	    pack_u64(&f, UINT8_MAX) != SNAP_FORMAT)
		return false;
	store->index = pack_u64(&f, UINT64_MAX);
	store->version = pack_u64(&f, UINT64_MAX);
	store->fence = pack_u64(&f, UINT64_MAX);
	store->clock_ms = pack_i64(&f);
	store->wall_ms = pack_i64(&f);
	counts->history = (uint32_t)pack_u64(&f, DL_CSTORE_HISTORY_MAX);
	counts->answers = (uint32_t)pack_u64(&f, DL_CSTORE_CHANGES_MAX);
	counts->claims = (uint32_t)pack_u64(&f, DL_CSTORE_CLAIMS_MAX);
	counts->evacuations = 0;
	if (evacuated) {
		store->evacuations.revision = pack_u64(&f, UINT64_MAX);
		counts->evacuations =
			(uint32_t)pack_u64(&f, DL_EVACUATIONS_MAX);
	}
	return !f.bad;
}

/*
 * Read a version. Versions are consecutive; the newest is in force and has its
 * text.
 */
static bool get_change(struct snap_reader *r, struct dl_cstore *store,
		       bool newest)
{
	struct pack_fields f = next_item(r, CHANGE_FIELDS);
	const struct change *last = cstore_change_at(store, 0);
	struct change c = { 0 };
	struct dl_str text;
	bool has_text;

	c.version = pack_u64(&f, UINT64_MAX);
	c.wall_ms = pack_i64(&f);
	c.digest = pack_u64(&f, UINT64_MAX);
	c.bytes = pack_u64(&f, TEXT_MAX);
	dl_name_set(&c.author, pack_str(&f, DL_NAME_MAX));
	dl_name_set(&c.id, pack_str(&f, DL_NAME_MAX));
	has_text = pack_bool(&f);
	text = pack_str(&f, TEXT_MAX);
	if (f.bad || (has_text && text.n != c.bytes) ||
	    (last && !has_text && last->text))
		return false;
	if (last && c.version != last->version + 1)
		return false;
	if (newest && (!has_text || c.version != store->version))
		return false;
	cstore_add_change(store, &c,
			  has_text ? text : (struct dl_str){ NULL, 0 });
	return true;
}

static bool get_answer(struct snap_reader *r, struct dl_cstore *store)
{
	struct pack_fields f = next_item(r, ANSWER_FIELDS);
	struct answer a = { 0 };

	a.id = pack_str(&f, DL_NAME_MAX);
	a.text_hash = pack_u64(&f, UINT64_MAX);
	a.expect = pack_u64(&f, UINT64_MAX);
	a.version = pack_u64(&f, UINT64_MAX);
	a.code = (int)pack_i64(&f);
	if (f.bad || g_hash_table_lookup(store->by_id, &a.id))
		return false;
	cstore_add_answer(store, &a);
	return true;
}

static bool get_claim(struct snap_reader *r, struct dl_cstore *store)
{
	struct pack_fields f = next_item(r, CLAIM_FIELDS);
	struct dl_str key = pack_str(&f, DL_CSTORE_KEY_MAX);
	unsigned queue = (unsigned)pack_u64(&f, CLAIM_QUEUES - 1);
	int64_t expires_ms = pack_i64(&f);
	struct claim *claim;

	if (f.bad || claims_find(&store->claims, key))
		return false;
	claim = claims_add(&store->claims, key, queue, expires_ms);
	claim->owner = pack_u64(&f, UINT64_MAX);
	claim->body_hash = pack_u64(&f, UINT64_MAX);
	claim->done = pack_bool(&f);
	claim->status = (uint16_t)pack_u64(&f, UINT16_MAX);
	return claims_set_outcome(&store->claims, claim,
				  pack_str(&f, DL_CSTORE_OUTCOME_MAX)) &&
	       !f.bad;
}

/* Read an evacuated domain; the revision is that of the header. */
static bool get_evacuation(struct snap_reader *r, struct dl_cstore *store)
{
	struct pack_fields f = next_item(r, DOMAIN_FIELDS);
	struct dl_str domain = pack_str(&f, DL_NAME_MAX);
	uint64_t revision = store->evacuations.revision;
	bool ok = !f.bad &&
		  dl_evacuations_set(&store->evacuations, domain, true) == 0;

	store->evacuations.revision = revision;
	return ok;
}

/* Read all items into an empty store. */
static bool get_items(struct snap_reader *r, struct dl_cstore *store)
{
	struct snap_counts n;

	if (!get_head(r, store, &n) || (n.history == 0 && store->version))
		return false;
	for (uint32_t i = 0; i < n.history; i++) {
		if (!get_change(r, store, i + 1 == n.history))
			return false;
	}
	for (uint32_t i = 0; i < n.answers; i++) {
		if (!get_answer(r, store))
			return false;
	}
	for (uint32_t i = 0; i < n.claims; i++) {
		if (!get_claim(r, store))
			return false;
	}
	for (uint32_t i = 0; i < n.evacuations; i++) {
		if (!get_evacuation(r, store))
			return false;
	}
	return r->offset == r->data.n;
}

/*
 * Parse the text in force. A text that this program rejects was accepted by an
 * earlier release and stays in force; the next change is then compared with
 * nothing.
 */
void cstore_parse_current(struct dl_cstore *store)
{
	struct dl_str text;

	store->conf = NULL;
	store->conf_unparsed = false;
	if (dl_cstore_text(store, 0, &text) &&
	    dl_conf_parse(text, &store->conf, &store->faults) != 0)
		store->conf = NULL;
}

/*
 * Replace the whole state by that of a snapshot. Returns -EINVAL if it is
 * damaged or not a snapshot; the state is then unchanged.
 */
int dl_cstore_restore(struct dl_cstore *store, struct dl_str snapshot)
{
	struct snap_reader r = { snapshot, 0, { 0 } };
	struct dl_cstore *next;
	bool ok;

	if (!checksum_ok(snapshot))
		return -EINVAL;
	r.data.n -= CHECKSUM_BYTES;
	next = dl_cstore_new();
	msgpack_unpacked_init(&r.item);
	ok = get_items(&r, next);
	msgpack_unpacked_destroy(&r.item);
	if (!ok) {
		dl_cstore_free(next);
		return -EINVAL;
	}
	cstore_parse_current(next);
	next->number = next->conf ? next->conf->number : 0;
	cstore_clear(store);
	memcpy(store, next, sizeof(*store));
	free(next);
	return 0;
}
