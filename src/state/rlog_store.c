/*
 * The journal on disk: one file "journal.GENERATION" of records.
 *
 * A record is a header and a msgpack payload, made durable by one write and one
 * sync.  Its checksum covers both and, through prev, all records before it.
 * After the sync a marker is written behind the record; it states that the
 * record before it has been synced.  The next record overwrites it, and nothing
 * waits for it.
 *
 * At startup, an invalid record at the very end was being written when the VM
 * went down; nothing was promised on it, so it is cut off.  An invalid record
 * with a valid one or a marker behind it had been synced, and so had the first
 * record of a generation, whose file gets its name only after its sync.  In
 * these cases the disk has lost what this replica promised, and it must not
 * vote.
 *
 * A snapshot starts a new generation: a new file is written, synced and
 * renamed, the directory synced, then the old file unlinked.  It is in use from
 * the sync of the directory on: an attempt that fails before is repeated under
 * the same name, so that a long failure leaves no more files than one attempt.
 *
 * After a failed write the state of the file is unknown, and a further sync of
 * it proves nothing: the kernel may have dropped the data that it could not
 * write, and report that only once.  So the next record must begin a new
 * generation.  The process may also end before it does.  Therefore a journal
 * whose last record has no marker, so that its sync may have failed, is copied
 * to a new file at startup.
 */
#include "state/rlog_int.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <xxhash.h>

#define RECORD_MAGIC	       0x646c6a75u
#define MARKER_MAGIC	       0x646c6a6du
#define NAME_PREFIX	       "journal."
#define TMP_NAME	       "journal.tmp"
#define NAME_SIZE	       32
#define SNAPSHOT_RECORD_FIELDS 7
#define RECORD_FIELDS	       5
#define BUFFER_KEEP_MAX	       (64u << 10)

/* Little-endian on disk; daisyledge runs on little-endian VMs only. */
struct record_header {
	uint32_t magic;
	uint32_t bytes; /* of the payload */
	uint64_t seq;	/* from 1 in each generation */
	uint64_t prev;	/* previous record's hash, or the generation */
	uint64_t hash;	/* of the fields above and the payload */
};

/* The steps of a write, in order; each waits for the one before. */
enum store_step {
	STEP_DISCARD, /* a temporary file of an earlier attempt */
	STEP_WRITE,
	STEP_SYNC,
	STEP_RENAME,
	STEP_SYNC_DIR,
	STEP_UNLINK,
	STEP_MARKER,
	STEP_END,
};

static const char *const step_names[] = {
	[STEP_DISCARD] = "unlink of the temporary file",
	[STEP_WRITE] = "write",
	[STEP_SYNC] = "sync",
	[STEP_RENAME] = "rename",
	[STEP_SYNC_DIR] = "sync of the folder",
	[STEP_UNLINK] = "unlink of an old file",
	[STEP_MARKER] = "write of the marker",
};

struct dl_rlog_store {
	struct dl_disk disk;
	uint64_t id;
	uint64_t generation; /* of the file in use; 0: none yet */
	uint64_t oldest;     /* the oldest whose file may exist */
	uint64_t seq;
	uint64_t prev;
	uint64_t end;	/* offset of the next record */
	bool empty;	/* nothing is stored yet */
	bool failed;	/* only a new generation may be written */
	bool stale_tmp; /* a temporary file may exist */
	char name[NAME_SIZE];
	/* The write in progress. */
	enum store_step step;
	bool busy;
	bool new_file; /* it replaces the file, as this generation: */
	uint64_t target;
	char target_name[NAME_SIZE];
	bool starting;	     /* it syncs what was read at startup */
	msgpack_sbuffer buf; /* what to write */
	bool out_of_memory;  /* the buffer lacks a part of it */
	struct record_header marker;
	struct dl_disk_done done;
	struct dl_rlog_store_errors errors;
};

/* The position of the reader. */
struct reader {
	struct dl_str file;
	size_t at;
	uint64_t seq;
	uint64_t prev;
	struct dl_rlog_image *image;
};

