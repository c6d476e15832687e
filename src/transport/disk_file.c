/*
 * Disk over the files of one data folder: a queue of operations, each carried
 * out by one or more uv_fs requests.
 *
 * Linux reports an error of writeback once to each descriptor that was open
 * when it occurred.  To a descriptor opened later it reports the error only if
 * no other has been told, and not at all once the file has left the memory.  So
 * a file stays open from a write to the sync that answers for it.  After a sync
 * that failed, the next one would succeed though the data may have been
 * dropped; so all syncs of that file fail until it is removed or replaced.
 */
#include "transport/disk_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include <glib.h>

#define LOCK_NAME  "lock"
#define FILE_MODE  0600
#define PATH_BYTES 512
#define NAME_BYTES 64

enum op_kind {
	OP_WRITE,
	OP_SYNC,
	OP_RENAME,
	OP_SYNC_FOLDER,
	OP_UNLINK,
	OP_KIND_COUNT,
};

struct op {
	enum op_kind kind;
	char name[NAME_BYTES];
	char to[NAME_BYTES];
	uint64_t offset;
	struct dl_str data;
	struct dl_disk_done done;
};

struct open_file {
	int fd;
	char name[NAME_BYTES];
	bool unsynced;	/* written since the last sync that succeeded */
	int sync_error; /* of the first sync that failed, or 0 */
};

struct dl_disk_file {
	uv_loop_t *loop;
	char folder[PATH_BYTES - NAME_BYTES];
	int dir_fd;
	int lock_fd;
	/*
	 * struct open_file: those written since their sync, and the file used
	 * most recently.
	 */
	GList *open_files;
	GQueue ops; /* of struct op; the first is in progress */
	uv_fs_t req;
};

static void op_write(struct dl_disk_file *f, struct op *op);
static void op_sync(struct dl_disk_file *f, struct op *op);
static void op_rename(struct dl_disk_file *f, struct op *op);
static void op_sync_folder(struct dl_disk_file *f, struct op *op);
static void op_unlink(struct dl_disk_file *f, struct op *op);
static void close_file(struct dl_disk_file *f, struct open_file *file);
static void close_synced_files(struct dl_disk_file *f);
static void start_next(struct dl_disk_file *f);
static void run_op(struct dl_disk_file *f);
static void end_op(struct dl_disk_file *f, int code);
static void on_opened(uv_fs_t *req);
static void on_op_done(uv_fs_t *req);
static void on_op_written(uv_fs_t *req);
static void on_op_synced(uv_fs_t *req);
static void on_op_renamed(uv_fs_t *req);
static void close_folder(struct dl_disk_file *f);
static int open_folder(struct dl_disk_file *f, struct dl_err *err);
static int ensure_open(struct dl_disk_file *f);
static void enqueue(struct dl_disk_file *f, enum op_kind kind, const char *name,
		    struct op *op, struct dl_disk_done done);

/* Flags to open the file of an operation; 0: it needs none. */
static const int open_flags[OP_KIND_COUNT] = {
	[OP_WRITE] = O_RDWR | O_CREAT,
	[OP_SYNC] = O_RDWR,
};

static void (*const op_handlers[OP_KIND_COUNT])(struct dl_disk_file *f,
						struct op *op) = {
	[OP_WRITE] = op_write,	 [OP_SYNC] = op_sync,
	[OP_RENAME] = op_rename, [OP_SYNC_FOLDER] = op_sync_folder,
	[OP_UNLINK] = op_unlink,
};

static void make_path(const struct dl_disk_file *f, const char *name,
		      char out[PATH_BYTES])
{
	snprintf(out, PATH_BYTES, "%s/%s", f->folder, name);
}

static struct op *current_op(struct dl_disk_file *f)
{
	return f->ops.head ? f->ops.head->data : NULL;
}

static struct open_file *find_file(const struct dl_disk_file *f,
				   const char *name)
{
	for (GList *l = f->open_files; l; l = l->next) {
		struct open_file *file = l->data;

		if (strcmp(file->name, name) == 0)
			return file;
	}
	return NULL;
}

/*
 * Closes a file; NULL is ignored.  An error of close() is about writes that
 * were synced before, or about a file that is removed or replaced, so nobody
 * waits for it.  The descriptor is gone in any case.
 */
