/*
 * A disk that fails, for the real binary: a shared library to be preloaded,
 * which replaces the calls that libuv and the binary make for the files of a
 * data folder.  Other files are not affected.
 *
 * DL_FAULT_FOLDER names the folder, an absolute path.  DL_FAULT_ORDERS names a
 * file with the current orders, which is read at each call, so that a script
 * changes the faults of a running process; a missing file has no orders.  Lines
 * of it have the form
 *
 *	KIND FAULT [COUNT]
 *
 * Other lines are comments.  A count begins anew whenever the content of the
 * file changes, so a script makes each content unique by a comment.  The kinds
 * of calls are in kind_names[].  An order may also name "record", a write of
 * more bytes than a marker of the journal: a failed marker has no consequence.
 * The faults:
 *
 *	no-room      ENOSPC; a write stores half, and fails if continued
 *	short        a write stores half of its data
 *	error        EIO
 *	stall        the call waits until the order is gone
 *	kill-before  the process ends before call number COUNT (from 1)
 *	kill-after   the same after the call
 *
 * The count of the first three is the number of calls that fail; without one,
 * all do.  Of several orders for one kind the first that is due applies, and
 * the later ones do not count that call.
 *
 * As with Linux, a sync reports an error once: the data written before it stays
 * readable, but is not on the disk, and the next sync of the file succeeds
 * unless something has been written since.  A sync is not passed on: which
 * bytes a loss of power would lose follows from the calls, and a sync of the
 * real disk can take seconds while other processes write.
 *
 * Each call adds a line to the file DL_FAULT_ORDERS with ".calls" added:
 *
 *	PID KIND OUTCOME INODE FROM TO
 *
 * The outcome is "ok", "failed" (an error of the real disk), or the fault. FROM
 * and TO are the bytes of the file that a write has stored.  So a script finds
 * out whether a fault took place, and which bytes a loss of power would lose.
 */
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <limits.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define ORDERS_BYTES  1024
#define ORDERS_MAX    16
#define FILES_MAX     64
#define STALL_POLL_NS 5000000
#define WORD_BYTES    16
#define MARKER_BYTES  32
#define RECORD_KIND   "record"
#define CALLS_MODE    0600

enum call_kind {
	CALL_OPEN,   /* of an existing file */
	CALL_CREATE, /* of a file */
	CALL_READ,
	CALL_LIST,
	CALL_WRITE,
	CALL_SYNC,
	CALL_SYNC_FOLDER,
	CALL_RENAME,
	CALL_UNLINK,
	CALL_KIND_COUNT,
};

enum fault {
	FAULT_NONE,
	FAULT_NO_ROOM,
	FAULT_SHORT,
	FAULT_ERROR,
	FAULT_STALL,
	FAULT_KILL_BEFORE,
	FAULT_KILL_AFTER,
	FAULT_COUNT,
};

struct order {
	enum call_kind kind;
	enum fault fault;
	size_t above;	/* only calls with more bytes than this */
	unsigned count; /* 0: without a limit */
	unsigned seen;	/* calls of the kind */
};

/* What a call is about, for the file of calls. */
struct call {
	enum call_kind kind;
	enum fault fault;
	size_t bytes; /* to be written */
	ino_t inode;
	off_t from;
	off_t to;
};

static const char *const kind_names[CALL_KIND_COUNT] = {
	[CALL_OPEN] = "open",	  [CALL_CREATE] = "create",
	[CALL_READ] = "read",	  [CALL_LIST] = "list",
	[CALL_WRITE] = "write",	  [CALL_SYNC] = "sync",
	[CALL_RENAME] = "rename", [CALL_SYNC_FOLDER] = "sync-folder",
	[CALL_UNLINK] = "unlink",
};

static const char *const fault_names[FAULT_COUNT] = {
	[FAULT_NONE] = "ok",
	[FAULT_NO_ROOM] = "no-room",
	[FAULT_SHORT] = "short",
	[FAULT_ERROR] = "error",
	[FAULT_STALL] = "stall",
	[FAULT_KILL_BEFORE] = "kill-before",
	[FAULT_KILL_AFTER] = "kill-after",
};

static struct {
	pthread_mutex_t lock;
	char text[ORDERS_BYTES];
	struct order orders[ORDERS_MAX];
	unsigned count;
	/* Files without data written since their last sync. */
	ino_t clean[FILES_MAX];
	/* Where a write ran out of room; one that goes on there stores nothing.
	 */
	ino_t full_inode;
	off_t full_at;
} state = { .lock = PTHREAD_MUTEX_INITIALIZER };

