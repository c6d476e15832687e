/*
 * Types shared by all parts of the library: length-counted strings, addresses,
 * errors with the step and the peer, and log levels.
 *
 * Times are int64_t milliseconds of a monotonic clock that the caller reads; no
 * part of the library reads a clock. Durations end in _ms.
 */
#ifndef DAISYLEDGE_BASE_H
#define DAISYLEDGE_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string with its length; not NUL-terminated, not owned. */
struct dl_str {
	const char *s;
	size_t n;
};

#define DL_STR(literal) ((struct dl_str){ (literal), sizeof(literal) - 1 })

/* The longest name of a service, workspace, endpoint, VM or class. */
#define DL_NAME_MAX 63

/*
 * A short string stored inline, for names that outlive the message they came
 * in.
 */
struct dl_name {
	uint8_t n;
	char s[DL_NAME_MAX + 1];
};

/*
 * A process of the system, identified by the address on which it accepts peer
 * connections: IPv4 address and port packed as ip << 16 | port, in host byte
 * order; 0 means none. Stored as a plain uint64_t and usually named vm.
 */
#define DL_VM_NONE ((uint64_t)0)

/*
 * The step of a call or of a configuration change at which an error occurred.
 */
enum dl_step {
	DL_STEP_NONE,
	DL_STEP_READ,  /* reading the caller's request */
	DL_STEP_CHECK, /* validating it */
	DL_STEP_CLAIM, /* writing the idempotency claim */
	DL_STEP_ADMIT,
	DL_STEP_QUEUE,
	DL_STEP_PLACE,
	DL_STEP_CONNECT,
	DL_STEP_SEND,
	DL_STEP_HEAD, /* waiting for the response head */
	DL_STEP_BODY, /* between the first and last byte of the response body */
	DL_STEP_REPLICATE,
	DL_STEP_STORE, /* writing to or reading from disk */
	DL_STEP_APPLY,
	DL_STEP_COUNT,
};

/* An error: a negative errno, the step, the peer and a message. */
struct dl_err {
	int code;
	enum dl_step step;
	char peer[48];
	char text[160];
};

#define DL_ENOLEADER (-1001) /* no leader known; ask another replica */
#define DL_ENOQUORUM (-1002) /* no majority of replicas answers */
#define DL_ECONFLICT (-1003) /* another change took this version */
#define DL_EREUSED   (-1004) /* change id reused with a different text */
#define DL_EDAMAGED  (-1005) /* stored record fails its checksum */

const char *dl_step_name(enum dl_step step);

bool dl_open_may_succeed_later(int code);
int dl_err_set(struct dl_err *err, int code, enum dl_step step,
	       const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

bool dl_str_eq(struct dl_str a, struct dl_str b);
struct dl_str dl_str_of(const char *terminated);
bool dl_str_to_u64(struct dl_str s, uint64_t *out);

bool dl_name_set(struct dl_name *name, struct dl_str s);
struct dl_str dl_name_str(const struct dl_name *name);
bool dl_name_eq(const struct dl_name *name, struct dl_str s);

uint64_t dl_hash(struct dl_str s, uint64_t seed);

bool dl_vm_parse(struct dl_str s, uint64_t *out);
const char *dl_vm_text(uint64_t vm, char out[24]);

/* Severity of a log message. */
enum dl_level {
	DL_DEBUG,
	DL_INFO,
	DL_WARN,
	DL_ERROR
};

/* Destination of log messages; without a sink they are dropped. */
struct dl_log_sink {
	void (*line)(void *arg, enum dl_level level, const char *part,
		     const char *text);
	void *arg;
};

void dl_log_set_sink(struct dl_log_sink sink);

#endif
