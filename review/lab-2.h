/*
 * A small deployment for the cases of the second review: starts the project's
 * programs as processes on loopback addresses, and has a stand-in of each other
 * party: an operator, runners and clients. What they send and get goes to the
 * record of the case.
 */
#ifndef LAB_2_H
#define LAB_2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define LAB_HELD   0
#define LAB_BROKEN 1
#define LAB_NOT_RUN 2 /* the case could not be run */

#define LAB_VMS 3 /* of each role, one a zone */

/* An answer, or what came of it. */
struct lab_answer {
	int status;	/* 0: none */
	char head[16384];
	char *body;	/* the bytes that belong to the answer by its framing */
	size_t body_n;
	size_t extra;	/* bytes after the whole answer */
	bool whole;	/* ended by its own framing */
	const char *end; /* why it ended */
};

/* A request as a runner gets it. */
struct lab_request {
	char line[1024]; /* method and path */
	char head[32768];
	char *body;
	size_t body_n;
	char attempt[64];
	uint64_t after_event; /* Last-Event-Id; 0: none */
	int fd;
	int nth; /* of this runner, from 1 */
};

struct lab_runner {
	char id[32];
	char service[32];
	char zone[16];
	char address[48];
	char ip[32];
	int port;
	int64_t born;
	uint64_t seq;
	int control;		/* the replica it reports to, from 1 */
	volatile bool beating;	/* sends heartbeats */
	volatile int64_t beat_at; /* when the last one was acknowledged */
	volatile int got;	/* requests that it has run */
	int (*serve)(struct lab_runner *r, struct lab_request *req);
	void *arg;
};

/*
 * The setting endpoint_drain_ms, of deployments with evacuations; 0: none, as in
 * the others.
 */
extern int lab_drain_ms;

/* Starts a case; argv[1] is its folder. */
void lab_begin(int argc, char **argv);
/* Whether the disruption is on. */
bool lab_trouble(void);
/* Ends all processes and the case. */
void lab_end(int result, const char *fmt, ...)
	__attribute__((format(printf, 2, 3), noreturn));
void lab_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int64_t lab_now(void); /* ms since the start of the case */
void lab_sleep(int ms);

void lab_start_replica(int i, bool first);
void lab_start_entry(int i);
void lab_kill(const char *role, int i); /* SIGKILL */
void lab_signal(const char *role, int i, int sig);
pid_t lab_pid(const char *role, int i); /* 0: it does not run */
const char *lab_entry_ip(int i);
const char *lab_control_ip(int i);
/* Whether the log of a process has a line with this text. */
bool lab_log_has(const char *role, int i, const char *text);

/* Puts a configuration; true once it is acknowledged. */
bool lab_put(const char *config, int timeout_ms);
bool lab_ready(int entry);
/* Starts all, puts the configuration, and waits until all entries are ready. */
void lab_start_all(const char *config);

struct lab_runner *lab_runner(const char *id, const char *service, int zone,
			      int (*serve)(struct lab_runner *,
					   struct lab_request *));
/* Sends a heartbeat with a sequence number; true if it is acknowledged. */
bool lab_beat(struct lab_runner *r, int control, uint64_t seq,
	      const char *state);
bool lab_deregister(struct lab_runner *r, int control);

/*
 * Sends a request to an entry and reads the answer. headers: lines that end in
 * CR LF, after Host.
 */
void lab_call(int entry, const char *method, const char *host,
	      const char *path, const char *headers, const char *body,
	      int timeout_ms, struct lab_answer *a);
void lab_answer_free(struct lab_answer *a);
/* Whether a head has a header; its value goes to out. */
bool lab_header(const char *head, const char *name, char *out, size_t n);
bool lab_write(int fd, const void *bytes, size_t n);
/* A plain answer with a stamp. */
int lab_reply(struct lab_runner *r, struct lab_request *req, int status,
	      const char *body, size_t n);

#endif