static int vopen(const char *name, const char *path, int flags, va_list ap);
static int open_file(const char *name, const char *path, int flags,
		     mode_t mode);
static int sync_file(const char *name, int fd);
static ssize_t store(const char *name, int fd, const void *data, size_t n,
		     off_t at);

/* The function of the next library, libc or a sanitizer. */
static void *next_function(const char *name)
{
	void *fn = dlsym(RTLD_NEXT, name);

	if (!fn)
		abort();
	return fn;
}

/* --- orders --- */

static int word_index(const char *word, const char *const names[], int count)
{
	for (int i = 0; i < count; i++) {
		if (strcmp(word, names[i]) == 0)
			return i;
	}
	return -1;
}

static void parse_line(const char *line)
{
	char kind[WORD_BYTES], fault[WORD_BYTES];
	struct order o = { 0 };
	int k, f;

	if (sscanf(line, "%15s %15s %u", kind, fault, &o.count) < 2 ||
	    state.count == ORDERS_MAX)
		return;
	k = word_index(kind, kind_names, CALL_KIND_COUNT);
	if (strcmp(kind, RECORD_KIND) == 0) {
		k = CALL_WRITE;
		o.above = MARKER_BYTES;
	}
	f = word_index(fault, fault_names, FAULT_COUNT);
	if (k < 0 || f <= FAULT_NONE)
		return;
	o.kind = (enum call_kind)k;
	o.fault = (enum fault)f;
	state.orders[state.count++] = o;
}

/* Reads the orders; a content that is unchanged keeps its counts. */
static void read_orders(void)
{
	const char *path = getenv("DL_FAULT_ORDERS");
	char text[ORDERS_BYTES] = "", *line, *rest = text;
	long fd = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC, 0);

	if (fd >= 0) {
		long n = syscall(SYS_read, fd, text, sizeof(text) - 1);

		text[n > 0 ? n : 0] = '\0';
		syscall(SYS_close, fd);
	}
	if (strcmp(text, state.text) == 0)
		return;
	memcpy(state.text, text, sizeof(text));
	state.count = 0;
	state.full_inode = 0;
	while ((line = strsep(&rest, "\n")))
		parse_line(line);
}

static bool is_due(struct order *o)
{
	o->seen++;
	if (o->fault == FAULT_KILL_BEFORE || o->fault == FAULT_KILL_AFTER)
		return o->seen == (o->count ? o->count : 1);
	return o->fault == FAULT_STALL || !o->count || o->seen <= o->count;
}

static bool is_meant(const struct order *o, const struct call *c)
{
	return o->kind == c->kind && (!o->above || c->bytes > o->above);
}

static enum fault next_fault(const struct call *c)
{
	enum fault fault = FAULT_NONE;
	int saved = errno;

	pthread_mutex_lock(&state.lock);
	read_orders();
	for (unsigned i = 0; i < state.count && !fault; i++) {
		if (is_meant(&state.orders[i], c) && is_due(&state.orders[i]))
			fault = state.orders[i].fault;
	}
	pthread_mutex_unlock(&state.lock);
	errno = saved;
	return fault;
}

/* --- the file of calls --- */

static void add_line(const struct call *c, const char *outcome)
{
	char path[PATH_MAX], line[128];
	int saved = errno, n;
	long fd;

	snprintf(path, sizeof(path), "%s.calls", getenv("DL_FAULT_ORDERS"));
	n = snprintf(line, sizeof(line), "%d %s %s %ju %jd %jd\n", getpid(),
		     kind_names[c->kind], outcome, (uintmax_t)c->inode,
		     (intmax_t)c->from, (intmax_t)c->to);
	fd = syscall(SYS_openat, AT_FDCWD, path,
		     O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, CALLS_MODE);
	if (fd < 0 || syscall(SYS_write, fd, line, n) != n)
		abort();
	syscall(SYS_close, fd);
	errno = saved;
}

static void end_process(void)
{
	for (;;)
		kill(getpid(), SIGKILL);
}

/* Waits while a call has to stall, and ends the process if it has to. */
static void begin_call(struct call *c)
{
	const struct timespec pause = { .tv_nsec = STALL_POLL_NS };
	bool stalled = false;

	while ((c->fault = next_fault(c)) == FAULT_STALL) {
		if (!stalled)
			add_line(c, fault_names[FAULT_STALL]);
		stalled = true;
		nanosleep(&pause, NULL);
	}
	if (c->fault != FAULT_KILL_BEFORE)
		return;
	add_line(c, fault_names[c->fault]);
	end_process();
}

