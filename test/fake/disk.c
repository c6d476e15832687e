/* A disk in memory: each file as written and as synced. */
#include "disk.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A write, or a truncation to the offset if data is NULL. */
struct change {
	uint64_t offset;
	uint64_t n;
	guint8 *data;
	bool dropped; /* by a failed sync; no later one makes it durable */
};

static void change_clear(gpointer p)
{
	g_free(((struct change *)p)->data);
}

struct file {
	gint refs;
	GByteArray *now;
	GByteArray *synced;
	GArray *unsynced; /* of struct change, in the order of writing */
};

/* A name created, renamed or removed since the directory was synced. */
struct name_op {
	char *from; /* removed name; NULL for none */
	char *to;   /* created name; NULL for none */
	struct file *file;
};

struct pending {
	int64_t due;
	int code;
	struct dl_disk_done done;
	struct file *sync; /* the file that a sync covers */
	guint changes;	   /* number of writes that the sync covers */
	bool syncs_dir;
	guint names;
};

struct fake_disk {
	GRand *rand;
	int64_t now;
	uint32_t sync_min;
	uint32_t sync_max;
	uint64_t count;
	uint32_t fail_in; /* 0: never */
	int fail_code;
	int errors[FAKE_DISK_OP_COUNT]; /* 0: none */
	bool full;
	bool stalled;
	uint32_t crash_in;
	bool down;
	GHashTable *names; /* name to struct file */
	GHashTable *synced_names;
	GPtrArray *name_ops;
	GQueue pending;
};

static struct file *file_ref(struct file *f)
{
	f->refs++;
	return f;
}

static void file_unref(gpointer p)
{
	struct file *f = p;

	if (--f->refs)
		return;
	g_byte_array_free(f->now, TRUE);
	g_byte_array_free(f->synced, TRUE);
	g_array_free(f->unsynced, TRUE);
	g_free(f);
}

static void name_op_free(gpointer p)
{
	struct name_op *op = p;

	g_free(op->from);
	g_free(op->to);
	if (op->file)
		file_unref(op->file);
	g_free(op);
}

static void pending_free(gpointer p)
{
	struct pending *x = p;

	if (x->sync)
		file_unref(x->sync);
	g_free(x);
}

static GHashTable *names_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     file_unref);
}

struct fake_disk *fake_disk_new(uint32_t seed)
{
	struct fake_disk *d = g_new0(struct fake_disk, 1);

	d->rand = g_rand_new_with_seed(seed);
	d->names = names_new();
	d->synced_names = names_new();
	d->name_ops = g_ptr_array_new_with_free_func(name_op_free);
	g_queue_init(&d->pending);
	return d;
}

void fake_disk_free(struct fake_disk *d)
{
	g_queue_clear_full(&d->pending, pending_free);
	g_ptr_array_free(d->name_ops, TRUE);
	g_hash_table_destroy(d->names);
	g_hash_table_destroy(d->synced_names);
	g_rand_free(d->rand);
	g_free(d);
}

void fake_disk_set_sync_ms(struct fake_disk *d, uint32_t min, uint32_t max)
{
	d->sync_min = min;
	d->sync_max = max;
}

void fake_disk_fail_after(struct fake_disk *d, uint32_t ops, int code)
{
	d->fail_in = ops + 1;
	d->fail_code = code;
}

void fake_disk_set_full(struct fake_disk *d, bool full)
{
	d->full = full;
}

void fake_disk_set_error(struct fake_disk *d, enum fake_disk_op op, int code)
{
	d->errors[op] = code;
}

void fake_disk_stall(struct fake_disk *d)
{
	d->stalled = true;
}

void fake_disk_end_stall(struct fake_disk *d, int code)
{
	d->stalled = false;
	for (GList *l = d->pending.head; code && l; l = l->next)
		((struct pending *)l->data)->code = code;
}

void fake_disk_repair(struct fake_disk *d)
{
	d->fail_in = 0;
	d->full = false;
	d->stalled = false;
	memset(d->errors, 0, sizeof(d->errors));
}

void fake_disk_crash_after(struct fake_disk *d, uint32_t ops)
{
	d->crash_in = ops + 1;
}

bool fake_disk_is_down(const struct fake_disk *d)
{
	return d->down;
}

uint64_t fake_disk_op_count(const struct fake_disk *d)
{
	return d->count;
}

/*
 * Counts an operation and decides whether it fails; returns NULL if the VM goes
 * down.
 */
