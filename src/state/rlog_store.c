/*
 * The journal on disk: one file "journal.GENERATION" of units.
 *
 * A unit is a header and a msgpack payload, and is what one write and one sync
 * make durable.  Its checksum covers both and, through prev, all units before
 * it.  After a sync a mark is written behind the unit, which the next unit
 * overwrites and nobody waits for: it says that the unit before it had been
 * synced.
 *
 * At the start, what does not check out at the very end was being written
 * when the VM went down, and nothing was promised on it: it is cut off.  A bad
 * unit with a good one or a mark behind it had been synced, and so had the
 * first unit of a generation, which gets its name only after its sync: there
 * the disk has lost what this replica promised, and it must not vote.
 *
 * A snapshot makes the next generation: a new file, synced, renamed, the
 * folder synced, then the old one unlinked.
 */
#include "state/rlog_int.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#define UNIT_MAGIC  0x646c6a75u
#define MARK_MAGIC  0x646c6a6du
#define NAME_PREFIX "journal."
#define TMP_NAME    "journal.tmp"
#define NAME_MAX_N  32
#define ROOT_FIELDS 7
#define UNIT_FIELDS 5
#define BUFFER_KEPT (64u << 10)

/* Little-endian on disk; daisyledge runs on little-endian VMs only. */
struct unit_header {
	uint32_t magic;
	uint32_t bytes; /* of the payload */
	uint64_t seq;	/* from 1 in each generation */
	uint64_t prev;	/* hash of the unit before; the generation at first */
	uint64_t hash;	/* of the fields above and the payload */
};

/* The steps of a write, in their order; each waits for the one before. */
enum store_step {
	STEP_WRITE,
	STEP_SYNC,
	STEP_RENAME,
	STEP_SYNC_FOLDER,
	STEP_UNLINK,
	STEP_MARK,
	STEP_END,
};

struct dl_rlog_store {
	struct dl_disk disk;
	uint64_t id;
	uint64_t generation;
	uint64_t old_generation; /* to unlink; 0 for none */
	uint64_t seq;
	uint64_t prev;
	uint64_t end;  /* where the next unit goes */
	bool begin;    /* nothing is stored yet */
	bool left_tmp; /* by a start before */
	char name[NAME_MAX_N];
	/* The write under way. */
	enum store_step step;
	bool whole;    /* it makes a generation */
	bool starting; /* it syncs what was read */
	msgpack_sbuffer buf;
	struct unit_header mark;
	struct dl_disk_done done;
};

/* Where the reader stands. */
struct reader {
	struct dl_str file;
	size_t at;
	uint64_t seq;
	uint64_t prev;
	struct dl_rlog_image *image;
};

static void step_done(void *arg, int code);
static void run_step(struct dl_rlog_store *s);
static void release_large(struct dl_rlog_store *s);
static enum store_step step_after(const struct dl_rlog_store *s);
static uint64_t hash_of(const struct unit_header *h, const char *payload);
static void begin_unit(struct dl_rlog_store *s);
static void seal_unit(struct dl_rlog_store *s);
static void make_mark(struct dl_rlog_store *s);
static void pack_entries(msgpack_packer *pk, const struct dl_rlog_record *unit);
static void pack_root(struct dl_rlog_store *s,
		      const struct dl_rlog_record *unit);
static void pack_unit(struct dl_rlog_store *s,
		      const struct dl_rlog_record *unit);
static void name_of(uint64_t generation, char out[NAME_MAX_N]);
static void each_name(void *arg, const char *name);
static int read_journal(struct dl_rlog_store *s, struct dl_rlog_image *image,
			struct dl_err *err);
static bool next_unit(const struct reader *rd, struct unit_header *h);
static bool good_at(const struct reader *rd, size_t at, uint64_t seq);
static bool good_behind(const struct reader *rd);
static bool take_payload(struct reader *rd, struct dl_str payload, bool first);
static bool take_root(struct reader *rd, const msgpack_object *f);
static bool take_unit(struct reader *rd, const msgpack_object *f);
static bool take_entries(struct reader *rd, const msgpack_object *o);
static bool take_entry(struct dl_rlog_image *image, const msgpack_object *o);

