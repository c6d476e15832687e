/* Long responses that are broken off; see the header. */
#include "long.h"

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS 10
/* From when h2o has the last bytes, which it still sends, to the breaking. */
#define BREAK_AFTER_MS 300
#define KEY_SIZE       32

/* A response that is to be broken off. */
struct response {
	struct fake_request *req;
	int64_t handed_over_at; /* in loop time; 0: not yet */
};

static uv_timer_t timer;
static GPtrArray *responses; /* NULL before the first one */

/* Whether this endpoint is the first that gets the key. */
static bool is_first(const char *folder, const char *key)
{
	char *path = g_strdup_printf("%s/%s", folder, key);
	int fd = open(path, O_WRONLY | O_CREAT | O_EXCL, 0600);

	g_free(path);
	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

static void on_tick(uv_timer_t *handle)
{
	int64_t now = (int64_t)uv_now(handle->loop);

	for (guint i = responses->len; i > 0; i--) {
		struct response *r = responses->pdata[i - 1];
		struct fake_request *req = r->req;

		if (fake_reply_pending(req))
			continue;
		if (!r->handed_over_at)
			r->handed_over_at = now;
		if (now - r->handed_over_at < BREAK_AFTER_MS)
			continue;
		g_ptr_array_remove_index(responses, i - 1);
		fake_reply_drop(req, true);
	}
}

/* Has a response broken off once its bytes are sent. */
static void break_later(uv_loop_t *loop, struct fake_request *req)
{
	struct response *r = g_new0(struct response, 1);

	if (!responses) {
		responses = g_ptr_array_new_with_free_func(g_free);
		uv_timer_init(loop, &timer);
		uv_timer_start(&timer, on_tick, 0, TICK_MS);
	}
	r->req = req;
	g_ptr_array_add(responses, r);
}

bool fake_long_serve(uv_loop_t *loop, struct fake_request *req,
		     struct dl_str text, const char *folder,
		     const struct fake_header *headers)
{
	static const char mark[] = "long-";
	const char *at = memmem(text.s, text.n, mark, sizeof(mark) - 1);
	char key[KEY_SIZE], *copy, *body;
	size_t length, stop;
	bool first, named;
	int status;

	if (!folder || !at)
		return false;
	copy = g_strndup(at, (size_t)(text.s + text.n - at));
	named = sscanf(copy, "long-%d-%zu-%zu-%31[a-zA-Z0-9_]", &status,
		       &length, &stop, key) == 4;
	g_free(copy);
	if (!named)
		return false;
	first = is_first(folder, key);
	stop = first ? stop : length;
	body = g_malloc(stop);
	memset(body, first ? 'a' : 'b', stop);
	fake_reply_begin(req, status, headers);
	if (stop < length)
		break_later(loop, req);
	fake_reply_write(req, (struct dl_str){ body, stop });
	if (stop == length)
		fake_reply_end(req);
	g_free(body);
	return true;
}

bool fake_long_closed(const struct fake_request *req)
{
	for (guint i = 0; responses && i < responses->len; i++) {
		const struct response *r = responses->pdata[i];

		if (r->req != req)
			continue;
		g_ptr_array_remove_index(responses, i);
		return true;
	}
	return false;
}