static struct pending *begin(struct fake_disk *d, enum fake_disk_op op,
			     struct dl_disk_done done, uint32_t ms)
{
	struct pending *x;

	if (d->crash_in && --d->crash_in == 0)
		d->down = true;
	if (d->down)
		return NULL;
	d->count++;
	x = g_new0(struct pending, 1);
	x->done = done;
	x->due = d->now + ms;
	x->code = d->errors[op];
	if (d->fail_in && --d->fail_in == 0)
		x->code = d->fail_code;
	g_queue_push_tail(&d->pending, x);
	return x;
}

static void name_op(struct fake_disk *d, const char *from, const char *to,
		    struct file *f)
{
	struct name_op *op = g_new0(struct name_op, 1);

	op->from = g_strdup(from);
	op->to = g_strdup(to);
	op->file = f ? file_ref(f) : NULL;
	g_ptr_array_add(d->name_ops, op);
}

static void put_bytes(GByteArray *to, uint64_t offset, const guint8 *data,
		      uint64_t n)
{
	guint had = to->len;

	if (to->len < offset + n) {
		g_byte_array_set_size(to, (guint)(offset + n));
		memset(to->data + had, 0, to->len - had);
	}
	if (n)
		memcpy(to->data + offset, data, n);
}

static void apply_change(GByteArray *to, const struct change *s)
{
	if (s->data)
		put_bytes(to, s->offset, s->data, s->n);
	else if (to->len > s->offset)
		g_byte_array_set_size(to, (guint)s->offset);
}

static struct file *create(struct fake_disk *d, const char *name)
{
	struct file *f = g_new0(struct file, 1);

	f->refs = 1;
	f->now = g_byte_array_new();
	f->synced = g_byte_array_new();
	f->unsynced = g_array_new(FALSE, FALSE, sizeof(struct change));
	g_array_set_clear_func(f->unsynced, change_clear);
	g_hash_table_insert(d->names, g_strdup(name), f);
	name_op(d, NULL, name, f);
	return f;
}

static void disk_write(void *disk, const char *name, uint64_t offset,
		       struct dl_str data, struct dl_disk_done done)
{
	struct fake_disk *d = disk;
	struct change change = { .offset = offset };
	struct pending *x = begin(d, FAKE_DISK_WRITE, done, 0);
	struct file *f;

	if (!x)
		return;
	if (d->full)
		x->code = -ENOSPC;
	f = g_hash_table_lookup(d->names, name);
	if (x->code) {
		if (!f && g_rand_boolean(d->rand))
			return;
		data.n = (size_t)g_rand_int_range(
			d->rand, 0, MAX((gint32)data.n + !d->full, 1));
	}
	if (!f)
		f = create(d, name);
	if (x->code && !data.n)
		return;
	put_bytes(f->now, offset, (const guint8 *)data.s, data.n);
	change.n = data.n;
	change.data = g_memdup2(data.s, data.n);
	g_array_append_val(f->unsynced, change);
}

static void disk_sync(void *disk, const char *name, struct dl_disk_done done)
{
	struct fake_disk *d = disk;
	struct file *f = g_hash_table_lookup(d->names, name);
	uint32_t ms = (uint32_t)g_rand_int_range(d->rand, (gint32)d->sync_min,
						 (gint32)d->sync_max + 1);
	struct pending *x = begin(d, FAKE_DISK_SYNC, done, ms);

	if (!x)
		return;
	if (!f) {
		x->code = -ENOENT;
		return;
	}
	x->sync = file_ref(f);
	x->changes = f->unsynced->len;
}

static void disk_rename(void *disk, const char *from, const char *to,
			struct dl_disk_done done)
{
	struct fake_disk *d = disk;
	struct pending *x = begin(d, FAKE_DISK_RENAME, done, 0);
	struct file *f;

	if (!x || x->code)
		return;
	f = g_hash_table_lookup(d->names, from);
	g_assert(f);
	g_hash_table_replace(d->names, g_strdup(to), file_ref(f));
	g_hash_table_remove(d->names, from);
	name_op(d, from, to, f);
}

static void disk_sync_dir(void *disk, struct dl_disk_done done)
{
	struct fake_disk *d = disk;
	struct pending *x = begin(d, FAKE_DISK_SYNC_DIR, done, d->sync_min);

	if (!x)
		return;
	x->syncs_dir = true;
	x->names = d->name_ops->len;
}