static void name_of(uint64_t generation, char out[NAME_MAX_N])
{
	snprintf(out, NAME_MAX_N, NAME_PREFIX "%016" PRIx64, generation);
}

static uint64_t hash_of(const struct unit_header *h, const char *payload)
{
	XXH3_state_t *x = XXH3_createState();
	uint64_t hash;

	XXH3_64bits_reset(x);
	XXH3_64bits_update(x, h, offsetof(struct unit_header, hash));
	XXH3_64bits_update(x, payload, h->bytes);
	hash = XXH3_64bits_digest(x);
	XXH3_freeState(x);
	return hash;
}

/* --- writing --- */

/* Leave room for the header. */
static void begin_unit(struct dl_rlog_store *s)
{
	struct unit_header h = { 0 };

	msgpack_sbuffer_clear(&s->buf);
	msgpack_sbuffer_write(&s->buf, (const char *)&h, sizeof(h));
}

/* Fill in the header of the unit in the buffer, and the mark behind it. */
static void seal_unit(struct dl_rlog_store *s)
{
	struct unit_header h = {
		.magic = UNIT_MAGIC,
		.bytes = (uint32_t)(s->buf.size - sizeof(h)),
		.seq = ++s->seq,
		.prev = s->prev,
	};

	h.hash = hash_of(&h, s->buf.data + sizeof(h));
	memcpy(s->buf.data, &h, sizeof(h));
	s->prev = h.hash;
	make_mark(s);
}

static void make_mark(struct dl_rlog_store *s)
{
	s->mark = (struct unit_header){
		.magic = MARK_MAGIC,
		.seq = s->seq,
		.prev = s->prev,
	};
	s->mark.hash = hash_of(&s->mark, "");
}

static void pack_entries(msgpack_packer *pk, const struct dl_rlog_record *unit)
{
	msgpack_pack_array(pk, unit->count);
	for (uint32_t i = 0; i < unit->count; i++) {
		const struct dl_rlog_entry *e = &unit->entries[i];

		msgpack_pack_array(pk, 4);
		msgpack_pack_uint64(pk, e->index);
		msgpack_pack_uint64(pk, e->term);
		msgpack_pack_uint64(pk, e->kind);
		msgpack_pack_bin(pk, e->data.n);
		msgpack_pack_bin_body(pk, e->data.s, e->data.n);
	}
}

/* [id, cluster, term, vote, base, snapshot or nil, entries] */
static void pack_root(struct dl_rlog_store *s,
		      const struct dl_rlog_record *unit)
{
	const struct dl_rlog_snapshot *snap = unit->snapshot;
	struct dl_str members = rlog_members_encode(&snap->members);
	msgpack_packer pk;

	msgpack_packer_init(&pk, &s->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ROOT_FIELDS);
	msgpack_pack_uint64(&pk, s->id);
	msgpack_pack_uint64(&pk, unit->cluster);
	msgpack_pack_uint64(&pk, unit->term);
	msgpack_pack_uint64(&pk, unit->vote);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, unit->base_index);
	msgpack_pack_uint64(&pk, unit->base_term);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_uint64(&pk, snap->index);
	msgpack_pack_uint64(&pk, snap->term);
	msgpack_pack_bin(&pk, members.n);
	msgpack_pack_bin_body(&pk, members.s, members.n);
	msgpack_pack_bin(&pk, snap->data.n);
	msgpack_pack_bin_body(&pk, snap->data.s, snap->data.n);
	pack_entries(&pk, unit);
	free((char *)members.s);
}

/* [cluster, term, vote, first index, entries] */
static void pack_unit(struct dl_rlog_store *s,
		      const struct dl_rlog_record *unit)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, &s->buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, UNIT_FIELDS);
	msgpack_pack_uint64(&pk, unit->cluster);
	msgpack_pack_uint64(&pk, unit->term);
	msgpack_pack_uint64(&pk, unit->vote);
	msgpack_pack_uint64(&pk, unit->count ? unit->entries[0].index : 0);
	pack_entries(&pk, unit);
}

