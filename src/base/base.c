/* Length-counted strings, names, hashes, VM addresses and errors. */
#include "daisyledge/base.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#define IP_PARTS    4
#define PORT_BITS   16
#define PORT_MAX    65535
#define IP_PART_MAX 255

static const char *const step_names[DL_STEP_COUNT] = {
	[DL_STEP_NONE] = "none",   [DL_STEP_READ] = "read",
	[DL_STEP_CHECK] = "check", [DL_STEP_CLAIM] = "claim",
	[DL_STEP_ADMIT] = "admit", [DL_STEP_QUEUE] = "queue",
	[DL_STEP_PLACE] = "place", [DL_STEP_CONNECT] = "connect",
	[DL_STEP_SEND] = "send",   [DL_STEP_HEAD] = "head",
	[DL_STEP_BODY] = "body",   [DL_STEP_REPLICATE] = "replicate",
	[DL_STEP_STORE] = "store", [DL_STEP_APPLY] = "apply",
};

/* Returns the name of a step, as used in responses and logs. */
const char *dl_step_name(enum dl_step step)
{
	if ((unsigned)step >= DL_STEP_COUNT)
		return "none";
	return step_names[step];
}

/*
 * Fills in an error and returns its code, so that a caller can fail with one
 * return statement. err and peer may be NULL.
 */
int dl_err_set(struct dl_err *err, int code, enum dl_step step,
	       const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return code;
	err->code = code;
	err->step = step;
	snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return code;
}

bool dl_str_eq(struct dl_str a, struct dl_str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.s, b.s, a.n) == 0);
}

/* Returns a view of a NUL-terminated string; NULL gives an empty one. */
struct dl_str dl_str_of(const char *terminated)
{
	if (!terminated)
		return (struct dl_str){ "", 0 };
	return (struct dl_str){ terminated, strlen(terminated) };
}

/* Parses a decimal number of up to 19 digits; returns false on other input. */
bool dl_str_to_u64(struct dl_str s, uint64_t *out)
{
	uint64_t v = 0;

	if (s.n == 0 || s.n > 19)
		return false;
	for (size_t i = 0; i < s.n; i++) {
		if (s.s[i] < '0' || s.s[i] > '9')
			return false;
		v = v * 10 + (uint64_t)(s.s[i] - '0');
	}
	*out = v;
	return true;
}

/* Copies a string into a name; false, and no change, if it is too long. */
bool dl_name_set(struct dl_name *name, struct dl_str s)
{
	if (s.n > DL_NAME_MAX)
		return false;
	memset(name->s, 0, sizeof(name->s));
	if (s.n)
		memcpy(name->s, s.s, s.n);
	name->n = (uint8_t)s.n;
	return true;
}

/* Returns a view of a name, valid as long as the name. */
struct dl_str dl_name_str(const struct dl_name *name)
{
	return (struct dl_str){ name->s, name->n };
}

bool dl_name_eq(const struct dl_name *name, struct dl_str s)
{
	return dl_str_eq(dl_name_str(name), s);
}

/* Returns a 64-bit hash of a string, equal on every VM. */
uint64_t dl_hash(struct dl_str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.s, s.n, seed);
}

/* Parses "1.2.3.4:port" into a VM's id. */
bool dl_vm_parse(struct dl_str s, uint64_t *out)
{
	char text[24];
	unsigned part[IP_PARTS], port;
	uint64_t ip = 0;
	char rest;

	if (s.n == 0 || s.n >= sizeof(text))
		return false;
	memcpy(text, s.s, s.n);
	text[s.n] = '\0';
	if (sscanf(text, "%3u.%3u.%3u.%3u:%5u%c", &part[0], &part[1], &part[2],
		   &part[3], &port, &rest) != IP_PARTS + 1)
		return false;
	for (int i = 0; i < IP_PARTS; i++) {
		if (part[i] > IP_PART_MAX)
			return false;
		ip = ip << 8 | part[i];
	}
	if (port == 0 || port > PORT_MAX)
		return false;
	*out = ip << PORT_BITS | port;
	return true;
}

/* Formats a VM's id as "1.2.3.4:port" into out and returns out. */
const char *dl_vm_text(uint64_t vm, char out[24])
{
	uint64_t ip = vm >> PORT_BITS;

	snprintf(out, 24, "%u.%u.%u.%u:%u", (unsigned)(ip >> 24 & 255),
		 (unsigned)(ip >> 16 & 255), (unsigned)(ip >> 8 & 255),
		 (unsigned)(ip & 255), (unsigned)(vm & PORT_MAX));
	return out;
}

/*
 * Whether a file that cannot be opened, by a negative errno, may be opened
 * later.  Other errors, such as a folder that is missing, are faults of the
 * settings.
 */
bool dl_open_may_succeed_later(int code)
{
	switch (code) {
	case -ENOSPC:
	case -EDQUOT:
	case -EIO:
	case -EMFILE:
	case -ENFILE:
	case -ENOMEM:
		return true;
	default:
		return false;
	}
}