static void disk_unlink(void *disk, const char *name, struct dl_disk_done done)
{
	struct fake_disk *d = disk;
	struct pending *x = begin(d, FAKE_DISK_UNLINK, done, 0);

	if (!x || x->code)
		return;
	if (!g_hash_table_remove(d->names, name)) {
		x->code = -ENOENT;
		return;
	}
	name_op(d, name, NULL, NULL);
}

static int disk_read(void *disk, const char *name, char **out, size_t *n)
{
	struct fake_disk *d = disk;
	struct file *f = g_hash_table_lookup(d->names, name);

	if (d->errors[FAKE_DISK_READ])
		return d->errors[FAKE_DISK_READ];
	if (!f)
		return -ENOENT;
	*n = f->now->len;
	*out = malloc(*n + 1);
	if (*n)
		memcpy(*out, f->now->data, *n);
	return 0;
}

static int disk_list(void *disk, void (*each)(void *arg, const char *name),
		     void *arg)
{
	struct fake_disk *d = disk;
	GHashTableIter iter;
	gpointer name;

	if (d->errors[FAKE_DISK_LIST])
		return d->errors[FAKE_DISK_LIST];
	g_hash_table_iter_init(&iter, d->names);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		each(arg, name);
	return 0;
}

static int disk_truncate(void *disk, const char *name, uint64_t size)
{
	struct fake_disk *d = disk;
	struct file *f = g_hash_table_lookup(d->names, name);
	struct change change = { .offset = size };

	if (!f)
		return -ENOENT;
	g_byte_array_set_size(f->now, (guint)size);
	g_array_append_val(f->unsynced, change);
	return 0;
}

const struct dl_disk_ops fake_disk_ops = {
	.write = disk_write,
	.sync = disk_sync,
	.rename = disk_rename,
	.sync_dir = disk_sync_dir,
	.unlink = disk_unlink,
	.read = disk_read,
	.list = disk_list,
	.truncate = disk_truncate,
};

static void apply_name_ops(struct fake_disk *d, guint n)
{
	for (guint i = 0; i < n; i++) {
		struct name_op *op = g_ptr_array_index(d->name_ops, i);

		if (op->from)
			g_hash_table_remove(d->synced_names, op->from);
		if (op->to)
			g_hash_table_replace(d->synced_names, g_strdup(op->to),
					     file_ref(op->file));
	}
	if (n)
		g_ptr_array_remove_range(d->name_ops, 0, n);
}

/*
 * Data that is now durable hides what a failed sync dropped at the same place;
 * of a dropped write around it only the beginning is kept.
 */
static void hide_dropped(struct file *f, const struct change *by)
{
	uint64_t end = by->offset + by->n;

	for (guint i = 0; i < f->unsynced->len; i++) {
		struct change *c =
			&g_array_index(f->unsynced, struct change, i);
		uint64_t cut;

		if (!c->dropped || !c->data || c->offset >= end ||
		    c->offset + c->n <= by->offset)
			continue;
		if (c->offset < by->offset) {
			c->n = by->offset - c->offset;
			continue;
		}
		cut = MIN(end - c->offset, c->n);
		memmove(c->data, c->data + cut, c->n - cut);
		c->offset += cut;
		c->n -= cut;
	}
}

/* Makes the first writes that are not synced durable, except dropped ones. */
static void persist(struct file *f, guint n)
{
	guint i = 0;

	for (; n; n--) {
		struct change *c =
			&g_array_index(f->unsynced, struct change, i);

		if (c->dropped) {
			i++;
			continue;
		}
		apply_change(f->synced, c);
		if (c->data)
			hide_dropped(f, c);
		g_array_remove_index(f->unsynced, i);
	}
}

static void drop(struct file *f, guint n)
{
	for (guint i = 0; i < n; i++)
		g_array_index(f->unsynced, struct change, i).dropped = true;
}

/* A failed sync of the folder may drop the changes of names, too. */
static void finish_sync_dir(struct fake_disk *d, guint n, int code)
{
	if (!code)
		apply_name_ops(d, n);
	else if (n && g_rand_boolean(d->rand))
		g_ptr_array_remove_range(d->name_ops, 0, n);
}

static void finish(struct fake_disk *d, struct pending *x)
{
	struct dl_disk_done done = x->done;
	int code = x->code;

	if (x->sync && code)
		drop(x->sync, x->changes);
	else if (x->sync)
		persist(x->sync, x->changes);
	if (x->syncs_dir)
		finish_sync_dir(d, x->names, code);
	pending_free(x);
	done.fn(done.arg, code);
}

