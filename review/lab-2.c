#include "lab-2.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CONTROL_PORT 7300
#define READY_PORT   7400
#define FRONT_PORT   8227
#define PEER_PORT    7340
#define TUNNEL_PORT  7355
#define METRICS_PORT 9901
#define RUNNER_PORT  8080
#define BEAT_MS	     1200
#define CASE_MS	     110000 /* a case takes 120 s at most */

static struct {
	char folder[512], temp[128];
	int net;
	FILE *record;
	bool trouble;
	struct timespec start;
	pid_t entry[LAB_VMS + 1], replica[LAB_VMS + 1];
	pthread_mutex_t lock;
	int runners;
} lab = { .lock = PTHREAD_MUTEX_INITIALIZER };

int lab_drain_ms;

int64_t lab_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec - lab.start.tv_sec) * 1000LL +
	       (t.tv_nsec - lab.start.tv_nsec) / 1000000;
}

void lab_sleep(int ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000L };

	while (ms > 0 && nanosleep(&t, &t) && errno == EINTR)
		;
}

static void vnote(const char *fmt, va_list ap)
{
	pthread_mutex_lock(&lab.lock);
	if (lab.record) {
		fprintf(lab.record, "%8.3f  ", (double)lab_now() / 1000);
		vfprintf(lab.record, fmt, ap);
		fputc('\n', lab.record);
		fflush(lab.record);
	}
	pthread_mutex_unlock(&lab.lock);
}

void lab_note(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vnote(fmt, ap);
	va_end(ap);
}

static void stop_all(void)
{
	for (int i = 1; i <= LAB_VMS; i++) {
		pid_t *all[] = { &lab.entry[i], &lab.replica[i] };

		for (int k = 0; k < 2; k++) {
			if (*all[k] <= 0)
				continue;
			kill(*all[k], SIGKILL);
			waitpid(*all[k], NULL, 0);
			*all[k] = 0;
		}
	}
}

static void remove_temp(void)
{
	char command[256];

	if (!lab.temp[0] || getenv("KEEP"))
		return;
	snprintf(command, sizeof(command), "rm -rf '%s'", lab.temp);
	if (system(command))
		perror("rm");
}

void lab_end(int result, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vnote(fmt, ap);
	va_end(ap);
	lab_note("result: %s", result == LAB_HELD   ? "held" :
			       result == LAB_BROKEN ? "broken" :
						      "not run");
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	putchar('\n');
	fflush(stdout);
	stop_all();
	remove_temp();
	_exit(result);
}

bool lab_trouble(void)
{
	return lab.trouble;
}

static void on_signal(int sig)
{
	stop_all();
	_exit(LAB_NOT_RUN);
}

static void *watchdog(void *arg)
{
	lab_sleep(CASE_MS);
	lab_end(LAB_NOT_RUN, "the case took too long");
	return NULL;
}

static const char *ip_text(char out[32], int vm, int last)
{
	snprintf(out, 32, "127.%d.%d.%d", lab.net, vm, last);
	return out;
}

/* The addresses of the machines, once the second octet is known. */
static char entry_ips[LAB_VMS + 1][32], control_ips[LAB_VMS + 1][32];

const char *lab_entry_ip(int i)
{
	return entry_ips[i];
}

const char *lab_control_ip(int i)
{
	return control_ips[i];
}

static void set_ips(void)
{
	for (int i = 1; i <= LAB_VMS; i++) {
		ip_text(entry_ips[i], i, 1);
		ip_text(control_ips[i], i, 2);
	}
}

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

static int try_bind(const char *ip, int port)
{
	struct sockaddr_in sin = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (void *)&sin, sizeof(sin))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Picks a second octet of which the ports are free. */
