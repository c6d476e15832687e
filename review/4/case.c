/*
 * The last tenant is taken away.
 *
 * A configuration with one tenant and one key is followed by one whose list of
 * tenants is empty. Clients go on with the key that was taken away, and others
 * come with a key that no configuration ever held.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab-2.h"

#define REVOKE_MS 5000 /* bounds.revoke_ms of the site */
#define AFTER_MS  4000 /* how long requests are sent after that */

static volatile int run;
static int late, foreign; /* requests that ran and must not have */

static char *make_config(int version, const char *tenants)
{
	static char text[2][4096];
	char *out = text[version % 2];

	snprintf(out, sizeof(text[0]),
		 "{\"version\":%d,\"routes\":[{\"name\":\"look\","
		 "\"host\":\"h.example\",\"path_prefix\":\"/look/\","
		 "\"kind\":\"idempotent\",\"timeout_ms\":2000,"
		 "\"target_latency_ms\":300,\"priority\":1,"
		 "\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
		 "\"services\":[{\"name\":\"desk\","
		 "\"health_path\":\"/health\",\"max_conns\":96,"
		 "\"protocol\":\"h1\",\"tls\":false}],"
		 "\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
		 version, tenants);
	return out;
}

static int serve(struct lab_runner *r, struct lab_request *req)
{
	__sync_add_and_fetch(&run, 1);
	return lab_reply(r, req, 200, "ok", 2);
}

/* Sends a request with a key; whether a runner ran it. */
static bool runs(int entry, const char *key)
{
	static int n;
	char headers[256];
	struct lab_answer a;
	int before = run, status;

	snprintf(headers, sizeof(headers),
		 "Daisyledge-Attempt-Id: req%d\r\n"
		 "Daisyledge-Deadline-Ms: 2000\r\n"
		 "X-Api-Key: %s\r\nConnection: close\r\n",
		 ++n, key);
	lab_call(entry, "GET", "h.example", "/look/x", headers, "", 2500, &a);
	status = a.status;
	lab_answer_free(&a);
	lab_note("entry %d: req%d with the key %s: %d, %s", entry, n, key,
		 status, run > before ? "has run" : "has not run");
	return run > before;
}

int main(int argc, char **argv)
{
	static const char team[] =
		"{\"name\":\"team\",\"api_keys\":[\"key-one\"],\"priority\":1}";
	int64_t acked_at;

	lab_begin(argc, argv);
	lab_runner("desk-1", "desk", 1, serve);
	lab_runner("desk-2", "desk", 2, serve);
	lab_start_all(make_config(1, team));
	lab_sleep(2500);
	for (int i = 1; i <= LAB_VMS; i++) {
		if (!runs(i, "key-one"))
			lab_end(LAB_NOT_RUN, "the key does not work");
		if (runs(i, "no-such-key"))
			lab_end(LAB_NOT_RUN, "any key works from the start");
	}
	lab_note("version 2 %s", lab_trouble() ? "has no tenant" :
						 "has the same tenant");
	if (!lab_put(make_config(2, lab_trouble() ? "" : team), 4000))
		lab_end(LAB_NOT_RUN, "version 2 is not accepted");
	acked_at = lab_now();
	lab_sleep(REVOKE_MS + 500);
	while (lab_now() < acked_at + REVOKE_MS + AFTER_MS) {
		for (int i = 1; i <= LAB_VMS; i++) {
			late += runs(i, "key-one") && lab_trouble();
			foreign += runs(i, "no-such-key");
		}
		lab_sleep(300);
	}
	if (late || foreign)
		lab_end(LAB_BROKEN,
			"CONFIG: %d requests ran over %d ms after the "
			"configuration that took their key away; ROUTE: %d "
			"ran with a key that no configuration held",
			late, REVOKE_MS, foreign);
	lab_end(LAB_HELD, "no request ran without a valid key");
}