static void step_done(void *arg, int code);
static void run_step(struct dl_rlog_store *s);
static void release_large_buffer(struct dl_rlog_store *s);
static void write_new_file(struct dl_rlog_store *s, uint64_t generation);
static enum store_step step_after(const struct dl_rlog_store *s, bool failed);
static void note_error(struct dl_rlog_store *s, int code);
static void adopt_new_file(struct dl_rlog_store *s);
static bool may_fail(enum store_step step);
static uint64_t hash_of(const struct record_header *h, const char *payload);
static int buffer_write(void *arg, const char *data, size_t n);
static void begin_record(struct dl_rlog_store *s);
static void seal_record(struct dl_rlog_store *s);
static void make_marker(struct dl_rlog_store *s);
static void pack_entries(msgpack_packer *pk, const struct dl_rlog_record *rec);
static void pack_snapshot_record(struct dl_rlog_store *s,
				 const struct dl_rlog_record *rec);
static void pack_record(struct dl_rlog_store *s,
			const struct dl_rlog_record *rec);
static void name_of(uint64_t generation, char out[NAME_SIZE]);
static void scan_name(void *arg, const char *name);
static int read_journal(struct dl_rlog_store *s, struct dl_rlog_image *image,
			struct dl_err *err);
static bool next_record(const struct reader *rd, struct record_header *h);
static bool valid_record_at(const struct reader *rd, size_t at, uint64_t seq);
static bool valid_record_after(const struct reader *rd);
static bool ends_with_marker(const struct reader *rd);
static bool decode_payload(struct reader *rd, struct dl_str payload,
			   bool first);
static bool decode_snapshot_record(struct reader *rd, const msgpack_object *f);
static bool decode_record(struct reader *rd, const msgpack_object *f);
static bool decode_entries(struct reader *rd, const msgpack_object *o);
static bool decode_entry(struct dl_rlog_image *image, const msgpack_object *o);

static void name_of(uint64_t generation, char out[NAME_SIZE])
{
	snprintf(out, NAME_SIZE, NAME_PREFIX "%016" PRIx64, generation);
}

static uint64_t hash_of(const struct record_header *h, const char *payload)
{
	XXH3_state_t *x = XXH3_createState();
	uint64_t hash;

	XXH3_64bits_reset(x);
	XXH3_64bits_update(x, h, offsetof(struct record_header, hash));
	XXH3_64bits_update(x, payload, h->bytes);
	hash = XXH3_64bits_digest(x);
	XXH3_freeState(x);
	return hash;
}

/* --- writing --- */

/*
 * Adds data to the buffer.  The packing functions do not report a failure in
 * the middle of a record, which must not be written without that part.
 */
static int buffer_write(void *arg, const char *data, size_t n)
{
	struct dl_rlog_store *s = arg;

	if (msgpack_sbuffer_write(&s->buf, data, n))
		s->out_of_memory = true;
	return s->out_of_memory ? -1 : 0;
}

/* Starts a record, with space reserved for the header. */
static void begin_record(struct dl_rlog_store *s)
{
	struct record_header h = { 0 };

	msgpack_sbuffer_clear(&s->buf);
	s->out_of_memory = false;
	buffer_write(s, (const char *)&h, sizeof(h));
}

/* Fills in the header of the record in the buffer, and the marker behind it. */
static void seal_record(struct dl_rlog_store *s)
{
	struct record_header h = {
		.magic = RECORD_MAGIC,
		.bytes = (uint32_t)(s->buf.size - sizeof(h)),
		.seq = ++s->seq,
		.prev = s->prev,
	};

	h.hash = hash_of(&h, s->buf.data + sizeof(h));
	memcpy(s->buf.data, &h, sizeof(h));
	s->prev = h.hash;
	make_marker(s);
}

static void make_marker(struct dl_rlog_store *s)
{
	s->marker = (struct record_header){
		.magic = MARKER_MAGIC,
		.seq = s->seq,
		.prev = s->prev,
	};
	s->marker.hash = hash_of(&s->marker, "");
}

static void pack_entries(msgpack_packer *pk, const struct dl_rlog_record *rec)
{
	msgpack_pack_array(pk, rec->count);
	for (uint32_t i = 0; i < rec->count; i++) {
		const struct dl_rlog_entry *e = &rec->entries[i];

		msgpack_pack_array(pk, 4);
		msgpack_pack_uint64(pk, e->index);
		msgpack_pack_uint64(pk, e->term);
		msgpack_pack_uint64(pk, e->kind);
		msgpack_pack_bin(pk, e->data.n);
		msgpack_pack_bin_body(pk, e->data.s, e->data.n);
	}
}