static void close_file(struct dl_disk_file *f, struct open_file *file)
{
	if (!file)
		return;
	close(file->fd);
	f->open_files = g_list_remove(f->open_files, file);
	g_free(file);
}

static void close_synced_files(struct dl_disk_file *f)
{
	GList *next;

	for (GList *l = f->open_files; l; l = next) {
		struct open_file *file = l->data;

		next = l->next;
		if (!file->unsynced)
			close_file(f, file);
	}
}

static void start_next(struct dl_disk_file *f)
{
	struct op *op = current_op(f);
	char path[PATH_BYTES];
	int code;

	if (!op)
		return;
	code = ensure_open(f);
	if (code) {
		end_op(f, code);
		return;
	}
	if (!open_flags[op->kind] || find_file(f, op->name)) {
		run_op(f);
		return;
	}
	close_synced_files(f);
	make_path(f, op->name, path);
	uv_fs_open(f->loop, &f->req, path, open_flags[op->kind], FILE_MODE,
		   on_opened);
}

static void on_opened(uv_fs_t *req)
{
	struct dl_disk_file *f = req->data;
	int result = (int)req->result;
	struct open_file *file;

	uv_fs_req_cleanup(req);
	if (result < 0) {
		end_op(f, result);
		return;
	}
	file = g_new0(struct open_file, 1);
	file->fd = result;
	g_strlcpy(file->name, current_op(f)->name, sizeof(file->name));
	f->open_files = g_list_prepend(f->open_files, file);
	run_op(f);
}

static void run_op(struct dl_disk_file *f)
{
	struct op *op = current_op(f);

	op_handlers[op->kind](f, op);
}

static void end_op(struct dl_disk_file *f, int code)
{
	struct op *op = g_queue_pop_head(&f->ops);
	struct dl_disk_done done = op->done;
	bool idle = f->ops.head == NULL;

	g_free(op);
	done.fn(done.arg, code);
	/* If the queue was empty, the callback has started any new one. */
	if (!idle)
		start_next(f);
}

static void on_op_done(uv_fs_t *req)
{
	struct dl_disk_file *f = req->data;
	int code = req->result < 0 ? (int)req->result : 0;

	uv_fs_req_cleanup(req);
	end_op(f, code);
}

static void op_write(struct dl_disk_file *f, struct op *op)
{
	struct open_file *file = find_file(f, op->name);
	uv_buf_t buf = uv_buf_init((char *)op->data.s, (unsigned)op->data.n);

	file->unsynced = true;
	uv_fs_write(f->loop, &f->req, file->fd, &buf, 1, (int64_t)op->offset,
		    on_op_written);
}

/* Continues a short write with the rest of the data. */
static void on_op_written(uv_fs_t *req)
{
	struct dl_disk_file *f = req->data;
	struct op *op = current_op(f);
	ssize_t n = req->result;

	uv_fs_req_cleanup(req);
	if (n < 0) {
		end_op(f, (int)n);
		return;
	}
	op->data.s += n;
	op->data.n -= (size_t)n;
	op->offset += (uint64_t)n;
	if (n == 0 && op->data.n)
		end_op(f, -EIO);
	else if (op->data.n)
		op_write(f, op);
	else
		end_op(f, 0);
}

static void op_sync(struct dl_disk_file *f, struct op *op)
{
	const struct open_file *file = find_file(f, op->name);

	if (file->sync_error) {
		end_op(f, file->sync_error);
		return;
	}
	uv_fs_fdatasync(f->loop, &f->req, file->fd, on_op_synced);
}

static void on_op_synced(uv_fs_t *req)
{
	struct dl_disk_file *f = req->data;
	struct open_file *file = find_file(f, current_op(f)->name);

	file->unsynced = req->result < 0;
	file->sync_error = req->result < 0 ? (int)req->result : 0;
	on_op_done(req);
}

static void op_rename(struct dl_disk_file *f, struct op *op)
{
	char from[PATH_BYTES], to[PATH_BYTES];

	make_path(f, op->name, from);
	make_path(f, op->to, to);
	uv_fs_rename(f->loop, &f->req, from, to, on_op_renamed);
}