static void pick_net(void)
{
	static const int ports[] = { CONTROL_PORT, FRONT_PORT, PEER_PORT,
				     TUNNEL_PORT, READY_PORT, METRICS_PORT };

	for (int k = 0; k < 200; k++) {
		bool ok = true;

		lab.net = 20 + (getpid() + k) % 200;
		for (int i = 1; ok && i <= LAB_VMS; i++) {
			for (int p = 0; ok && p < 6; p++) {
				char ip[32];
				int fd = try_bind(ip_text(ip, i, 1), ports[p]);

				ok = fd >= 0;
				if (fd >= 0)
					close(fd);
			}
		}
		if (ok)
			return;
	}
	lab_end(LAB_NOT_RUN, "no free addresses");
}

void lab_begin(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	char path[600];
	pthread_t t;

	if (argc < 2) {
		fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
		exit(LAB_NOT_RUN);
	}
	clock_gettime(CLOCK_MONOTONIC, &lab.start);
	snprintf(lab.folder, sizeof(lab.folder), "%s", argv[1]);
	lab.trouble = !trouble || strcmp(trouble, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", lab.folder);
	lab.record = fopen(path, "we");
	if (!lab.record) {
		perror(path);
		exit(LAB_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (access("target/daisyledge", X_OK))
		lab_end(LAB_NOT_RUN, "target/daisyledge is not built");
	snprintf(lab.temp, sizeof(lab.temp), "%s/review-2-XXXXXX",
		 getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	if (!mkdtemp(lab.temp)) {
		lab.temp[0] = '\0';
		lab_end(LAB_NOT_RUN, "no temporary folder");
	}
	pick_net();
	set_ips();
	pthread_create(&t, NULL, watchdog, NULL);
	lab_note("the disruption is %s", lab.trouble ? "on" : "off");
}

/* The settings that the templates of the deploy file give. */
static void write_settings(const char *role, int i, bool first, char *path)
{
	bool entry = strcmp(role, "entry") == 0;
	char a[32], seeds[200], data[200];
	FILE *f;

	snprintf(path, 200, "%s/%s-%d.json", lab.temp, role, i);
	snprintf(seeds, sizeof(seeds), "\"%s:%d\",\"%s:%d\",\"%s:%d\"",
		 lab_control_ip(1), CONTROL_PORT, lab_control_ip(2),
		 CONTROL_PORT, lab_control_ip(3), CONTROL_PORT);
	f = fopen(path, "we");
	if (!f)
		lab_end(LAB_NOT_RUN, "no settings file");
	ip_text(a, i, entry ? 1 : 2);
	fprintf(f,
		"{\"name\":\"%s-%d\",\"failure_domain\":\"zone-%d\","
		"\"region\":\"region\",\"failure_domains\":[\"zone-1\","
		"\"zone-2\",\"zone-3\"],\"foreign\":true,"
		"\"metrics\":\"%s:%d\",\"peer\":\"%s:%d\",\"seeds\":[%s],",
		role, i, i, a, METRICS_PORT, a, PEER_PORT, seeds);
	if (lab_drain_ms)
		fprintf(f, "\"endpoint_drain_ms\":%d,", lab_drain_ms);
	if (entry) {
		fprintf(f,
			"\"http\":\"%s:%d\",\"ready\":\"%s:%d\","
			"\"tunnel\":\"%s:%d\",\"key_lease_ms\":5000,"
			"\"stop_s\":8,\"retry_ratio\":0.2,"
			"\"retry_slack\":100,\"retry_window_s\":10,"
			"\"buffer_mb\":64,\"connections_max\":3000}\n",
			a, FRONT_PORT, a, READY_PORT, a, TUNNEL_PORT);
	} else {
		snprintf(data, sizeof(data), "%s/data-%d", lab.temp, i);
		mkdir(data, 0700);
		fprintf(f,
			"\"operators\":\"%s:%d\",\"found\":%s,"
			"\"failures_max\":1,\"data_folder\":\"%s\"}\n",
			a, CONTROL_PORT, first ? "true" : "false", data);
	}
	fclose(f);
}

static pid_t start(const char *role, int i, bool first)
{
	char path[200], log[200];
	pid_t pid, parent = getpid();

	write_settings(role, i, first, path);
	snprintf(log, sizeof(log), "%s/%s-%d.log", lab.temp, role, i);
	pid = fork();
	if (pid < 0)
		lab_end(LAB_NOT_RUN, "fork: %s", strerror(errno));
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(fd, 1);
		dup2(fd, 2);
		signal(SIGPIPE, SIG_DFL);
		setenv("DAISYLEDGE_SETTINGS", path, 1);
		execl("target/daisyledge", "target/daisyledge", role,
		      (char *)NULL);
		_exit(127);
	}
	lab_note("%s %d starts", role, i);
	return pid;
}

void lab_start_replica(int i, bool first)
{
	lab.replica[i] = start("replica", i, first);
}

void lab_start_entry(int i)
{
	lab.entry[i] = start("entry", i, false);
}

static pid_t *pid_of(const char *role, int i)
{
	return strcmp(role, "entry") ? &lab.replica[i] : &lab.entry[i];
}

void lab_signal(const char *role, int i, int sig)
{
	kill(*pid_of(role, i), sig);
	lab_note("%s %d gets %s", role, i, strsignal(sig));
}

pid_t lab_pid(const char *role, int i)
{
	return *pid_of(role, i);
}

void lab_kill(const char *role, int i)
{
	pid_t *pid = pid_of(role, i);

	lab_signal(role, i, SIGKILL);
	waitpid(*pid, NULL, 0);
	*pid = 0;
}

bool lab_log_has(const char *role, int i, const char *text)
{
	char path[200], line[4096];
	bool found = false;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s-%d.log", lab.temp, role, i);
	f = fopen(path, "re");
	while (f && !found && fgets(line, sizeof(line), f))
		found = strstr(line, text) != NULL;
	if (f)
		fclose(f);
	return found;
}

bool lab_write(int fd, const void *bytes, size_t n)
{
	const char *at = bytes;

	while (n) {
		ssize_t k = send(fd, at, n, MSG_NOSIGNAL);

		if (k < 0 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		at += k;
		n -= (size_t)k;
	}
	return true;
}

static int connect_to(const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in sin = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	struct pollfd p = { fd, POLLOUT, 0 };
	socklen_t n = sizeof(int);
	int error = 0;

	fcntl(fd, F_SETFL, O_NONBLOCK);
	if (connect(fd, (void *)&sin, sizeof(sin)) && errno != EINPROGRESS)
		goto fail;
	if (poll(&p, 1, timeout_ms) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) || error)
		goto fail;
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
fail:
	close(fd);
	return -1;
}

bool lab_header(const char *head, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);

	for (const char *at = strstr(head, "\r\n"); at && at[2] != '\r';
	     at = strstr(at, "\r\n")) {
		const char *end;

		at += 2;
		if (strncasecmp(at, name, n) != 0 || at[n] != ':')
			continue;
		at += n + 1;
		while (*at == ' ')
			at++;
		end = strstr(at, "\r\n");
		if (out)
			snprintf(out, size, "%.*s", (int)(end - at), at);
		return true;
	}
	return false;
}

/* Bytes of a connection. */
struct reader {
	int fd;
	int64_t until;
	char *buf;
	size_t n, size;
	const char *end; /* why nothing more comes */
};

static bool more(struct reader *r)
{
	struct pollfd p = { r->fd, POLLIN, 0 };
	int64_t left = r->until - lab_now();
	ssize_t n;

	if (r->end)
		return false;
	if (left <= 0 || poll(&p, 1, (int)left) != 1) {
		r->end = "nothing in time";
		return false;
	}
	if (r->size - r->n < 65536) {
		r->size = r->size * 2 + 131072;
		r->buf = realloc(r->buf, r->size);
	}
	n = recv(r->fd, r->buf + r->n, r->size - r->n - 1, 0);
	if (n < 0 && errno == EINTR)
		return true;
	if (n <= 0) {
		r->end = n == 0 ? "closed" : strerror(errno);
		return false;
	}
	r->n += (size_t)n;
	r->buf[r->n] = '\0';
	return true;
}

static size_t read_head(struct reader *r, char *out, size_t size)
{
	for (;;) {
		char *end = r->n ? memmem(r->buf, r->n, "\r\n\r\n", 4) : NULL;

		if (end) {
			size_t n = (size_t)(end - r->buf) + 4;

			snprintf(out, size, "%.*s", (int)n, r->buf);
			return n;
		}
		if (!more(r))
			return 0;
	}
}

/* Reads chunks from at; false if they do not end. */
static bool read_chunks(struct reader *r, size_t at, char **out, size_t *out_n,
			size_t *used)
{
	size_t size = 0;

	for (;;) {
		char *eol;
		size_t n;

		while (!(eol = at < r->n ? memmem(r->buf + at, r->n - at,
						  "\r\n", 2) :
					   NULL)) {
			if (!more(r))
				return false;
		}
		n = strtoul(r->buf + at, NULL, 16);
		at = (size_t)(eol - r->buf) + 2;
		while (r->n < at + n + 2) {
			if (!more(r))
				break;
		}
		if (*out_n + n > size) {
			size = (*out_n + n) * 2 + 4096;
			*out = realloc(*out, size);
		}
		if (r->n < at + n + 2) {
			size_t got = r->n > at ? r->n - at : 0;

			got = got > n ? n : got;
			memcpy(*out + *out_n, r->buf + at, got);
			*out_n += got;
			return false;
		}
		memcpy(*out + *out_n, r->buf + at, n);
		*out_n += n;
		at += n + 2;
		if (n == 0) {
			*used = at;
			return true;
		}
	}
}

static void read_answer(struct reader *r, bool reads_on, struct lab_answer *a)
{
	size_t head = read_head(r, a->head, sizeof(a->head)), used = 0;
	char text[64];

	if (!head) {
		a->end = r->end;
		return;
	}
	sscanf(a->head, "HTTP/1.%*d %d", &a->status);
	if (lab_header(a->head, "transfer-encoding", text, sizeof(text))) {
		a->whole = read_chunks(r, head, &a->body, &a->body_n, &used);
	} else if (lab_header(a->head, "content-length", text, sizeof(text))) {
		size_t n = strtoul(text, NULL, 10);

		while (r->n < head + n && more(r))
			;
		a->whole = r->n >= head + n;
		a->body_n = a->whole ? n : r->n - head;
		a->body = malloc(a->body_n + 1);
		memcpy(a->body, r->buf + head, a->body_n);
		used = head + n;
	} else {
		while (more(r))
			;
		a->whole = r->end && strcmp(r->end, "closed") == 0;
		a->body_n = r->n - head;
		a->body = malloc(a->body_n + 1);
		memcpy(a->body, r->buf + head, a->body_n);
		used = r->n;
	}
	if (a->whole && reads_on) {
		r->until = lab_now() + 500;
		while (more(r))
			;
		a->extra = r->n - used;
	}
	a->end = a->whole ? "whole" : r->end;
}

static void call(const char *ip, int port, const char *method,
		 const char *host, const char *path, const char *headers,
		 const char *body, bool reads_on, int timeout_ms,
		 struct lab_answer *a)
{
	struct reader r = { .until = lab_now() + timeout_ms };
	size_t n = strlen(body), size = strlen(headers) + strlen(path) + 512;
	char *head = malloc(size);

	memset(a, 0, sizeof(*a));
	a->end = "no connection";
	r.fd = connect_to(ip, port, timeout_ms < 1000 ? timeout_ms : 1000);
	if (r.fd < 0) {
		free(head);
		return;
	}
	snprintf(head, size,
		 "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %zu\r\n\r\n",
		 method, path, host, headers, n);
	if (lab_write(r.fd, head, strlen(head)) && lab_write(r.fd, body, n))
		read_answer(&r, reads_on, a);
	else
		a->end = "not sent";
	free(head);
	free(r.buf);
	close(r.fd);
}

void lab_call(int entry, const char *method, const char *host,
	      const char *path, const char *headers, const char *body,
	      int timeout_ms, struct lab_answer *a)
{
	call(lab_entry_ip(entry), FRONT_PORT, method, host, path, headers, body,
	     true, timeout_ms, a);
}

void lab_answer_free(struct lab_answer *a)
{
	free(a->body);
	a->body = NULL;
}

static int control_call(int i, const char *path, const char *body)
{
	struct lab_answer a;
	int status;

	call(lab_control_ip(i), CONTROL_PORT, "POST", "control", path,
	     "Content-Type: application/json\r\n", body, false, 1000, &a);
	status = a.status;
	lab_answer_free(&a);
	return status;
}

bool lab_put(const char *config, int timeout_ms)
{
	int64_t until = lab_now() + timeout_ms;

	for (int i = 1; lab_now() < until; i = i % LAB_VMS + 1) {
		int status = control_call(i, "/-/Config.Put", config);

		lab_note("Config.Put at control %d: %d", i, status);
		if (status == 200)
			return true;
		if (status != 307)
			lab_sleep(150);
	}
	return false;
}

bool lab_ready(int entry)
{
	struct lab_answer a;
	int status;

	call(lab_entry_ip(entry), READY_PORT, "GET", "ready", "/-/ready", "",
	     "", false, 1000, &a);
	status = a.status;
	lab_answer_free(&a);
	return status == 200;
}

void lab_start_all(const char *config)
{
	for (int i = 1; i <= LAB_VMS; i++) {
		lab_start_replica(i, true);
		lab_start_entry(i);
	}
	lab_sleep(500);
	if (!lab_put(config, 15000))
		lab_end(LAB_NOT_RUN, "the first configuration is not accepted");
	for (int i = 1; i <= LAB_VMS; i++) {
		int64_t until = lab_now() + 10000;

		while (!lab_ready(i) && lab_now() < until)
			lab_sleep(50);
		if (!lab_ready(i))
			lab_end(LAB_NOT_RUN, "entry %d is not ready", i);
	}
	lab_note("all entries are ready");
}

bool lab_beat(struct lab_runner *r, int control, uint64_t seq,
	      const char *state)
{
	char path[128], body[600];
	int status;

	snprintf(path, sizeof(path), "/-/Instances.Heartbeat/%s", r->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":16,\"state\":\"%s\","
		 "\"cold_remaining_ms\":0,\"stage\":\"both\","
		 "\"models\":[{\"name\":\"m\",\"version\":1,"
		 "\"adapters\":[]}],\"seq\":%lu,\"born\":%ld}",
		 r->service, r->address, r->zone, state, (unsigned long)seq,
		 (long)r->born);
	status = control_call(control, path, body);
	return status >= 200 && status < 300;
}

bool lab_deregister(struct lab_runner *r, int control)
{
	char path[128], body[64];
	int status;

	snprintf(path, sizeof(path), "/-/Instances.Deregister/%s", r->id);
	snprintf(body, sizeof(body), "{\"born\":%ld}", (long)r->born);
	status = control_call(control, path, body);
	lab_note("runner %s deregisters at control %d: %d", r->id, control,
		 status);
	return status >= 200 && status < 300;
}

/* Sends heartbeats to one replica, and to the next after a failure. */
static void *beat(void *arg)
{
	struct lab_runner *r = arg;

	for (;;) {
		if (r->beating) {
			if (lab_beat(r, r->control, ++r->seq, "ready")) {
				r->beat_at = lab_now();
			} else {
				r->control = r->control % LAB_VMS + 1;
				lab_sleep(100);
				continue;
			}
		}
		lab_sleep(BEAT_MS);
	}
	return NULL;
}

struct served {
	struct lab_runner *runner;
	int fd;
};

static bool read_request(struct reader *r, struct lab_request *req)
{
	size_t head = read_head(r, req->head, sizeof(req->head)), n;
	char text[64] = "0";

	if (!head)
		return false;
	snprintf(req->line, sizeof(req->line), "%.*s",
		 (int)strcspn(req->head, "\r"), req->head);
	lab_header(req->head, "content-length", text, sizeof(text));
	n = strtoul(text, NULL, 10);
	while (r->n < head + n) {
		if (!more(r))
			return false;
	}
	req->body = malloc(n + 1);
	memcpy(req->body, r->buf + head, n);
	req->body_n = n;
	r->n -= head + n;
	memmove(r->buf, r->buf + head + n, r->n);
	lab_header(req->head, "daisyledge-attempt-id", req->attempt,
		   sizeof(req->attempt));
	text[0] = '\0';
	lab_header(req->head, "last-event-id", text, sizeof(text));
	req->after_event = strtoul(text, NULL, 10);
	return true;
}

static void *serve(void *arg)
{
	struct served *s = arg;
	struct lab_runner *r = s->runner;
	struct reader in = { .fd = s->fd };
	int go_on = 1;

	while (go_on) {
		struct lab_request req = { .fd = s->fd };
		char target[64] = "";

		in.until = lab_now() + 30000;
		if (!read_request(&in, &req))
			break;
		if (lab_header(req.head, "daisyledge-target-instance", target,
			       sizeof(target)) &&
		    strcmp(target, r->id) != 0) {
			static const char gone[] =
				"HTTP/1.1 421 Misdirected\r\n"
				"Daisyledge-Not-Executed: 1\r\n"
				"Content-Length: 0\r\n\r\n";

			lab_write(s->fd, gone, sizeof(gone) - 1);
		} else {
			req.nth = __sync_add_and_fetch(&r->got, 1);
			lab_note("runner %s runs %s (%s)", r->id, req.attempt,
				 req.line);
			go_on = r->serve(r, &req);
		}
		free(req.body);
	}
	close(s->fd);
	free(in.buf);
	free(s);
	return NULL;
}

static void spawn(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&t, &attr, run, arg))
		lab_end(LAB_NOT_RUN, "no thread");
	pthread_attr_destroy(&attr);
}