/* [id, cluster, term, vote, base, snapshot or nil, entries] */
static void pack_snapshot_record(struct dl_rlog_store *s,
				 const struct dl_rlog_record *rec)
{
	const struct dl_rlog_snapshot *snap = rec->snapshot;
	struct dl_str members = rlog_members_encode(&snap->members);
	msgpack_packer pk;

	msgpack_packer_init(&pk, s, buffer_write);
	msgpack_pack_array(&pk, SNAPSHOT_RECORD_FIELDS);
	msgpack_pack_uint64(&pk, s->id);
	msgpack_pack_uint64(&pk, rec->cluster);
	msgpack_pack_uint64(&pk, rec->term);
	msgpack_pack_uint64(&pk, rec->vote);
	msgpack_pack_array(&pk, 2);
	msgpack_pack_uint64(&pk, rec->base_index);
	msgpack_pack_uint64(&pk, rec->base_term);
	msgpack_pack_array(&pk, 4);
	msgpack_pack_uint64(&pk, snap->index);
	msgpack_pack_uint64(&pk, snap->term);
	msgpack_pack_bin(&pk, members.n);
	msgpack_pack_bin_body(&pk, members.s, members.n);
	msgpack_pack_bin(&pk, snap->data.n);
	msgpack_pack_bin_body(&pk, snap->data.s, snap->data.n);
	pack_entries(&pk, rec);
	free((char *)members.s);
}

/* [cluster, term, vote, first index, entries] */
static void pack_record(struct dl_rlog_store *s,
			const struct dl_rlog_record *rec)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, s, buffer_write);
	msgpack_pack_array(&pk, RECORD_FIELDS);
	msgpack_pack_uint64(&pk, rec->cluster);
	msgpack_pack_uint64(&pk, rec->term);
	msgpack_pack_uint64(&pk, rec->vote);
	msgpack_pack_uint64(&pk, rec->count ? rec->entries[0].index : 0);
	pack_entries(&pk, rec);
}

/* Starts to replace the file by the content of the buffer. */
static void write_new_file(struct dl_rlog_store *s, uint64_t generation)
{
	s->new_file = true;
	s->target = generation;
	name_of(generation, s->target_name);
	s->end = 0;
	s->step = s->stale_tmp ? STEP_DISCARD : STEP_WRITE;
	run_step(s);
}

/*
 * Starts writing a record; done is called once it is synced or has failed.
 * Fails at once for a record without a snapshot after a failed write.
 */
void dl_rlog_store_write(struct dl_rlog_store *s,
			 const struct dl_rlog_record *rec,
			 struct dl_disk_done done)
{
	if (s->failed && !rec->snapshot) {
		done.fn(done.arg, -EIO);
		return;
	}
	s->done = done;
	begin_record(s);
	if (rec->snapshot)
		pack_snapshot_record(s, rec);
	else
		pack_record(s, rec);
	if (s->out_of_memory) {
		s->failed = true;
		msgpack_sbuffer_destroy(&s->buf);
		msgpack_sbuffer_init(&s->buf);
		done.fn(done.arg, -ENOMEM);
		return;
	}
	if (rec->snapshot) {
		s->seq = 0;
		s->prev = s->generation + 1;
		seal_record(s);
		write_new_file(s, s->generation + 1);
		return;
	}
	seal_record(s);
	s->new_file = false;
	s->step = STEP_WRITE;
	run_step(s);
}

/* The step after one that has been done, or whose failure does not matter. */
static enum store_step step_after(const struct dl_rlog_store *s, bool failed)
{
	switch (s->step) {
	case STEP_SYNC:
		if (s->new_file)
			return STEP_RENAME;
		return s->starting ? STEP_SYNC_DIR : STEP_MARKER;
	case STEP_SYNC_DIR:
	case STEP_UNLINK:
		return s->oldest < s->generation && !failed ? STEP_UNLINK :
							      STEP_MARKER;
	default:
		return s->step + 1;
	}
}

/* Frees a large buffer: that of a new generation is as large as the state. */
static void release_large_buffer(struct dl_rlog_store *s)
{
	if (s->buf.alloc <= BUFFER_KEEP_MAX)
		return;
	msgpack_sbuffer_destroy(&s->buf);
	msgpack_sbuffer_init(&s->buf);
}

