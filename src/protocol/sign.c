/* HMAC-SHA256 signatures by libcrypto. */
#include "protocol/sign.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#define MAC_BYTES ((size_t)32)
#define MAC_HEX	  (MAC_BYTES * 2)
/*
 * Larger than the difference between the clocks of two VMs, which is seconds;
 * short enough to limit the replay of a captured request.
 */
#define AGE_MAX_MS 120000

static bool compute_mac(const struct dl_key *key, const struct dl_signed *what,
			const char *time_text, unsigned char out[MAC_BYTES])
{
	size_t n = what->method.n + what->path.n + strlen(time_text) + 3;
	char *text = malloc(n + what->body.n + 1);
	unsigned int out_n = MAC_BYTES;
	bool ok;

	if (!text)
		return false;
	snprintf(text, n + 1, "%.*s\n%.*s\n%s\n", (int)what->method.n,
		 what->method.s, (int)what->path.n, what->path.s, time_text);
	if (what->body.n)
		memcpy(text + n, what->body.s, what->body.n);
	ok = HMAC(EVP_sha256(), key->s, key->n, (unsigned char *)text,
		  n + what->body.n, out, &out_n) != NULL;
	free(text);
	return ok;
}

static void to_hex(const unsigned char *bytes, char out[MAC_HEX + 1])
{
	for (size_t i = 0; i < MAC_BYTES; i++)
		snprintf(out + i * 2, 3, "%02x", bytes[i]);
}

/* Signs a request that is about to be sent. */
int dl_sign(const struct dl_key *key, const struct dl_signed *what,
	    int64_t wall_ms, char out[DL_SIGNATURE_MAX])
{
	unsigned char bytes[MAC_BYTES];
	char time_text[24], hex[MAC_HEX + 1];

	snprintf(time_text, sizeof(time_text), "%" PRId64, wall_ms);
	if (!compute_mac(key, what, time_text, bytes))
		return -ENOMEM;
	to_hex(bytes, hex);
	snprintf(out, DL_SIGNATURE_MAX, "%s %s", time_text, hex);
	return 0;
}

/* Splits "TIME HEX" and checks that TIME is within AGE_MAX_MS of wall_ms. */
static bool parse_signature(struct dl_str signature, int64_t wall_ms,
			    char time_text[24], struct dl_str *hex)
{
	const char *space = memchr(signature.s, ' ', signature.n);
	uint64_t then;
	size_t n;

	if (!space)
		return false;
	n = (size_t)(space - signature.s);
	if (n >= 24 || signature.n != n + 1 + MAC_HEX ||
	    !dl_str_to_u64((struct dl_str){ signature.s, n }, &then))
		return false;
	memcpy(time_text, signature.s, n);
	time_text[n] = '\0';
	*hex = (struct dl_str){ space + 1, MAC_HEX };
	return llabs((int64_t)then - wall_ms) <= AGE_MAX_MS;
}

/*
 * Verifies a signature against every valid key. Each comparison takes constant
 * time, and a match does not end the loop early.
 */
int dl_sign_check(const struct dl_keys *keys, const struct dl_signed *what,
		  struct dl_str signature, int64_t wall_ms)
{
	char time_text[24], hex[MAC_HEX + 1];
	unsigned char bytes[MAC_BYTES];
	struct dl_str received;
	int matches = 0;

	if (!parse_signature(signature, wall_ms, time_text, &received))
		return -EACCES;
	for (uint32_t i = 0; i < keys->count; i++) {
		if (!compute_mac(&keys->key[i], what, time_text, bytes))
			return -EACCES;
		to_hex(bytes, hex);
		matches |= CRYPTO_memcmp(hex, received.s, MAC_HEX) == 0;
	}
	return matches ? 0 : -EACCES;
}
