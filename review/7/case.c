/*
 * Requests with many headers.
 *
 * Clients send 70 headers of their own, 2 KB in all, before or among those that
 * the system and the runner act on. Without the disruption they send ten.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab-2.h"

#define REQUESTS 30 /* of each order of headers */
#define MODEL	 "m"
#define USAGE	 "1460,80"
#define PREFIX	 "5c1e07a2:800,91bd3f06:410,e4402b7d:250"

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"look\",\"host\":\"h.example\","
	"\"path_prefix\":\"/look/\",\"kind\":\"idempotent\","
	"\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,"
	"\"service\":\"desk\",\"attempts\":2,\"public\":false}],"
	"\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
	"\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key-one\"],"
	"\"priority\":1}]}";

static volatile int changed, run;

/* Whether a request has a header with this value. */
static bool has(const struct lab_request *req, const char *name,
		const char *value)
{
	char got[128] = "nothing";

	if (lab_header(req->head, name, got, sizeof(got)) &&
	    strcmp(got, value) == 0)
		return true;
	lab_note("request %s reaches its runner with %s: %s; the client sent "
		 "%s",
		 req->attempt, name, got, value);
	return false;
}

static int serve(struct lab_runner *r, struct lab_request *req)
{
	bool same = has(req, "daisyledge-model", MODEL);

	same &= has(req, "daisyledge-token-usage", USAGE);
	same &= has(req, "daisyledge-prompt-prefix", PREFIX);
	__sync_add_and_fetch(&run, 1);
	if (!same)
		__sync_add_and_fetch(&changed, 1);
	return lab_reply(r, req, 200, "ok", 2);
}

int main(int argc, char **argv)
{
	int own, denied = 0, served = 0;

	lab_begin(argc, argv);
	own = lab_trouble() ? 70 : 10;
	lab_runner("desk-1", "desk", 1, serve);
	lab_runner("desk-2", "desk", 2, serve);
	lab_start_all(config);
	lab_sleep(2500);
	for (int i = 0; i < 2 * REQUESTS; i++) {
		char headers[8192], key[] = "X-Api-Key: key-one\r\n";
		bool key_last = i % 2;
		struct lab_answer a;
		int n;

		n = snprintf(headers, sizeof(headers),
			     "Daisyledge-Attempt-Id: req%d\r\n"
			     "Daisyledge-Deadline-Ms: 2000\r\n"
			     "Connection: close\r\n%s",
			     i, key_last ? "" : key);
		for (int h = 0; h < own; h++)
			n += snprintf(headers + n, sizeof(headers) - (size_t)n,
				      "X-Trace-%02d: 0123456789\r\n", h);
		snprintf(headers + n, sizeof(headers) - (size_t)n,
			 "Daisyledge-Model: " MODEL "\r\n"
			 "Daisyledge-Token-Usage: " USAGE "\r\n"
			 "Daisyledge-Prompt-Prefix: " PREFIX "\r\n%s",
			 key_last ? key : "");
		lab_call(1 + i % 3, "GET", "h.example", "/look/x", headers, "",
			 2500, &a);
		lab_note("the client got %d for req%d, of %zu bytes of headers",
			 a.status, i, strlen(headers));
		denied += a.status == 401;
		served += a.status == 200;
		lab_answer_free(&a);
	}
	lab_note("%d requests were served, %d were refused with 401; %d of %d "
		 "runs had other headers than the client's",
		 served, denied, changed, run);
	if (changed)
		lab_end(LAB_BROKEN,
			"UNASKED: %d requests ran without the model, usage or "
			"prompt that the client sent (DENIED: %d)",
			changed, denied);
	if (denied > 5)
		lab_end(LAB_BROKEN, "DENIED: %d requests were refused", denied);
	if (!served)
		lab_end(LAB_NOT_RUN, "no request was served");
	lab_end(LAB_HELD, "all requests reached their runners as sent");
}