static void run_step(struct dl_rlog_store *s)
{
	struct dl_disk_done done = { step_done, s };
	const struct dl_disk_ops *ops = s->disk.ops;
	const char *name = s->new_file ? TMP_NAME : s->name;
	struct dl_str data = { s->buf.data, s->buf.size };
	char old[NAME_SIZE];

	s->busy = s->step != STEP_END;
	switch (s->step) {
	case STEP_DISCARD:
		ops->unlink(s->disk.disk, TMP_NAME, done);
		return;
	case STEP_WRITE:
		s->stale_tmp = s->stale_tmp || s->new_file;
		ops->write(s->disk.disk, name, s->end, data, done);
		return;
	case STEP_SYNC:
		ops->sync(s->disk.disk, name, done);
		return;
	case STEP_RENAME:
		ops->rename(s->disk.disk, TMP_NAME, s->target_name, done);
		return;
	case STEP_SYNC_DIR:
		ops->sync_dir(s->disk.disk, done);
		return;
	case STEP_UNLINK:
		name_of(s->oldest, old);
		ops->unlink(s->disk.disk, old, done);
		return;
	case STEP_MARKER:
		s->end += s->buf.size;
		data = (struct dl_str){ (char *)&s->marker, sizeof(s->marker) };
		ops->write(s->disk.disk, s->name, s->end, data, done);
		return;
	case STEP_END:
		s->starting = false;
		s->failed = false;
		release_large_buffer(s);
		s->done.fn(s->done.arg, 0);
		return;
	}
}

static void note_error(struct dl_rlog_store *s, int code)
{
	s->errors.count++;
	s->errors.step = step_names[s->step];
	s->errors.code = code;
}

/* Takes the new file into use, which is durable under its name. */
static void adopt_new_file(struct dl_rlog_store *s)
{
	s->generation = s->target;
	name_of(s->generation, s->name);
}

/* Whether a step may fail: the record is durable all the same. */
static bool may_fail(enum store_step step)
{
	return step == STEP_UNLINK || step == STEP_MARKER;
}

/*
 * Runs the next step, or reports the failure of the write.  An old file that
 * could not be unlinked is left for the next generation.
 */
static void step_done(void *arg, int code)
{
	struct dl_rlog_store *s = arg;
	bool unlinks = s->step == STEP_DISCARD || s->step == STEP_UNLINK;

	if (unlinks && code == -ENOENT)
		code = 0;
	if (code)
		note_error(s, code);
	if (code && !may_fail(s->step)) {
		s->failed = true;
		s->starting = false;
		s->busy = false;
		s->done.fn(s->done.arg, code);
		return;
	}
	if (s->step == STEP_DISCARD || s->step == STEP_RENAME)
		s->stale_tmp = false;
	if (s->step == STEP_SYNC_DIR && s->new_file)
		adopt_new_file(s);
	if (s->step == STEP_UNLINK && !code)
		s->oldest++;
	s->step = step_after(s, code != 0);
	run_step(s);
}

/*
 * Makes the initial state durable: the first generation of a new identity, or
 * what was read, which may have been only in the VM's page cache.
 */
void dl_rlog_store_start(struct dl_rlog_store *s, struct dl_disk_done done)
{
	struct dl_rlog_snapshot none = { 0 };
	struct dl_rlog_record rec = { .snapshot = &none };

	if (s->empty) {
		s->empty = false;
		dl_rlog_store_write(s, &rec, done);
		return;
	}
	s->done = done;
	s->starting = true;
	make_marker(s);
	if (s->buf.size) {
		write_new_file(s, s->generation);
		return;
	}
	s->new_file = false;
	s->step = STEP_SYNC;
	run_step(s);
}

/* The size of the journal in bytes. */
uint64_t dl_rlog_store_bytes(const struct dl_rlog_store *s)
{
	return s->end;
}

/* Names the disk operation in progress; NULL if there is none. */
const char *dl_rlog_store_step(const struct dl_rlog_store *s)
{
	return s->busy ? step_names[s->step] : NULL;
}

/* The disk operations that failed, those without consequence included. */
struct dl_rlog_store_errors dl_rlog_store_errors(const struct dl_rlog_store *s)
{
	return s->errors;
}

/* Frees the store; its files remain. */
void dl_rlog_store_free(struct dl_rlog_store *s)
{
	if (!s)
		return;
	msgpack_sbuffer_destroy(&s->buf);
	g_free(s);
}

/* --- reading --- */