/* Ends a call that was carried out. */
static void end_call(struct call *c, bool ok)
{
	const char *outcome = ok ? fault_names[c->fault] : "failed";

	if (c->fault != FAULT_KILL_AFTER) {
		add_line(c, outcome);
		return;
	}
	add_line(c, ok ? "ok" : "failed");
	add_line(c, fault_names[c->fault]);
	end_process();
}

/* Whether the fault makes a call fail; notes it and sets errno. */
static bool fails(struct call *c)
{
	if (c->fault != FAULT_ERROR && c->fault != FAULT_NO_ROOM)
		return false;
	add_line(c, fault_names[c->fault]);
	errno = c->fault == FAULT_ERROR ? EIO : ENOSPC;
	return true;
}

/* --- which files --- */

static bool is_below(const char *path)
{
	const char *folder = getenv("DL_FAULT_FOLDER");
	size_t n = folder ? strlen(folder) : 0;

	return n && getenv("DL_FAULT_ORDERS") &&
	       strncmp(path, folder, n) == 0 &&
	       (path[n] == '/' || path[n] == '\0');
}

static bool fd_is_below(int fd, mode_t *type, ino_t *inode)
{
	char link[64], path[PATH_MAX];
	struct stat st;
	int saved = errno;
	ssize_t n = -1;

	if (fstat(fd, &st) == 0 &&
	    (S_ISREG(st.st_mode) || S_ISDIR(st.st_mode))) {
		snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
		n = readlink(link, path, sizeof(path) - 1);
	}
	errno = saved;
	if (n < 0)
		return false;
	path[n] = '\0';
	*type = st.st_mode & S_IFMT;
	*inode = st.st_ino;
	return is_below(path);
}

static ino_t inode_of(const char *path)
{
	struct stat st;
	int saved = errno;
	ino_t inode = stat(path, &st) ? 0 : st.st_ino;

	errno = saved;
	return inode;
}

/*
 * Notes that a file has, or has not, data written since its last sync; returns
 * whether it had.  An unknown file had: what it holds may be in memory only.
 */
static bool set_written(ino_t inode, bool written)
{
	int at = -1, unused = -1;

	pthread_mutex_lock(&state.lock);
	for (int i = 0; i < FILES_MAX; i++) {
		if (state.clean[i] == inode)
			at = i;
		else if (!state.clean[i])
			unused = i;
	}
	if (written && at >= 0)
		state.clean[at] = 0;
	else if (!written && at < 0)
		state.clean[unused >= 0 ? unused : 0] = inode;
	pthread_mutex_unlock(&state.lock);
	return at < 0;
}

/* --- the calls --- */

static int open_file(const char *name, const char *path, int flags, mode_t mode)
{
	int (*next)(const char *, int, ...) = next_function(name);
	struct call c = { .kind = CALL_OPEN };
	int fd;

	if (!is_below(path))
		return next(path, flags, mode);
	c.inode = inode_of(path);
	if (!c.inode && flags & O_CREAT)
		c.kind = CALL_CREATE;
	begin_call(&c);
	if (fails(&c))
		return -1;
	fd = next(path, flags, mode);
	c.inode = inode_of(path);
	if (fd >= 0 && c.kind == CALL_CREATE)
		set_written(c.inode, true);
	end_call(&c, fd >= 0);
	return fd;
}

static int vopen(const char *name, const char *path, int flags, va_list ap)
{
	mode_t mode = 0;

	if (flags & O_CREAT || (flags & O_TMPFILE) == O_TMPFILE)
		mode = va_arg(ap, mode_t);
	return open_file(name, path, flags, mode);
}

int open(const char *path, int flags, ...)
{
	va_list ap;
	int fd;

	va_start(ap, flags);
	fd = vopen("open", path, flags, ap);
	va_end(ap);
	return fd;
}

int open64(const char *path, int flags, ...)
{
	va_list ap;
	int fd;

	va_start(ap, flags);
	fd = vopen("open64", path, flags, ap);
	va_end(ap);
	return fd;
}

