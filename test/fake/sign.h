/* What is sent to a door that has keys. */
#ifndef DL_FAKE_SIGN_H
#define DL_FAKE_SIGN_H

#include "http.h"
#include "protocol/sign.h"

/* Read a key, the first line of a file; -EINVAL where it has none. */
int fake_key_read(const char *path, struct dl_key *key);
/* Sign a request as of so many milliseconds ago; written to out. */
int fake_sign(const struct dl_key *key, const struct fake_call_req *req,
	      int64_t ago_ms, char out[DL_SIGNATURE_MAX]);

#endif