void fake_disk_run(struct fake_disk *d, int64_t now)
{
	d->now = now;
	while (!d->down && !d->stalled && d->pending.head) {
		struct pending *x = d->pending.head->data;

		if (x->due > now)
			return;
		g_queue_pop_head(&d->pending);
		finish(d, x);
	}
}

int64_t fake_disk_wakeup(const struct fake_disk *d)
{
	if (d->down || d->stalled || !d->pending.head)
		return INT64_MAX;
	return ((struct pending *)d->pending.head->data)->due;
}

/*
 * Applies of each write since the last sync nothing, all, or a part from its
 * beginning or up to its end.
 */
static void lose_unsynced_writes(struct fake_disk *d, struct file *f)
{
	GByteArray *left = g_byte_array_new();

	put_bytes(left, 0, f->synced->data, f->synced->len);
	for (guint i = 0; i < f->unsynced->len; i++) {
		struct change s = g_array_index(f->unsynced, struct change, i);
		uint64_t from = 0, to = s.n;

		if (!s.data) {
			if (g_rand_boolean(d->rand))
				apply_change(left, &s);
			continue;
		}
		switch (g_rand_int_range(d->rand, 0, 4)) {
		case 0:
			continue;
		case 1:
			to = (uint64_t)g_rand_int_range(d->rand, 0,
							(gint32)s.n + 1);
			break;
		case 2:
			from = (uint64_t)g_rand_int_range(d->rand, 0,
							  (gint32)s.n + 1);
			break;
		default:
			break;
		}
		put_bytes(left, s.offset + from, s.data + from, to - from);
	}
	g_byte_array_set_size(f->now, 0);
	put_bytes(f->now, 0, left->data, left->len);
	g_byte_array_free(left, TRUE);
}

/* Marks everything as synced: what survived the crash survives later ones. */
static void mark_all_synced(struct fake_disk *d)
{
	GHashTableIter iter;
	gpointer f;

	g_hash_table_iter_init(&iter, d->names);
	while (g_hash_table_iter_next(&iter, NULL, &f)) {
		struct file *file = f;

		g_array_set_size(file->unsynced, 0);
		g_byte_array_set_size(file->synced, 0);
		put_bytes(file->synced, 0, file->now->data, file->now->len);
	}
}

void fake_disk_kill(struct fake_disk *d)
{
	g_queue_clear_full(&d->pending, pending_free);
	d->down = false;
	d->crash_in = 0;
	d->fail_in = 0;
}

void fake_disk_crash(struct fake_disk *d)
{
	GHashTableIter iter;
	gpointer name, f;

	fake_disk_kill(d);
	apply_name_ops(d, (guint)g_rand_int_range(
				  d->rand, 0, (gint32)d->name_ops->len + 1));
	g_ptr_array_set_size(d->name_ops, 0);
	g_hash_table_remove_all(d->names);
	g_hash_table_iter_init(&iter, d->synced_names);
	while (g_hash_table_iter_next(&iter, &name, &f)) {
		lose_unsynced_writes(d, f);
		g_hash_table_replace(d->names, g_strdup(name), file_ref(f));
	}
	mark_all_synced(d);
}

void fake_disk_wipe(struct fake_disk *d)
{
	fake_disk_kill(d);
	fake_disk_repair(d);
	g_ptr_array_set_size(d->name_ops, 0);
	g_hash_table_remove_all(d->names);
	g_hash_table_remove_all(d->synced_names);
}

static struct file *largest(const struct fake_disk *d)
{
	struct file *best = NULL;
	GHashTableIter iter;
	gpointer f;

	g_hash_table_iter_init(&iter, d->names);
	while (g_hash_table_iter_next(&iter, NULL, &f)) {
		if (!best || ((struct file *)f)->now->len > best->now->len)
			best = f;
	}
	return best;
}

uint64_t fake_disk_bytes(const struct fake_disk *d)
{
	struct file *f = largest(d);

	return f ? f->now->len : 0;
}

uint32_t fake_disk_files(const struct fake_disk *d)
{
	return g_hash_table_size(d->names);
}

bool fake_disk_flip_bit(struct fake_disk *d, uint64_t at)
{
	struct file *f = largest(d);

	if (!f || !f->now->len)
		return false;
	f->now->data[at % f->now->len] ^= 1;
	return true;
}
