/* Request signatures for the fakes and tools, with a key from a file. */
#ifndef DL_FAKE_SIGN_H
#define DL_FAKE_SIGN_H

#include "http.h"
#include "protocol/sign.h"

/* Reads a key from the first line of a file; -EINVAL if there is none. */
int fake_key_read(const char *path, struct dl_key *key);
/* Signs a request with a timestamp ago_ms in the past; written to out. */
int fake_sign(const struct dl_key *key, const struct fake_call_req *req,
	      int64_t ago_ms, char out[DL_SIGNATURE_MAX]);

#endif