/* How many bytes of a write are stored; less than 0 if it fails. */
static ssize_t bytes_stored(const struct call *c, size_t n)
{
	bool none;

	if (c->fault == FAULT_SHORT)
		return (ssize_t)(n / 2 ? n / 2 : n);
	if (c->fault != FAULT_NO_ROOM)
		return (ssize_t)n;
	pthread_mutex_lock(&state.lock);
	none = n < 2 ||
	       (state.full_inode == c->inode && state.full_at == c->from);
	state.full_inode = c->inode;
	state.full_at = c->from + (none ? 0 : (off_t)(n / 2));
	pthread_mutex_unlock(&state.lock);
	return none ? -1 : (ssize_t)(n / 2);
}

static ssize_t store(const char *name, int fd, const void *data, size_t n,
		     off_t at)
{
	ssize_t (*next)(int, const void *, size_t, off_t) = next_function(name);
	struct call c = {
		.kind = CALL_WRITE, .bytes = n, .from = at, .to = at
	};
	ssize_t some, got;
	mode_t type;

	if (!fd_is_below(fd, &type, &c.inode))
		return next(fd, data, n, at);
	begin_call(&c);
	some = bytes_stored(&c, n);
	if ((some < 0 || c.fault == FAULT_ERROR) && fails(&c))
		return -1;
	got = next(fd, data, (size_t)some, at);
	if (got > 0)
		set_written(c.inode, true);
	c.to += got > 0 ? got : 0;
	end_call(&c, got >= 0);
	return got;
}

ssize_t pwrite(int fd, const void *data, size_t n, off_t at)
{
	return store("pwrite", fd, data, n, at);
}

ssize_t pwrite64(int fd, const void *data, size_t n, off64_t at)
{
	return store("pwrite64", fd, data, n, at);
}

ssize_t read(int fd, void *out, size_t n)
{
	ssize_t (*next)(int, void *, size_t) = next_function("read");
	struct call c = { .kind = CALL_READ };
	mode_t type;
	ssize_t got;

	if (!fd_is_below(fd, &type, &c.inode))
		return next(fd, out, n);
	begin_call(&c);
	if (fails(&c))
		return -1;
	got = next(fd, out, c.fault == FAULT_SHORT && n > 1 ? n / 2 : n);
	end_call(&c, got >= 0);
	return got;
}

static int sync_file(const char *name, int fd)
{
	int (*next)(int) = next_function(name);
	struct call c = { .kind = CALL_SYNC };
	mode_t type;

	if (!fd_is_below(fd, &type, &c.inode))
		return next(fd);
	if (type == S_IFDIR)
		c.kind = CALL_SYNC_FOLDER;
	begin_call(&c);
	if (type == S_IFREG && !set_written(c.inode, false) &&
	    (c.fault == FAULT_ERROR || c.fault == FAULT_NO_ROOM))
		c.fault = FAULT_NONE;
	if (fails(&c))
		return -1;
	end_call(&c, true);
	return 0;
}

int fdatasync(int fd)
{
	return sync_file("fdatasync", fd);
}

int fsync(int fd)
{
	return sync_file("fsync", fd);
}

int rename(const char *from, const char *to)
{
	int (*next)(const char *, const char *) = next_function("rename");
	struct call c = { .kind = CALL_RENAME };
	int code;

	if (!is_below(from))
		return next(from, to);
	c.inode = inode_of(from);
	begin_call(&c);
	if (fails(&c))
		return -1;
	code = next(from, to);
	end_call(&c, !code);
	return code;
}

int unlink(const char *path)
{
	int (*next)(const char *) = next_function("unlink");
	struct call c = { .kind = CALL_UNLINK };
	int code;

	if (!is_below(path))
		return next(path);
	c.inode = inode_of(path);
	begin_call(&c);
	if (fails(&c))
		return -1;
	code = next(path);
	end_call(&c, !code);
	return code;
}

int scandir64(const char *path, struct dirent64 ***list,
	      int (*filter)(const struct dirent64 *),
	      int (*compare)(const struct dirent64 **,
			     const struct dirent64 **))
{
	int (*next)(const char *, struct dirent64 ***,
		    int (*)(const struct dirent64 *),
		    int (*)(const struct dirent64 **,
			    const struct dirent64 **)) =
		next_function("scandir64");
	struct call c = { .kind = CALL_LIST };
	int n;

	if (!is_below(path))
		return next(path, list, filter, compare);
	begin_call(&c);
	if (fails(&c))
		return -1;
	n = next(path, list, filter, compare);
	end_call(&c, n >= 0);
	return n;
}