/* Begin to write a unit; done is called once it is synced, or has failed. */
void dl_rlog_store_write(struct dl_rlog_store *s,
			 const struct dl_rlog_record *unit,
			 struct dl_disk_done done)
{
	s->done = done;
	s->whole = unit->snapshot != NULL;
	begin_unit(s);
	if (s->whole) {
		s->old_generation = s->generation++;
		name_of(s->generation, s->name);
		s->seq = 0;
		s->prev = s->generation;
		s->end = 0;
		pack_root(s, unit);
	} else {
		pack_unit(s, unit);
	}
	seal_unit(s);
	s->step = STEP_WRITE;
	run_step(s);
}

static enum store_step step_after(const struct dl_rlog_store *s)
{
	if (s->step == STEP_SYNC && s->starting)
		return STEP_SYNC_FOLDER;
	if (s->step == STEP_SYNC && !s->whole)
		return STEP_MARK;
	if (s->step == STEP_SYNC_FOLDER && !s->old_generation)
		return STEP_MARK;
	return s->step + 1;
}

/* A generation's buffer is as large as the state: not to be kept. */
static void release_large(struct dl_rlog_store *s)
{
	if (s->buf.alloc <= BUFFER_KEPT)
		return;
	msgpack_sbuffer_destroy(&s->buf);
	msgpack_sbuffer_init(&s->buf);
}

static void run_step(struct dl_rlog_store *s)
{
	struct dl_disk_done done = { step_done, s };
	const struct dl_disk_ops *ops = s->disk.ops;
	const char *name = s->whole ? TMP_NAME : s->name;
	struct dl_str data = { s->buf.data, s->buf.size };
	char old[NAME_MAX_N];

	switch (s->step) {
	case STEP_WRITE:
		ops->write(s->disk.disk, name, s->end, data, done);
		return;
	case STEP_SYNC:
		ops->sync(s->disk.disk, name, done);
		return;
	case STEP_RENAME:
		ops->rename(s->disk.disk, TMP_NAME, s->name, done);
		return;
	case STEP_SYNC_FOLDER:
		ops->sync_folder(s->disk.disk, done);
		return;
	case STEP_UNLINK:
		name_of(s->old_generation, old);
		ops->unlink(s->disk.disk, old, done);
		return;
	case STEP_MARK:
		s->end += s->buf.size;
		data = (struct dl_str){ (char *)&s->mark, sizeof(s->mark) };
		ops->write(s->disk.disk, s->name, s->end, data, done);
		return;
	case STEP_END:
		s->old_generation = 0;
		s->starting = false;
		release_large(s);
		s->done.fn(s->done.arg, 0);
		return;
	}
}

/* What was synced stays so when the unlink or the mark behind it fails. */
static void step_done(void *arg, int code)
{
	struct dl_rlog_store *s = arg;

	if (code && s->step != STEP_UNLINK && s->step != STEP_MARK) {
		s->done.fn(s->done.arg, code);
		return;
	}
	s->step = step_after(s);
	run_step(s);
}

/*
 * Make the start durable: the first generation of a new identity, or what was
 * read, which may have been in the cache of the VM only.
 */
void dl_rlog_store_start(struct dl_rlog_store *s, struct dl_disk_done done)
{
	struct dl_rlog_snapshot none = { 0 };
	struct dl_rlog_record unit = { .snapshot = &none };

	if (s->begin) {
		s->begin = false;
		dl_rlog_store_write(s, &unit, done);
		return;
	}
	s->done = done;
	s->whole = false;
	s->starting = true;
	msgpack_sbuffer_clear(&s->buf);
	make_mark(s);
	s->step = STEP_SYNC;
	run_step(s);
}

/* The size of the journal. */
uint64_t dl_rlog_store_bytes(const struct dl_rlog_store *s)
{
	return s->end;
}

/* Free the store; its files stay. */
void dl_rlog_store_free(struct dl_rlog_store *s)
{
	if (!s)
		return;
	msgpack_sbuffer_destroy(&s->buf);
	g_free(s);
}

/* --- reading --- */

/* Whether the unit where the reader stands is whole and the next one. */
static bool next_unit(const struct reader *rd, struct unit_header *h)
{
	if (rd->file.n - rd->at < sizeof(*h))
		return false;
	memcpy(h, rd->file.s + rd->at, sizeof(*h));
	return h->magic == UNIT_MAGIC && h->seq == rd->seq + 1 &&
	       h->prev == rd->prev &&
	       h->bytes <= rd->file.n - rd->at - sizeof(*h) &&
	       h->hash == hash_of(h, rd->file.s + rd->at + sizeof(*h));
}