/* Whether there is a valid next record at the position of the reader. */
static bool next_record(const struct reader *rd, struct record_header *h)
{
	if (rd->file.n - rd->at < sizeof(*h))
		return false;
	memcpy(h, rd->file.s + rd->at, sizeof(*h));
	return h->magic == RECORD_MAGIC && h->seq == rd->seq + 1 &&
	       h->prev == rd->prev &&
	       h->bytes <= rd->file.n - rd->at - sizeof(*h) &&
	       h->hash == hash_of(h, rd->file.s + rd->at + sizeof(*h));
}

/*
 * Whether there is a valid record or marker of at least this number at an
 * offset.
 */
static bool valid_record_at(const struct reader *rd, size_t at, uint64_t seq)
{
	struct record_header h;

	if (rd->file.n - at < sizeof(h))
		return false;
	memcpy(&h, rd->file.s + at, sizeof(h));
	if (h.magic != RECORD_MAGIC && h.magic != MARKER_MAGIC)
		return false;
	return h.seq >= seq && h.bytes <= rd->file.n - at - sizeof(h) &&
	       h.hash == hash_of(&h, rd->file.s + at + sizeof(h));
}

/*
 * Whether a valid record or marker follows, which shows that the one at the
 * position of the reader had been synced.
 */
static bool valid_record_after(const struct reader *rd)
{
	for (size_t at = rd->at + 1;
	     at + sizeof(struct record_header) <= rd->file.n; at++) {
		if (valid_record_at(rd, at, rd->seq + 1))
			return true;
	}
	return false;
}

static bool get_uint(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool decode_entry(struct dl_rlog_image *image, const msgpack_object *o)
{
	const msgpack_object *f = o->via.array.ptr;
	struct dl_rlog_entry *e;
	uint64_t kind, index;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 4 ||
	    !get_uint(&f[0], &index) || !get_uint(&f[2], &kind) ||
	    kind > DL_RLOG_MEMBERS || f[3].type != MSGPACK_OBJECT_BIN ||
	    index != image->base_index + image->count + 1)
		return false;
	if (image->count == image->capacity) {
		image->capacity = image->capacity * 2 + 64;
		image->entries = g_renew(struct dl_rlog_entry, image->entries,
					 image->capacity);
	}
	e = &image->entries[image->count];
	if (!get_uint(&f[1], &e->term))
		return false;
	e->index = index;
	e->kind = (enum dl_rlog_entry_kind)kind;
	e->data =
		(struct dl_str){ g_memdup2(f[3].via.bin.ptr, f[3].via.bin.size),
				 f[3].via.bin.size };
	image->count++;
	return true;
}

static bool decode_entries(struct reader *rd, const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		if (!decode_entry(rd->image, &o->via.array.ptr[i]))
			return false;
	}
	return true;
}

static bool decode_snapshot_record(struct reader *rd, const msgpack_object *f)
{
	struct dl_rlog_image *image = rd->image;
	const msgpack_object *base = &f[4], *snap = &f[5], *s;

	if (!get_uint(&f[0], &image->id) || !get_uint(&f[1], &image->cluster) ||
	    !get_uint(&f[2], &image->term) || !get_uint(&f[3], &image->vote) ||
	    base->type != MSGPACK_OBJECT_ARRAY || base->via.array.size != 2 ||
	    !get_uint(&base->via.array.ptr[0], &image->base_index) ||
	    !get_uint(&base->via.array.ptr[1], &image->base_term) ||
	    snap->type != MSGPACK_OBJECT_ARRAY || snap->via.array.size != 4)
		return false;
	s = snap->via.array.ptr;
	if (!get_uint(&s[0], &image->snapshot.index) ||
	    !get_uint(&s[1], &image->snapshot.term) ||
	    s[2].type != MSGPACK_OBJECT_BIN || s[3].type != MSGPACK_OBJECT_BIN)
		return false;
	if (!rlog_members_decode((struct dl_str){ s[2].via.bin.ptr,
						  s[2].via.bin.size },
				 &image->snapshot.members))
		return false;
	image->snapshot.data =
		(struct dl_str){ g_memdup2(s[3].via.bin.ptr, s[3].via.bin.size),
				 s[3].via.bin.size };
	return decode_entries(rd, &f[6]);
}

