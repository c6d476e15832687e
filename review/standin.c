/*
 * Stand-ins for the outside of a deployment in the platform's protocol, for the
 * scripts of the review:
 *
 *   standin runner OPTION...   a runner that serves plain requests
 *   standin call OPTION...     a client that sends one request
 *   standin keep OPTION...     a client that sends many on a kept connection
 *   standin put ADDRESSES FILE the operator: submits a configuration
 *   standin get ADDRESS PATH   exits with 0 if the answer is 200
 *   standin free ADDRESS       exits with 0 if the address can be bound
 *
 * Needs libc and pthread only.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200 /* heartbeat_ms of the settings */
#define POLL_MS	     20
#define HEAD_MAX     65536
#define LINE_BYTES   64
#define PIECE_BYTES  65536

static const char *opt(int argc, char **argv, const char *name,
		       const char *fallback)
{
	for (int i = 2; i + 1 < argc; i++) {
		if (strcmp(argv[i], name) == 0)
			return argv[i + 1];
	}
	return fallback;
}

static long opt_number(int argc, char **argv, const char *name, long fallback)
{
	const char *s = opt(argc, argv, name, NULL);

	return s ? atol(s) : fallback;
}

static int64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&ts, &ts) && errno == EINTR)
		;
}

/* Appends one line to the record: the time, then the text. */
static void note(const char *file, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void note(const char *file, const char *fmt, ...)
{
	char line[1024];
	va_list ap;
	int n, fd;

	if (!file)
		return;
	n = snprintf(line, sizeof(line), "%lld ", (long long)wall_ms());
	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	fd = open(file, O_WRONLY | O_APPEND | O_CREAT, 0644);
	if (fd < 0 || write(fd, line, (size_t)n) != n)
		perror(file);
	if (fd >= 0)
		close(fd);
}

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	char host[64];
	const char *colon = strchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

/* Connects within a time; -1: it did not. */
static int dial(const char *address, int ms, int rcvbuf, int mss)
{
	struct sockaddr_in sin;
	struct pollfd p;
	int fd, error = 0, one = 1;
	socklen_t n = sizeof(error);

	if (!parse_address(address, &sin))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return -1;
	if (rcvbuf)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof(rcvbuf));
	if (mss)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
	p = (struct pollfd){ fd, POLLOUT, 0 };
	if (connect(fd, (void *)&sin, sizeof(sin)) &&
	    (errno != EINPROGRESS || poll(&p, 1, ms) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) || error)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t n)
{
	while (n) {
		ssize_t sent = send(fd, bytes, n, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		bytes += sent;
		n -= (size_t)sent;
	}
	return true;
}

/* A message that is read from a socket: its head, then what follows. */
struct input {
	int fd;
	char bytes[HEAD_MAX + 1];
	size_t n;    /* read and not consumed */
	size_t head; /* length of the head */
};

/* Reads a head; false at the end of the connection. */
static bool read_head(struct input *in)
{
	for (;;) {
		char *end = memmem(in->bytes, in->n, "\r\n\r\n", 4);
		ssize_t got;

		if (end) {
			in->head = (size_t)(end - in->bytes) + 4;
			return true;
		}
		if (in->n == HEAD_MAX)
			return false;
		got = recv(in->fd, in->bytes + in->n, HEAD_MAX - in->n, 0);
		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		in->n += (size_t)got;
	}
}

static void consume(struct input *in, size_t n)
{
	memmove(in->bytes, in->bytes + n, in->n - n);
	in->n -= n;
}

/* Copies the value of a header; empty if there is none. */
static bool header(const struct input *in, const char *name, char *out,
		   size_t size)
{
	const char *at = in->bytes, *end = in->bytes + in->head;
	size_t n = strlen(name);

	out[0] = '\0';
	while (at < end) {
		const char *eol = memmem(at, (size_t)(end - at), "\r\n", 2);

		if (!eol)
			return false;
		if ((size_t)(eol - at) > n && at[n] == ':' &&
		    strncasecmp(at, name, n) == 0) {
			const char *v = at + n + 1;

			while (v < eol && *v == ' ')
				v++;
			snprintf(out, size, "%.*s", (int)(eol - v), v);
			return true;
		}
		at = eol + 2;
	}
	return false;
}

/* Reads over a body of a known length; false at the end of the connection. */
static bool skip_body(struct input *in, size_t n)
{
	char piece[PIECE_BYTES];
	size_t held = in->n < n ? in->n : n;

	consume(in, held);
	for (n -= held; n;) {
		ssize_t got = recv(in->fd, piece,
				   n < sizeof(piece) ? n : sizeof(piece), 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		n -= (size_t)got;
	}
	return true;
}

/* ---- runner ---- */

static struct {
	const char *listen, *service, *instance, *zone, *record;
	char *control[8];
	int controls;
	long slots, body, pause_at, pause_ms, work_ms;
	long linger_ms, late_ms, home;
	volatile long sequence;
	volatile long running;
} runner;

/* A line of the body says which run made it, and where it stands. */
static void body_line(char *out, const char *attempt, long number)
{
	char text[LINE_BYTES + 1];
	int n = snprintf(text, sizeof(text), "%.20s %.20s %ld", runner.instance,
			 attempt, number);

	memset(out, '.', LINE_BYTES);
	memcpy(out, text, (size_t)n);
	out[LINE_BYTES - 1] = '\n';
}

static bool reply(int fd, const char *status, const char *headers,
		  const char *body)
{
	char text[2048];
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %s\r\nContent-Length: %zu\r\n%s\r\n%s",
			 status, strlen(body), headers, body);

	return send_all(fd, text, (size_t)n);
}

/* Writes a body of the length asked for, with a pause where it is wanted. */
static bool write_body(int fd, const char *attempt)
{
	char piece[PIECE_BYTES];
	long lines = runner.body / LINE_BYTES;
	bool paused = false;

	for (long at = 0; at < lines;) {
		long n = 0;

		for (; n < PIECE_BYTES / LINE_BYTES && at < lines; n++, at++)
			body_line(piece + n * LINE_BYTES, attempt, at);
		if (!send_all(fd, piece, (size_t)(n * LINE_BYTES)))
			return false;
		if (runner.pause_ms && !paused &&
		    at * LINE_BYTES >= runner.pause_at) {
			paused = true;
			note(runner.record, "runner %s pause %s %ld",
			     runner.instance, attempt, at * LINE_BYTES);
			sleep_ms(runner.pause_ms);
		}
	}
	return true;
}

/* Runs a request; false: the connection is done. */
static bool run(struct input *in, const char *line)
{
	char attempt[64], target[64], headers[512], text[32];

	header(in, "daisyledge-attempt-id", attempt, sizeof(attempt));
	header(in, "daisyledge-target-instance", target, sizeof(target));
	snprintf(headers, sizeof(headers),
		 "Daisyledge-Attempt-Id: %s\r\nDaisyledge-Not-Executed: 1\r\n"
		 "At-Server: %s\r\n",
		 attempt, runner.listen);
	if (target[0] && strcmp(target, runner.instance) != 0)
		return reply(in->fd, "421 Misdirected", headers, "");
	if (__sync_fetch_and_add(&runner.running, 1) >= runner.slots * 2) {
		__sync_fetch_and_sub(&runner.running, 1);
		return reply(in->fd, "503 Full", headers, "");
	}
	note(runner.record, "runner %s runs %s %s", runner.instance, attempt,
	     line);
	if (runner.work_ms && !strstr(line, "/archive/"))
		sleep_ms(runner.work_ms);
	snprintf(text, sizeof(text), "%ld,0,%ld", runner.running, runner.slots);
	snprintf(headers, sizeof(headers),
		 "HTTP/1.1 200 OK\r\nContent-Length: %ld\r\n"
		 "Daisyledge-Attempt-Id: %s\r\n"
		 "Daisyledge-Response-Stamp: %s.%s\r\n"
		 "Daisyledge-Instance-Load: %s\r\n\r\n",
		 runner.body / LINE_BYTES * LINE_BYTES, attempt,
		 runner.instance, attempt, text);
	bool sent = send_all(in->fd, headers, strlen(headers)) &&
		    write_body(in->fd, attempt);

	__sync_fetch_and_sub(&runner.running, 1);
	note(runner.record, "runner %s %s %s", runner.instance,
	     sent ? "has answered" : "was left by the caller of", attempt);
	return sent;
}

static void *serve(void *arg)
{
	struct input *in = calloc(1, sizeof(*in));
	char line[256], length[32], headers[256];

	in->fd = (int)(intptr_t)arg;
	snprintf(headers, sizeof(headers), "Daisyledge-Instance-Id: %s\r\n",
		 runner.instance);
	while (read_head(in)) {
		bool go_on;

		snprintf(line, sizeof(line), "%.*s",
			 (int)strcspn(in->bytes, "\r"), in->bytes);
		header(in, "content-length", length, sizeof(length));
		struct input head = { .fd = in->fd, .head = in->head };

		memcpy(head.bytes, in->bytes, in->head);
		consume(in, in->head);
		if (!skip_body(in, (size_t)atol(length)))
			break;
		if (strncmp(line, "GET /health", 11) == 0)
			go_on = reply(in->fd, "200 OK", headers, "");
		else if (strncmp(line, "GET /-/report", 13) == 0 ||
			 strncmp(line, "POST /-/order", 13) == 0)
			go_on = reply(in->fd, "400 Bad Request", "", "");
		else
			go_on = run(&head, line);
		if (!go_on)
			break;
	}
	close(in->fd);
	free(in);
	return NULL;
}

/* Sends one call to a replica; the status of its answer, or 0. */
static int control_call(const char *address, const char *method,
			const char *path, const char *body, size_t n,
			char *location, size_t size)
{
	struct timeval wait = { 2, 0 };
	struct input *in = calloc(1, sizeof(*in));
	char head[512];
	int status = 0;
	int len = snprintf(head, sizeof(head),
			   "%s %s HTTP/1.1\r\nHost: control\r\n"
			   "Content-Type: application/json\r\n"
			   "Content-Length: %zu\r\nConnection: close\r\n\r\n",
			   method, path, n);

	in->fd = dial(address, 1000, 0, 0);
	if (in->fd >= 0) {
		setsockopt(in->fd, SOL_SOCKET, SO_RCVTIMEO, &wait,
			   sizeof(wait));
		if (send_all(in->fd, head, (size_t)len) &&
		    send_all(in->fd, body, n) && read_head(in))
			status = atoi(in->bytes + strlen("HTTP/1.1 "));
		if (location)
			header(in, "location", location, size);
		close(in->fd);
	}
	free(in);
	return status;
}

static void make_beat(char *path, size_t path_size, char *body, size_t size)
{
	snprintf(path, path_size, "/-/Instances.Heartbeat/%s", runner.instance);
	snprintf(body, size,
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%ld,\"state\":\"ready\","
		 "\"cold_remaining_ms\":0,\"seq\":%ld}",
		 runner.service, runner.listen, runner.zone, runner.slots,
		 ++runner.sequence);
}

/*
 * Deregisters without having said that it drains, and goes on to serve.  The
 * next replica is called where one does not acknowledge.  With --late-ms the
 * last heartbeat was sent before to the replica at hand, is under way for so
 * long, and the runner has turned to the next one.
 */
static void deregister(int at)
{
	char path[128], beat_path[128], beat[512];
	int beat_to = at, status;

	if (runner.late_ms) {
		make_beat(beat_path, sizeof(beat_path), beat, sizeof(beat));
		note(runner.record, "runner %s sends heartbeat %ld to %s",
		     runner.instance, runner.sequence, runner.control[at]);
		at = (at + 1) % runner.controls;
	}
	snprintf(path, sizeof(path), "/-/Instances.Deregister/%s",
		 runner.instance);
	while (control_call(runner.control[at], "POST", path, "", 0, NULL, 0) !=
	       200)
		at = (at + 1) % runner.controls;
	note(runner.record, "runner %s deregistered, acknowledged by %s",
	     runner.instance, runner.control[at]);
	if (runner.late_ms) {
		sleep_ms(runner.late_ms);
		status = control_call(runner.control[beat_to], "POST",
				      beat_path, beat, strlen(beat), NULL, 0);
		note(runner.record,
		     "heartbeat of runner %s arrives late at %s: %d",
		     runner.instance, runner.control[beat_to], status);
	}
	sleep_ms(runner.linger_ms);
	note(runner.record, "runner %s exits", runner.instance);
	_exit(0);
}

static volatile sig_atomic_t leaves;

static void on_leave(int signum)
{
	leaves = 1;
}

static void *beat(void *arg)
{
	int at = (int)runner.home;

	for (;;) {
		char path[128], body[512];

		if (leaves)
			deregister(at);

		make_beat(path, sizeof(path), body, sizeof(body));
		if (control_call(runner.control[at], "POST", path, body,
				 strlen(body), NULL, 0) != 200)
			at = (at + 1) % runner.controls;
		for (int i = 0; i < HEARTBEAT_MS / POLL_MS && !leaves; i++)
			sleep_ms(POLL_MS);
	}
	return NULL;
}

static int main_runner(int argc, char **argv)
{
	struct sockaddr_in sin;
	char *controls = strdup(opt(argc, argv, "--control", ""));
	int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
	pthread_t thread;

	runner.listen = opt(argc, argv, "--listen", "");
	runner.service = opt(argc, argv, "--service", "");
	runner.instance = opt(argc, argv, "--instance", "");
	runner.zone = opt(argc, argv, "--zone", "r");
	runner.record = opt(argc, argv, "--record", NULL);
	runner.slots = opt_number(argc, argv, "--slots", 6);
	runner.body = opt_number(argc, argv, "--body", 800);
	runner.work_ms = opt_number(argc, argv, "--work-ms", 0);
	runner.linger_ms = opt_number(argc, argv, "--linger-ms", 3000);
	runner.late_ms = opt_number(argc, argv, "--late-ms", 0);
	runner.home = opt_number(argc, argv, "--home", 0);
	runner.pause_at = opt_number(argc, argv, "--pause-at", 0);
	runner.pause_ms = opt_number(argc, argv, "--pause-ms", 0);
	for (char *s = strtok(controls, ","); s; s = strtok(NULL, ","))
		runner.control[runner.controls++] = s;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!runner.controls || !parse_address(runner.listen, &sin) ||
	    bind(fd, (void *)&sin, sizeof(sin)) || listen(fd, 128)) {
		perror("standin runner");
		return 2;
	}
	signal(SIGUSR1, on_leave);
	pthread_create(&thread, NULL, beat, NULL);
	for (;;) {
		int peer = accept(fd, NULL, NULL);

		if (peer < 0)
			continue;
		setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (pthread_create(&thread, NULL, serve,
				   (void *)(intptr_t)peer) == 0)
			pthread_detach(thread);
		else
			close(peer);
	}
}