/* Whether a good unit or mark of at least this number stands at a place. */
static bool good_at(const struct reader *rd, size_t at, uint64_t seq)
{
	struct unit_header h;

	if (rd->file.n - at < sizeof(h))
		return false;
	memcpy(&h, rd->file.s + at, sizeof(h));
	if (h.magic != UNIT_MAGIC && h.magic != MARK_MAGIC)
		return false;
	return h.seq >= seq && h.bytes <= rd->file.n - at - sizeof(h) &&
	       h.hash == hash_of(&h, rd->file.s + at + sizeof(h));
}

/* Whether anything behind the reader shows that what it is at was synced. */
static bool good_behind(const struct reader *rd)
{
	for (size_t at = rd->at + 1;
	     at + sizeof(struct unit_header) <= rd->file.n; at++) {
		if (good_at(rd, at, rd->seq + 1))
			return true;
	}
	return false;
}

static bool get(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool take_entry(struct dl_rlog_image *image, const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	struct dl_rlog_entry *e;
	uint64_t kind, index;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 4 ||
	    !get(&f[0], &index) || !get(&f[2], &kind) ||
	    kind > DL_RLOG_MEMBERS || f[3].type != MSGPACK_OBJECT_BIN ||
	    index != image->base_index + image->count + 1)
		return false;
	if (image->count == image->capacity) {
		image->capacity = image->capacity * 2 + 64;
		image->entries = g_renew(struct dl_rlog_entry, image->entries,
					 image->capacity);
	}
	e = &image->entries[image->count];
	if (!get(&f[1], &e->term))
		return false;
	e->index = index;
	e->kind = (enum dl_rlog_entry_kind)kind;
	e->data =
		(struct dl_str){ g_memdup2(f[3].via.bin.ptr, f[3].via.bin.size),
				 f[3].via.bin.size };
	image->count++;
	return true;
}

static bool take_entries(struct reader *rd, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (!take_entry(rd->image, &o->via.array.ptr[i]))
			return false;
	}
	return true;
}

static bool take_root(struct reader *rd, const msgpack_object *f)
{
	struct dl_rlog_image *image = rd->image;
	const msgpack_object *base = &f[4], *snap = &f[5], *s;

	if (!get(&f[0], &image->id) || !get(&f[1], &image->cluster) ||
	    !get(&f[2], &image->term) || !get(&f[3], &image->vote) ||
	    base->type != MSGPACK_OBJECT_ARRAY || base->via.array.size != 2 ||
	    !get(&base->via.array.ptr[0], &image->base_index) ||
	    !get(&base->via.array.ptr[1], &image->base_term) ||
	    snap->type != MSGPACK_OBJECT_ARRAY || snap->via.array.size != 4)
		return false;
	s = snap->via.array.ptr;
	if (!get(&s[0], &image->snapshot.index) ||
	    !get(&s[1], &image->snapshot.term) ||
	    s[2].type != MSGPACK_OBJECT_BIN || s[3].type != MSGPACK_OBJECT_BIN)
		return false;
	if (!rlog_members_decode((struct dl_str){ s[2].via.bin.ptr,
						  s[2].via.bin.size },
				 &image->snapshot.members))
		return false;
	image->snapshot.data =
		(struct dl_str){ g_memdup2(s[3].via.bin.ptr, s[3].via.bin.size),
				 s[3].via.bin.size };
	return take_entries(rd, &f[6]);
}

static bool take_unit(struct reader *rd, const msgpack_object *f)
{
	struct dl_rlog_image *image = rd->image;
	uint64_t first;

	if (!get(&f[0], &image->cluster) || !get(&f[1], &image->term) ||
	    !get(&f[2], &image->vote) || !get(&f[3], &first))
		return false;
	if (first && first <= image->base_index)
		return false;
	while (first && image->count &&
	       image->base_index + image->count >= first)
		g_free((char *)image->entries[--image->count].data.s);
	return take_entries(rd, &f[4]);
}