static bool decode_record(struct reader *rd, const msgpack_object *f)
{
	struct dl_rlog_image *image = rd->image;
	uint64_t first;

	if (!get_uint(&f[0], &image->cluster) ||
	    !get_uint(&f[1], &image->term) || !get_uint(&f[2], &image->vote) ||
	    !get_uint(&f[3], &first))
		return false;
	if (first && first <= image->base_index)
		return false;
	while (first && image->count &&
	       image->base_index + image->count >= first)
		g_free((char *)image->entries[--image->count].data.s);
	return decode_entries(rd, &f[4]);
}

static bool decode_payload(struct reader *rd, struct dl_str payload, bool first)
{
	uint32_t want = first ? SNAPSHOT_RECORD_FIELDS : RECORD_FIELDS;
	msgpack_unpacked u;
	bool ok = false;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, payload.s, payload.n, NULL) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    u.data.type == MSGPACK_OBJECT_ARRAY &&
	    u.data.via.array.size == want)
		ok = first ? decode_snapshot_record(rd, u.data.via.array.ptr) :
			     decode_record(rd, u.data.via.array.ptr);
	msgpack_unpacked_destroy(&u);
	return ok;
}

static int read_records(struct dl_rlog_store *s, struct reader *rd,
			struct dl_err *err)
{
	struct record_header h;

	while (next_record(rd, &h)) {
		struct dl_str payload = { rd->file.s + rd->at + sizeof(h),
					  h.bytes };

		if (!decode_payload(rd, payload, h.seq == 1))
			return dl_err_set(err, DL_EDAMAGED, DL_STEP_STORE, NULL,
					  "record %" PRIu64
					  " of %s at byte %zu "
					  "is malformed",
					  h.seq, s->name, rd->at);
		rd->at += sizeof(h) + h.bytes;
		rd->seq = h.seq;
		rd->prev = h.hash;
	}
	if (rd->seq == 0 || valid_record_after(rd))
		return dl_err_set(err, DL_EDAMAGED, DL_STEP_STORE, NULL,
				  "%s is damaged at byte %zu, record %" PRIu64
				  ", which had been synced",
				  s->name, rd->at, rd->seq + 1);
	return 0;
}

/* Whether the file ends with the marker that its last record was synced. */
static bool ends_with_marker(const struct reader *rd)
{
	struct record_header h;

	if (rd->file.n - rd->at != sizeof(h))
		return false;
	memcpy(&h, rd->file.s + rd->at, sizeof(h));
	return h.magic == MARKER_MAGIC && h.seq == rd->seq &&
	       h.prev == rd->prev && valid_record_at(rd, rd->at, rd->seq);
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
	code = read_records(s, &rd, err);
	s->seq = rd.seq;
	s->prev = rd.prev;
	s->end = rd.at;
	s->id = image->id;
	if (!code && !ends_with_marker(&rd) &&
	    buffer_write(s, rd.file.s, rd.at))
		code = dl_err_set(err, -ENOMEM, DL_STEP_STORE, NULL,
				  "no memory to copy %s", s->name);
	free(data);
	return code;
}

/* Finds the newest and the oldest generation. */
static void scan_name(void *arg, const char *name)
{
	struct dl_rlog_store *s = arg;
	uint64_t generation;

	if (strcmp(name, TMP_NAME) == 0) {
		s->stale_tmp = true;
	} else if (strncmp(name, NAME_PREFIX, strlen(NAME_PREFIX)) == 0) {
		generation =
			g_ascii_strtoull(name + strlen(NAME_PREFIX), NULL, 16);
		s->generation = MAX(s->generation, generation);
		s->oldest = MIN(s->oldest, generation);
	}
}

/* Opens the journal, or prepares the first generation. */
int dl_rlog_store_open(struct dl_disk disk, uint64_t new_id,
		       struct dl_rlog_store **out, struct dl_rlog_image *image,
		       struct dl_err *err)
{
	struct dl_rlog_store *s = g_new0(struct dl_rlog_store, 1);
	int code;

	memset(image, 0, sizeof(*image));
	*out = s;
	s->disk = disk;
	s->oldest = UINT64_MAX;
	msgpack_sbuffer_init(&s->buf);
	code = disk.ops->list(disk.disk, scan_name, s);
	if (code)
		return dl_err_set(err, code, DL_STEP_STORE, NULL,
				  "cannot list the data folder: %s",
				  strerror(-code));
	if (!s->generation) {
		s->empty = true;
		s->oldest = 1;
		s->id = new_id;
		image->id = new_id;
		return 0;
	}
	name_of(s->generation, s->name);
	return read_journal(s, image, err);
}