/* ---- client ---- */

/* What a client makes of a body that arrives in pieces. */
struct reading {
	char line[LINE_BYTES];
	size_t filled;
	char first[LINE_BYTES]; /* runner and attempt of the first line */
	long lines, total;
	long wrong_at; /* byte at which another run's bytes begin; -1: none */
	char wrong[LINE_BYTES];
};

static void check_line(struct reading *r)
{
	char instance[32], attempt[32], who[LINE_BYTES];
	long number = -1;

	r->line[LINE_BYTES - 1] = '\0';
	if (sscanf(r->line, "%31s %31s %ld", instance, attempt, &number) != 3)
		snprintf(instance, sizeof(instance), "?");
	snprintf(who, sizeof(who), "%.30s %.30s", instance, attempt);
	if (r->lines == 0)
		strcpy(r->first, who);
	if (r->wrong_at < 0 &&
	    (strcmp(who, r->first) != 0 || number != r->lines)) {
		r->wrong_at = r->lines * LINE_BYTES;
		snprintf(r->wrong, sizeof(r->wrong), "%.62s", r->line);
	}
	r->lines++;
}

static void take(struct reading *r, const char *bytes, size_t n)
{
	r->total += (long)n;
	while (n) {
		size_t room = LINE_BYTES - r->filled;
		size_t now = n < room ? n : room;

		memcpy(r->line + r->filled, bytes, now);
		r->filled += now;
		bytes += now;
		n -= now;
		if (r->filled == LINE_BYTES) {
			check_line(r);
			r->filled = 0;
		}
	}
}