static bool take_payload(struct reader *rd, struct dl_str payload, bool first)
{
	uint32_t want = first ? ROOT_FIELDS : UNIT_FIELDS;
	msgpack_unpacked u;
	bool ok = false;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, payload.s, payload.n, NULL) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    u.data.type == MSGPACK_OBJECT_ARRAY &&
	    u.data.via.array.size == want)
		ok = first ? take_root(rd, u.data.via.array.ptr) :
			     take_unit(rd, u.data.via.array.ptr);
	msgpack_unpacked_destroy(&u);
	return ok;
}

static int read_units(struct dl_rlog_store *s, struct reader *rd,
		      struct dl_err *err)
{
	struct unit_header h;

	while (next_unit(rd, &h)) {
		struct dl_str payload = { rd->file.s + rd->at + sizeof(h),
					  h.bytes };

		if (!take_payload(rd, payload, h.seq == 1))
			return dl_err_set(err, DL_EDAMAGED, DL_STEP_STORE, NULL,
					  "unit %" PRIu64 " of %s at byte %zu "
					  "makes no sense",
					  h.seq, s->name, rd->at);
		rd->at += sizeof(h) + h.bytes;
		rd->seq = h.seq;
		rd->prev = h.hash;
	}
	if (rd->seq == 0 || good_behind(rd))
		return dl_err_set(err, DL_EDAMAGED, DL_STEP_STORE, NULL,
				  "%s is damaged at byte %zu, unit %" PRIu64
				  ", which had been synced",
				  s->name, rd->at, rd->seq + 1);
	return 0;
}

static int read_journal(struct dl_rlog_store *s, struct dl_rlog_image *image,
			struct dl_err *err)
{
	struct reader rd = { .image = image, .prev = s->generation };
	char *data = NULL;
	int code;

	code = s->disk.ops->read(s->disk.disk, s->name, &data, &rd.file.n);
	if (code)
		return dl_err_set(err, code, DL_STEP_STORE, NULL,
				  "cannot read %s: %s", s->name,
				  strerror(-code));
	rd.file.s = data;
	code = read_units(s, &rd, err);
	s->seq = rd.seq;
	s->prev = rd.prev;
	s->end = rd.at;
	s->id = image->id;
	if (!code && rd.at < rd.file.n)
		code = s->disk.ops->truncate(s->disk.disk, s->name, rd.at);
	if (code && code != DL_EDAMAGED)
		dl_err_set(err, code, DL_STEP_STORE, NULL, "cannot cut %s: %s",
			   s->name, strerror(-code));
	free(data);
	return code;
}

/* Find the newest generation, and one that it has replaced. */
static void each_name(void *arg, const char *name)
{
	struct dl_rlog_store *s = arg;
	uint64_t generation;

	if (strcmp(name, TMP_NAME) == 0)
		s->left_tmp = true;
	else if (strncmp(name, NAME_PREFIX, strlen(NAME_PREFIX)) == 0) {
		generation =
			g_ascii_strtoull(name + strlen(NAME_PREFIX), NULL, 16);
		s->old_generation =
			MAX(s->old_generation, MIN(s->generation, generation));
		s->generation = MAX(s->generation, generation);
	}
}

/* Open the journal, or prepare the first one. */
int dl_rlog_store_open(struct dl_disk disk, uint64_t new_id,
		       struct dl_rlog_store **out, struct dl_rlog_image *image,
		       struct dl_err *err)
{
	struct dl_rlog_store *s = g_new0(struct dl_rlog_store, 1);
	int code;

	memset(image, 0, sizeof(*image));
	*out = s;
	s->disk = disk;
	msgpack_sbuffer_init(&s->buf);
	code = disk.ops->list(disk.disk, each_name, s);
	if (code)
		return dl_err_set(err, code, DL_STEP_STORE, NULL,
				  "cannot list the data folder: %s",
				  strerror(-code));
	if (s->left_tmp)
		code = disk.ops->truncate(disk.disk, TMP_NAME, 0);
	if (code)
		return dl_err_set(err, code, DL_STEP_STORE, NULL,
				  "cannot cut " TMP_NAME ": %s",
				  strerror(-code));
	if (!s->generation) {
		s->begin = true;
		s->id = new_id;
		image->id = new_id;
		return 0;
	}
	name_of(s->generation, s->name);
	return read_journal(s, image, err);
}
