/*
 * Who may do what: a shared secret signs what operators and endpoints send.
 * The header Daisyledge-Signature is "TIME HEX": TIME is the sender's wall
 * clock in milliseconds, HEX the HMAC-SHA256 of method, path, TIME and body,
 * each but the last followed by a newline.  Two keys may be valid at a time, so
 * that keys are exchanged without a gap.
 */
#ifndef DL_PROTOCOL_SIGN_H
#define DL_PROTOCOL_SIGN_H

#include "daisyledge/base.h"

#define DL_KEY_MAX	 128
#define DL_KEYS_MAX	 2
#define DL_SIGNATURE_MAX 96

struct dl_key {
	uint8_t n;
	char s[DL_KEY_MAX];
};

struct dl_keys {
	uint32_t count; /* 0: the door is open */
	struct dl_key key[DL_KEYS_MAX];
};

struct dl_signed {
	struct dl_str method, path, body;
};

/* Write a signature made at a time, terminated, into out. */
int dl_sign(const struct dl_key *key, const struct dl_signed *what,
	    int64_t wall_ms, char out[DL_SIGNATURE_MAX]);
/*
 * 0 where one of the keys made the signature within the last minutes; -EACCES
 * else, also where the clock differs too much.
 */
int dl_sign_check(const struct dl_keys *keys, const struct dl_signed *what,
		  struct dl_str signature, int64_t wall_ms);

#endif