static ssize_t receive(struct input *in, char *out, size_t n)
{
	if (in->n) {
		n = in->n < n ? in->n : n;
		memcpy(out, in->bytes, n);
		consume(in, n);
		return (ssize_t)n;
	}
	for (;;) {
		ssize_t got = recv(in->fd, out, n, 0);

		if (got >= 0 || errno != EINTR)
			return got;
	}
}

/* Reads one line of a chunked body; false at the end. */
static bool receive_line(struct input *in, char *out, size_t size)
{
	size_t n = 0;

	while (n + 1 < size) {
		if (receive(in, out + n, 1) != 1)
			return false;
		if (out[n] == '\n') {
			out[n] = '\0';
			return true;
		}
		n++;
	}
	return false;
}

static bool receive_part(struct input *in, struct reading *r, long n, long rate)
{
	static char piece[16384];

	while (n) {
		size_t want = (size_t)(n < (long)sizeof(piece) ?
					       n :
					       (long)sizeof(piece));
		ssize_t got = receive(in, piece, want);

		if (got <= 0)
			return false;
		take(r, piece, (size_t)got);
		n -= got;
		if (rate)
			sleep_ms(got * 1000 / rate);
	}
	return true;
}

/*
 * Sends a request and reads its answer, at --rate bytes a second if that is
 * set.  Records and prints: status, complete (by its framing), bytes, stamp,
 * and the byte at which the body stops being that of one run.
 */