/* The open file, if any, goes on under its new name. */
static void on_op_renamed(uv_fs_t *req)
{
	struct dl_disk_file *f = req->data;
	const struct op *op = current_op(f);
	struct open_file *file = find_file(f, op->name);

	if (req->result >= 0) {
		close_file(f, find_file(f, op->to));
		if (file)
			g_strlcpy(file->name, op->to, sizeof(file->name));
	}
	on_op_done(req);
}

static void op_sync_folder(struct dl_disk_file *f, struct op *op)
{
	uv_fs_fsync(f->loop, &f->req, f->dir_fd, on_op_done);
}

static void op_unlink(struct dl_disk_file *f, struct op *op)
{
	char path[PATH_BYTES];

	close_file(f, find_file(f, op->name));
	make_path(f, op->name, path);
	uv_fs_unlink(f->loop, &f->req, path, on_op_done);
}

static void enqueue(struct dl_disk_file *f, enum op_kind kind, const char *name,
		    struct op *op, struct dl_disk_done done)
{
	bool idle = f->ops.head == NULL;

	op->kind = kind;
	op->done = done;
	g_strlcpy(op->name, name, sizeof(op->name));
	g_queue_push_tail(&f->ops, op);
	if (idle)
		start_next(f);
}

/* --- struct dl_disk_ops --- */

static void disk_write(void *disk, const char *name, uint64_t offset,
		       struct dl_str data, struct dl_disk_done done)
{
	struct op *op = g_new0(struct op, 1);

	op->offset = offset;
	op->data = data;
	enqueue(disk, OP_WRITE, name, op, done);
}

static void disk_sync(void *disk, const char *name, struct dl_disk_done done)
{
	enqueue(disk, OP_SYNC, name, g_new0(struct op, 1), done);
}

static void disk_rename(void *disk, const char *from, const char *to,
			struct dl_disk_done done)
{
	struct op *op = g_new0(struct op, 1);

	g_strlcpy(op->to, to, sizeof(op->to));
	enqueue(disk, OP_RENAME, from, op, done);
}

static void disk_sync_folder(void *disk, struct dl_disk_done done)
{
	enqueue(disk, OP_SYNC_FOLDER, "", g_new0(struct op, 1), done);
}

static void disk_unlink(void *disk, const char *name, struct dl_disk_done done)
{
	enqueue(disk, OP_UNLINK, name, g_new0(struct op, 1), done);
}

static int read_all(int fd, char *out, size_t n)
{
	size_t had = 0;

	while (had < n) {
		ssize_t got = read(fd, out + had, n - had);

		if (got < 0 && errno == EINTR)
			continue;
		if (got < 0)
			return -errno;
		if (got == 0)
			return -EIO;
		had += (size_t)got;
	}
	return 0;
}

/* Reads an open file from its start into new memory. */
static int read_file(int fd, char **out, size_t *n)
{
	off_t size = lseek(fd, 0, SEEK_END);
	int code;

	if (size < 0 || lseek(fd, 0, SEEK_SET) < 0)
		return -errno;
	*n = (size_t)size;
	*out = malloc(*n + 1);
	if (!*out)
		return -ENOMEM;
	code = read_all(fd, *out, *n);
	if (code) {
		free(*out);
		*out = NULL;
	}
	return code;
}

