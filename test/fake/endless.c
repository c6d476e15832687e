/* Responses without end; see the header. */
#include "endless.h"

#include <glib.h>

#define MORE_EVERY_MS 5

struct response {
	struct fake_request *req;
	struct dl_str more;
	void (*ended)(void);
};

static uv_timer_t timer;
static GPtrArray *responses; /* NULL before the first one */

static void on_more(uv_timer_t *handle)
{
	for (guint i = responses->len; i > 0; i--) {
		struct response *r = responses->pdata[i - 1];

		if (fake_reply_raw(r->req, r->more))
			continue;
		if (r->ended)
			r->ended();
		fake_reply_drop(r->req, false);
		g_ptr_array_remove_index(responses, i - 1);
	}
}

void fake_endless_begin(uv_loop_t *loop, struct fake_request *req,
			struct dl_str more, void (*ended)(void))
{
	struct response *r = g_new0(struct response, 1);

	if (!responses) {
		responses = g_ptr_array_new_with_free_func(g_free);
		uv_timer_init(loop, &timer);
		uv_timer_start(&timer, on_more, MORE_EVERY_MS, MORE_EVERY_MS);
	}
	r->req = req;
	r->more = more;
	r->ended = ended;
	g_ptr_array_add(responses, r);
	fake_reply_raw(req, DL_STR("HTTP/1.1 200 OK\r\n\r\n"));
}
