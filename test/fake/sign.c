/* Request signatures for the fakes and tools, with a key from a file. */
#include "sign.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#define US_PER_MS 1000

/* Reads a key from the first line of a file; -EINVAL if there is none. */
int fake_key_read(const char *path, struct dl_key *key)
{
	char *text;
	size_t n;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -EINVAL;
	n = strcspn(text, "\r\n");
	if (n > 0 && n <= DL_KEY_MAX) {
		memcpy(key->s, text, n);
		key->n = (uint8_t)n;
	}
	g_free(text);
	return key->n ? 0 : -EINVAL;
}

/* Signs a request with a timestamp ago_ms in the past. */
int fake_sign(const struct dl_key *key, const struct fake_call_req *req,
	      int64_t ago_ms, char out[DL_SIGNATURE_MAX])
{
	const struct dl_signed content = {
		.method = dl_str_of(req->method),
		.path = dl_str_of(req->path),
		.body = req->body,
	};

	return dl_sign(key, &content, g_get_real_time() / US_PER_MS - ago_ms,
		       out);
}