static int disk_read(void *disk, const char *name, char **out, size_t *n)
{
	char path[PATH_BYTES];
	int fd, code;

	code = ensure_open(disk);
	if (code)
		return code;
	make_path(disk, name, path);
	fd = open(path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return -errno;
	code = read_file(fd, out, n);
	close(fd);
	return code;
}

static int disk_list(void *disk, void (*each)(void *arg, const char *name),
		     void *arg)
{
	struct dl_disk_file *f = disk;
	uv_dirent_t entry;
	uv_fs_t req;
	int code = ensure_open(f);

	if (code)
		return code;
	code = uv_fs_scandir(NULL, &req, f->folder, 0, NULL);
	while (code >= 0 && uv_fs_scandir_next(&req, &entry) == 0)
		each(arg, entry.name);
	uv_fs_req_cleanup(&req);
	return code < 0 ? code : 0;
}

static int disk_truncate(void *disk, const char *name, uint64_t size)
{
	char path[PATH_BYTES];

	make_path(disk, name, path);
	return truncate(path, (off_t)size) ? -errno : 0;
}

static const struct dl_disk_ops disk_file_ops = {
	.write = disk_write,
	.sync = disk_sync,
	.rename = disk_rename,
	.sync_dir = disk_sync_folder,
	.unlink = disk_unlink,
	.read = disk_read,
	.list = disk_list,
	.truncate = disk_truncate,
};

static int busy(const struct dl_disk_file *f, struct dl_err *err)
{
	return dl_err_set(err, -EBUSY, DL_STEP_STORE, NULL,
			  "%s is locked by another process", f->folder);
}

/*
 * Opens the file "lock", or creates it.  Only if it does not exist, so that no
 * process can hold a lock on it, may that fail: -1 is then left as descriptor.
 */
static int open_lock_file(struct dl_disk_file *f, bool needed,
			  struct dl_err *err)
{
	char path[PATH_BYTES];

	make_path(f, LOCK_NAME, path);
	f->lock_fd = open(path, O_RDWR | O_CLOEXEC);
	if (f->lock_fd < 0 && errno == ENOENT) {
		f->lock_fd =
			open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
		if (f->lock_fd < 0 && !needed)
			return 0;
	}
	if (f->lock_fd < 0)
		return dl_err_set(err, -errno, DL_STEP_STORE, NULL,
				  "cannot open %s: %s", path, strerror(errno));
	return 0;
}

/*
 * Locks the folder; a second process using it would corrupt the journal.  The
 * folder itself can be locked on a full disk, where no file can be created.
 * Processes of older versions lock only a file in it, and some network file
 * systems lock only files; so that is locked too if it can be.
 */
static int take_lock(struct dl_disk_file *f, struct dl_err *err)
{
	bool locked = flock(f->dir_fd, LOCK_EX | LOCK_NB) == 0;
	int code;

	if (!locked && errno == EWOULDBLOCK)
		return busy(f, err);
	code = open_lock_file(f, !locked, err);
	if (code || f->lock_fd < 0)
		return code;
	return flock(f->lock_fd, LOCK_EX | LOCK_NB) ? busy(f, err) : 0;
}

static void close_folder(struct dl_disk_file *f)
{
	if (f->dir_fd >= 0)
		close(f->dir_fd);
	if (f->lock_fd >= 0)
		close(f->lock_fd);
	f->dir_fd = f->lock_fd = -1;
}

static int open_folder(struct dl_disk_file *f, struct dl_err *err)
{
	int code;

	f->dir_fd = open(f->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (f->dir_fd < 0)
		return dl_err_set(err, -errno, DL_STEP_STORE, NULL,
				  "cannot open %s: %s", f->folder,
				  strerror(errno));
	code = take_lock(f, err);
	if (code)
		close_folder(f);
	return code;
}

/* Opens the folder unless it is open; returns 0 or a negative errno. */
static int ensure_open(struct dl_disk_file *f)
{
	struct dl_err err;

	return f->dir_fd >= 0 ? 0 : open_folder(f, &err);
}

/*
 * Opens a data folder, which must exist, and locks it against other processes.
 * If it cannot be opened now, but may be later, the first operations try again,
 * and fail until one succeeds.  Returns 0, -EBUSY if another process holds the
 * lock, or a negative errno.
 */
int dl_disk_file_open(uv_loop_t *loop, const char *folder,
		      struct dl_disk_file **out, struct dl_err *err)
{
	struct dl_disk_file *f = g_new0(struct dl_disk_file, 1);
	int code;

	f->loop = loop;
	f->dir_fd = f->lock_fd = -1;
	f->req.data = f;
	g_queue_init(&f->ops);
	g_strlcpy(f->folder, folder, sizeof(f->folder));
	code = open_folder(f, err);
	if (code && !dl_open_may_succeed_later(code)) {
		dl_disk_file_close(f);
		return code;
	}
	*out = f;
	return 0;
}

/* Returns the disk interface of the folder. */
struct dl_disk dl_disk_file_disk(struct dl_disk_file *f)
{
	return (struct dl_disk){ &disk_file_ops, f };
}

/* Reports whether an operation is queued or in progress. */
bool dl_disk_file_busy(const struct dl_disk_file *f)
{
	return f->ops.head != NULL;
}

/*
 * Closes the folder and releases its lock.  Must not be called while an
 * operation is in progress.
 */
void dl_disk_file_close(struct dl_disk_file *f)
{
	while (f->open_files)
		close_file(f, f->open_files->data);
	close_folder(f);
	g_free(f);
}