static int main_call(int argc, char **argv)
{
	const char *attempt = opt(argc, argv, "--attempt", "a");
	const char *record = opt(argc, argv, "--record", NULL);
	const char *to = opt(argc, argv, "--to", "");
	const char *key = opt(argc, argv, "--key", NULL);
	long rate = opt_number(argc, argv, "--rate", 0);
	struct input *in = calloc(1, sizeof(*in));
	struct reading r = { .wrong_at = -1 };
	char head[2048], length[32], coding[32], stamp[128], size[64];
	struct timeval wait = { opt_number(argc, argv, "--wait-s", 30), 0 };
	bool complete = false;
	int status, n;

	n = snprintf(
		head, sizeof(head),
		"%s %s HTTP/1.1\r\nHost: %s\r\n"
		"Daisyledge-Attempt-Id: %s\r\n"
		"Daisyledge-Deadline-Ms: %ld\r\n%s%s%sContent-Length: 0\r\n\r\n",
		opt(argc, argv, "--method", "GET"),
		opt(argc, argv, "--path", "/"),
		opt(argc, argv, "--host", "h.example"), attempt,
		opt_number(argc, argv, "--deadline-ms", 10000),
		key ? "X-Api-Key: " : "", key ? key : "", key ? "\r\n" : "");
	in->fd = dial(to, 1000, (int)opt_number(argc, argv, "--rcvbuf", 0),
		      (int)opt_number(argc, argv, "--mss", 0));
	if (in->fd < 0) {
		note(record, "client %s no connection to %s", attempt, to);
		return 3;
	}
	setsockopt(in->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	note(record, "client %s sent to %s", attempt, to);
	if (!send_all(in->fd, head, (size_t)n) || !read_head(in)) {
		note(record, "client %s got no answer", attempt);
		printf("status=0 complete=0 bytes=0 wrong_at=-1\n");
		return 3;
	}
	status = atoi(in->bytes + strlen("HTTP/1.1 "));
	header(in, "daisyledge-response-stamp", stamp, sizeof(stamp));
	header(in, "transfer-encoding", coding, sizeof(coding));
	if (header(in, "content-length", length, sizeof(length))) {
		consume(in, in->head);
		complete = receive_part(in, &r, atol(length), rate);
	} else if (coding[0]) {
		consume(in, in->head);
		while (receive_line(in, size, sizeof(size))) {
			long part = strtol(size, NULL, 16);

			if (part == 0) {
				complete = true;
				break;
			}
			if (!receive_part(in, &r, part, rate) ||
			    !receive_line(in, size, sizeof(size)))
				break;
		}
	} else {
		consume(in, in->head);
		receive_part(in, &r, 1L << 40, rate);
		complete = errno == 0;
	}
	printf("status=%d complete=%d bytes=%ld wrong_at=%ld stamp=%s\n",
	       status, complete, r.total, r.wrong_at, stamp);
	note(record,
	     "client %s got status=%d complete=%d length=%s bytes=%ld "
	     "stamp=%s wrong_at=%ld wrong_line=\"%s\"",
	     attempt, status, complete, length, r.total, stamp, r.wrong_at,
	     r.wrong);
	return 0;
}

/*
 * Sends requests one after the other on one connection, as long as that is kept
 * and --for-ms have not passed.  Records what became of each.
 */
static int main_keep(int argc, char **argv)
{
	const char *tag = opt(argc, argv, "--attempt", "k");
	const char *record = opt(argc, argv, "--record", NULL);
	const char *to = opt(argc, argv, "--to", "");
	int64_t end = wall_ms() + opt_number(argc, argv, "--for-ms", 10000);
	struct input *in = calloc(1, sizeof(*in));
	struct timeval wait = { 10, 0 };
	char head[1024], length[32], how[32];

	in->fd = dial(to, 1000, 0, 0);
	if (in->fd < 0)
		return 3;
	setsockopt(in->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	for (int i = 1; wall_ms() < end; i++) {
		int n = snprintf(head, sizeof(head),
				 "POST %s HTTP/1.1\r\nHost: h.example\r\n"
				 "Daisyledge-Attempt-Id: %s.%d\r\n"
				 "Daisyledge-Deadline-Ms: 4000\r\n"
				 "X-Api-Key: %s\r\nContent-Length: 0\r\n\r\n",
				 opt(argc, argv, "--path", "/"), tag, i,
				 opt(argc, argv, "--key", ""));

		note(record, "client %s.%d sent to %s on a connection %s", tag,
		     i, to, i > 1 ? "that was kept" : "of its own");
		if (!send_all(in->fd, head, (size_t)n) || !read_head(in)) {
			note(record, "client %s.%d no answer, closed", tag, i);
			return 1;
		}
		note(record, "client %s.%d got status=%d", tag, i,
		     atoi(in->bytes + strlen("HTTP/1.1 ")));
		header(in, "content-length", length, sizeof(length));
		header(in, "connection", how, sizeof(how));
		consume(in, in->head);
		if (!skip_body(in, (size_t)atol(length)) ||
		    strcasecmp(how, "close") == 0)
			break;
	}
	close(in->fd);
	return 0;
}

/* ---- operator ---- */

static int main_put(int argc, char **argv)
{
	static char body[1 << 20];
	char location[256];
	FILE *f = argc == 4 ? fopen(argv[3], "r") : NULL;
	size_t n = f ? fread(body, 1, sizeof(body), f) : 0;
	char *all = strdup(argv[2]);

	if (!n)
		return 2;
	for (char *to = strtok(all, ","); to; to = strtok(NULL, ",")) {
		if (control_call(to, "POST", "/-/Config.Put", body, n, location,
				 sizeof(location)) == 200)
			return 0;
	}
	return 1;
}

static int main_get(int argc, char **argv)
{
	return argc == 4 && control_call(argv[2], "GET", argv[3], "", 0, NULL,
					 0) == 200 ?
		       0 :
		       1;
}

static int main_free(int argc, char **argv)
{
	struct sockaddr_in sin;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	return argc == 3 && parse_address(argv[2], &sin) &&
			       bind(fd, (void *)&sin, sizeof(sin)) == 0 ?
		       0 :
		       1;
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		int (*run)(int argc, char **argv);
	} commands[] = {
		{ "runner", main_runner }, { "call", main_call },
		{ "keep", main_keep },	   { "put", main_put },
		{ "get", main_get },	   { "free", main_free },
	};

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0;
	     argc > 1 && i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc, argv);
	}
	fprintf(stderr, "usage: standin runner|call|keep|put|get|free ...\n");
	return 2;
}
