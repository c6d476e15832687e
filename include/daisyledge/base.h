/*
 * What every part of the library shares: length-counted strings, addresses,
 * errors that carry the step and the peer, and times.
 *
 * Times are int64_t milliseconds of a monotonic clock that the caller reads;
 * no part of the library reads a clock.  Durations end in _ms.
 */
#ifndef DAISYLEDGE_BASE_H
#define DAISYLEDGE_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string with its length; not terminated, not owned. */
struct dl_str {
	const char *s;
	size_t n;
};

#define DL_STR(literal) ((struct dl_str){ (literal), sizeof(literal) - 1 })

/* The longest name of a service, workspace, endpoint, VM or class. */
#define DL_NAME_MAX 63

/* A short string held in place, for names that outlive their message. */
struct dl_name {
	uint8_t n;
	char s[DL_NAME_MAX + 1];
};

/*
 * A process of the system, named by where it listens for its peers:
 * IPv4 address and port packed as ip << 16 | port, host order; 0 is nobody.
 * Held as a plain uint64_t and named vm where it stands.
 */
#define DL_VM_NONE ((uint64_t)0)

/* The step of a call or of a change at which an error arose. */
enum dl_step {
	DL_STEP_NONE,
	DL_STEP_READ,  /* reading what the caller sent */
	DL_STEP_CHECK, /* checking it */
	DL_STEP_CLAIM, /* writing the idempotency claim */
	DL_STEP_ADMIT,
	DL_STEP_QUEUE,
	DL_STEP_PLACE,
	DL_STEP_CONNECT,
	DL_STEP_SEND,
	DL_STEP_HEAD, /* waiting for the head of the answer */
	DL_STEP_BODY, /* between the first and the last byte of it */
	DL_STEP_REPLICATE,
	DL_STEP_STORE, /* on the disk */
	DL_STEP_APPLY,
	DL_STEP_COUNT,
};

/* An error: a negative errno, where it arose, with whom, and why. */
struct dl_err {
	int code;
	enum dl_step step;
	char peer[48];
	char text[160];
};

#define DL_ENOLEADER (-1001) /* no leader is known, ask another replica */
#define DL_ENOQUORUM (-1002) /* no majority answers */
#define DL_ECONFLICT (-1003) /* another change took this version */
#define DL_EREUSED   (-1004) /* a change id with another text */
#define DL_EDAMAGED  (-1005) /* a stored record fails its checksum */

const char *dl_step_name(enum dl_step step);

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

/* A word of the log: which part speaks, and how loud. */
enum dl_level {
	DL_DEBUG,
	DL_INFO,
	DL_WARN,
	DL_ERROR
};

/* Where messages go; without a sink they are dropped. */
struct dl_log_sink {
	void (*line)(void *arg, enum dl_level level, const char *part,
		     const char *text);
	void *arg;
};

void dl_log_set_sink(struct dl_log_sink sink);

#endif