struct listening {
	struct lab_runner *runner;
	int fd;
};

static void *accept_all(void *arg)
{
	struct listening *l = arg;

	for (;;) {
		int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC), on = 1;
		struct served *s;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		s = malloc(sizeof(*s));
		*s = (struct served){ l->runner, fd };
		spawn(serve, s);
	}
	return NULL;
}

struct lab_runner *lab_runner(const char *id, const char *service, int zone,
			      int (*serve_one)(struct lab_runner *,
					       struct lab_request *))
{
	struct lab_runner *r = calloc(1, sizeof(*r));
	struct listening *l = malloc(sizeof(*l));
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	snprintf(r->id, sizeof(r->id), "%s", id);
	snprintf(r->service, sizeof(r->service), "%s", service);
	snprintf(r->zone, sizeof(r->zone), "zone-%d", zone);
	ip_text(r->ip, 10 + lab.runners++, 1);
	r->port = RUNNER_PORT;
	snprintf(r->address, sizeof(r->address), "%s:%d", r->ip, r->port);
	r->born = now.tv_sec * 1000LL + now.tv_nsec / 1000000;
	r->control = zone;
	r->serve = serve_one;
	l->runner = r;
	l->fd = try_bind(r->ip, r->port);
	if (l->fd < 0 || listen(l->fd, 128))
		lab_end(LAB_NOT_RUN, "runner %s cannot listen", id);
	r->beating = true;
	spawn(accept_all, l);
	spawn(beat, r);
	return r;
}

int lab_reply(struct lab_runner *r, struct lab_request *req, int status,
	      const char *body, size_t n)
{
	char head[512];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Answer\r\nDaisyledge-Attempt-Id: %s\r\n"
		 "Daisyledge-Response-Stamp: %s.%d\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, req->attempt, r->id, req->nth, n);
	return lab_write(req->fd, head, strlen(head)) &&
	       lab_write(req->fd, body, n);
}
