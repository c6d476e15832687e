/*
 * Authentication of operators and endpoints by a shared secret that signs their
 * requests.
 * The header Daisyledge-Signature is "TIME HEX": TIME is the sender's wall
 * clock in milliseconds, HEX the HMAC-SHA256 of method, path, TIME and body,
 * each but the last followed by a newline. Two keys may be valid at a time, so
 * that keys can be rotated without rejecting requests.
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
	uint32_t count; /* 0: no signature is required */
	struct dl_key key[DL_KEYS_MAX];
};

struct dl_signed {
	struct dl_str method, path, body;
};

/* Writes a null-terminated signature made at wall_ms; 0 or -ENOMEM. */
int dl_sign(const struct dl_key *key, const struct dl_signed *what,
	    int64_t wall_ms, char out[DL_SIGNATURE_MAX]);
/*
 * Returns 0 if one of the keys made the signature and its time is within two
 * minutes of wall_ms; -EACCES otherwise.
 */
int dl_sign_check(const struct dl_keys *keys, const struct dl_signed *what,
		  struct dl_str signature, int64_t wall_ms);

#endif
