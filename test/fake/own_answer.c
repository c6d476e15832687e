/* Answers that say whose they are: made by endpoints, checked by callers. */
#include <stdlib.h>
#include <string.h>

#include "own_answer.h"

#define LINES_MIN    12
#define LINES_SPREAD 8 /* between requests; the runs of one have as many */

bool fake_own_line(int status, const char *id, const char *stamp, int n,
		   GString *out)
{
	int lines = LINES_MIN + (int)(g_str_hash(id) % LINES_SPREAD);

	if (n >= lines)
		return false;
	g_string_append_printf(out, "%d %s %s line %d of %d\n", status, id,
			       stamp, n + 1, lines);
	return true;
}

void fake_own_event(const char *id, const char *stamp, int n, GString *out)
{
	g_string_append_printf(out, "id: %d\ndata: %s %d %s\n\n", n, id, n,
			       stamp);
}

/* Whether a body is the expected one, or its beginning. */
static bool is_as_expected(struct dl_str body, const GString *expected,
			   bool whole)
{
	return (whole ? body.n == expected->len : body.n <= expected->len) &&
	       memcmp(body.s, expected->str, body.n) == 0;
}

bool fake_own_body(int status, const char *id, const char *stamp,
		   struct dl_str body, bool whole)
{
	GString *expected = g_string_new(NULL);
	bool own;

	for (int n = 0; fake_own_line(status, id, stamp, n, expected);)
		n++;
	own = is_as_expected(body, expected, whole);
	g_string_free(expected, TRUE);
	return own;
}

/* Returns the stamp that ends an event, to be freed; NULL if it is cut. */
static char *stamp_of_event(const char *id, int n, struct dl_str event)
{
	char *begin = g_strdup_printf("id: %d\ndata: %s %d ", n, id, n);
	size_t at = strlen(begin), end = at;
	char *stamp = NULL;

	while (end < event.n && event.s[end] != '\n')
		end++;
	if (end < event.n && memcmp(event.s, begin, at) == 0)
		stamp = g_strndup(event.s + at, end - at);
	g_free(begin);
	return stamp;
}

/* Whether a run was begun to go on after the events before event n. */
static bool goes_on_at(const char *stamp, int n)
{
	const char *after = strrchr(stamp, '.');

	return after && atoi(after + 1) == n - 1;
}

bool fake_own_events(const char *id, const char *stamp, struct dl_str body,
		     bool whole)
{
	GString *expected = g_string_new(NULL);
	bool own = goes_on_at(stamp, 1);
	char *run = g_strdup(stamp);

	for (int n = 1; n <= FAKE_OWN_EVENTS; n++) {
		size_t at = MIN(body.n, expected->len);
		struct dl_str rest = { body.s + at, body.n - at };
		char *of_event = stamp_of_event(id, n, rest);

		if (!whole && rest.n == 0)
			break;
		if (of_event && strcmp(of_event, run) != 0) {
			own = own && n > 1 && goes_on_at(of_event, n);
			g_free(run);
			run = g_strdup(of_event);
		}
		g_free(of_event);
		fake_own_event(id, run, n, expected);
	}
	own = own && is_as_expected(body, expected, whole);
	g_string_free(expected, TRUE);
	g_free(run);
	return own;
}
