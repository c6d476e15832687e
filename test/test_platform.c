/*
 * The platform's dialect: how each message is translated, and how truncated,
 * duplicated, unknown and wrongly typed input is handled.
 */
#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "daisyledge/conf.h"
#include "fake/suite.h"
#include "platform/platform.h"

#define H(name, value)                                                         \
	{                                                                      \
		DL_STR(name), DL_STR(value)                                    \
	}

static const struct dl_dialect *const d = &platform_dialect;

START_TEST(request_headers_are_parsed)
{
	const struct dl_header headers[] = {
		H("X-Api-Key", "secret"),
		H("daisyledge-attempt-id", "9c41"),
		H("Daisyledge-Deadline-Ms", "10000"),
		H("Daisyledge-Token-Usage", "1460,80"),
		H("Daisyledge-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"),
		H("Last-Event-Id", "12"),
	};
	struct dl_inbound in;

	d->inbound(headers, 6, &in);
	ck_assert(dl_str_eq(in.key, DL_STR("secret")));
	ck_assert(dl_str_eq(in.attempt_id, DL_STR("9c41")));
	ck_assert_uint_eq(in.timeout_ms, 10000);
	ck_assert_uint_eq(in.prompt_tokens, 1460);
	ck_assert_uint_eq(in.output_tokens, 80);
	ck_assert_uint_eq(in.prefix_tokens, 1210);
	ck_assert(in.resumes);
	ck_assert_uint_eq(in.after_event, 12);
}
END_TEST

static uint32_t parts_of(const char *value, uint64_t *out, uint32_t max)
{
	const struct dl_header headers[] = {
		H("X-Api-Key", "secret"),
		{ DL_STR("Daisyledge-Prompt-Prefix"), dl_str_of(value) },
	};

	return d->prompt_parts(headers, 2, out, max);
}

START_TEST(all_parts_but_the_last_are_shared)
{
	uint64_t out[4];

	ck_assert_uint_eq(parts_of("5c1e:800,91bd:410,e440:250", out, 4), 2);
	ck_assert_uint_eq(out[0], 0x5c1e);
	ck_assert_uint_eq(out[1], 0x91bd);
	ck_assert_uint_eq(parts_of("e440:250", out, 4), 0);
	ck_assert_uint_eq(parts_of("", out, 4), 0);
	ck_assert_uint_eq(parts_of(",,:1,a:1,", out, 4), 1);
	ck_assert_uint_eq(out[0], 0xa);
	ck_assert_uint_eq(parts_of("1:1,2:1,3:1,4:1,5:1,6:1", out, 4), 5);
	ck_assert_uint_eq(out[3], 4);
	ck_assert_uint_eq(d->prompt_parts(NULL, 0, out, 4), 0);
}
END_TEST

/* A list in several headers is the same as in one. */
START_TEST(parts_of_several_headers_are_shared)
{
	const struct dl_header headers[] = {
		H("Daisyledge-Prompt-Prefix", "5c1e:800"),
		H("X-Api-Key", "secret"),
		H("Daisyledge-Prompt-Prefix", "91bd:410,e440:250"),
		H("Accept", "*/*"),
	};
	uint64_t out[4];

	ck_assert_uint_eq(d->prompt_parts(headers, 4, out, 4), 2);
	ck_assert_uint_eq(out[0], 0x5c1e);
	ck_assert_uint_eq(out[1], 0x91bd);
}
END_TEST

/* Ids that are no number of 64 bits still differ, and none is 0. */
START_TEST(parts_with_other_ids_are_told_apart)
{
	uint64_t out[5];

	ck_assert_uint_eq(parts_of("0:1,x1:1,x2:1,ffffffffffffffff:1,"
				   "1ffffffffffffffff:1,last:1",
				   out, 5),
			  5);
	for (int i = 0; i < 5; i++) {
		ck_assert_uint_ne(out[i], 0);
		for (int k = 0; k < i; k++)
			ck_assert_uint_ne(out[i], out[k]);
	}
	ck_assert_uint_eq(out[3], UINT64_MAX);
}
END_TEST

struct header_case {
	const char *name, *value;
};

/* Malformed headers; each may only leave its field empty or truncated. */
static const struct header_case malformed_headers[] = {
	{ "daisyledge-deadline-ms", "" },
	{ "daisyledge-deadline-ms", "soon" },
	{ "daisyledge-deadline-ms", "99999999999999999999999" },
	{ "daisyledge-deadline-ms", "-5" },
	{ "daisyledge-token-usage", "," },
	{ "daisyledge-token-usage", "x,80" },
	{ "daisyledge-token-usage", "5," },
	{ "daisyledge-prompt-prefix", "" },
	{ "daisyledge-prompt-prefix", ":" },
	{ "daisyledge-prompt-prefix", "a:99999999999999999999,b:1" },
	{ "daisyledge-prompt-prefix", ",,,:,:,:" },
	{ "last-event-id", "" },
	{ "last-event-id", "12x" },
	{ "x-api-key", "" },
};

START_TEST(malformed_headers_are_ignored)
{
	struct dl_header h = { dl_str_of(malformed_headers[_i].name),
			       dl_str_of(malformed_headers[_i].value) };
	struct dl_inbound in;

	d->inbound(&h, 1, &in);
	ck_assert(!in.resumes);
	ck_assert_uint_eq(in.key.n, 0);
}
END_TEST

static struct dl_str find(const struct dl_header *out, size_t n,
			  const char *name)
{
	struct dl_str found = { NULL, 0 };

	for (size_t i = 0; i < n; i++) {
		if (out[i].name.n != strlen(name) ||
		    strncasecmp(out[i].name.s, name, out[i].name.n) != 0)
			continue;
		ck_assert_msg(!found.s, "%s stands twice", name);
		found = out[i].value;
	}
	return found;
}

START_TEST(outbound_headers)
{
	const struct dl_header callers[] = {
		H("daisyledge-model", "m"),
		H("x-api-key", "secret"),
		H("daisyledge-tenant", "forged"),
		H("daisyledge-target-instance", "forged"),
		H("daisyledge-helpers", "10.0.0.1:1"),
		H("daisyledge-request-priority", "0"),
		H("daisyledge-expected-version", "9"),
		H("daisyledge-deadline-ms", "10000"),
		H("connection", "close"),
		H("transfer-encoding", "chunked"),
		H("accept", "*/*"),
	};
	struct dl_header out[sizeof(callers) / sizeof(callers[0]) +
			     DL_DIALECT_OWN_HEADERS_MAX];
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_outbound what = { .workspace = DL_STR("hule"),
				    .instance = DL_STR("i-7f"),
				    .deadline_ms = 900,
				    .priority = 3,
				    .helpers = 2 };
	size_t n;

	what.helper[0] = DL_STR("10.2.64.3:8080");
	what.helper[1] = DL_STR("10.2.64.5:8080");
	n = d->outbound(callers, 11, &what, out, text);
	ck_assert(dl_str_eq(find(out, n, "daisyledge-tenant"), DL_STR("hule")));
	ck_assert(dl_str_eq(find(out, n, "daisyledge-target-instance"),
			    DL_STR("i-7f")));
	ck_assert(dl_str_eq(find(out, n, "daisyledge-deadline-ms"),
			    DL_STR("900")));
	ck_assert(dl_str_eq(find(out, n, "daisyledge-request-priority"),
			    DL_STR("3")));
	ck_assert(dl_str_eq(find(out, n, "daisyledge-helpers"),
			    DL_STR("10.2.64.3:8080,10.2.64.5:8080")));
	ck_assert(dl_str_eq(find(out, n, "daisyledge-model"), DL_STR("m")));
	ck_assert_ptr_null(find(out, n, "x-api-key").s);
	ck_assert_ptr_null(find(out, n, "connection").s);
	ck_assert_ptr_null(find(out, n, "transfer-encoding").s);
	ck_assert_ptr_null(find(out, n, "daisyledge-expected-version").s);
}
END_TEST

START_TEST(forged_last_event_id_is_replaced)
{
	const struct dl_header callers[] = { H("last-event-id", "3") };
	struct dl_header out[1 + DL_DIALECT_OWN_HEADERS_MAX];
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_outbound what = { .resumes = true, .after_event = 17 };
	size_t n = d->outbound(callers, 1, &what, out, text);

	ck_assert(dl_str_eq(find(out, n, "last-event-id"), DL_STR("17")));
}
END_TEST

/* Guards against headers that are dropped for their number. */
START_TEST(headers_beyond_any_number_are_forwarded)
{
	struct dl_header callers[300];
	struct dl_header out[300 + DL_DIALECT_OWN_HEADERS_MAX];
	char text[DL_DIALECT_TEXT_MAX];
	struct dl_outbound what = { .deadline_ms = 900, .priority = 10 };
	struct dl_inbound in;
	size_t n;

	for (size_t i = 0; i < 300; i++)
		callers[i] = (struct dl_header)H("x-trace", "0");
	callers[298] = (struct dl_header)H("x-api-key", "secret");
	callers[299] = (struct dl_header)H("daisyledge-model", "m");
	n = d->outbound(callers, 300, &what, out, text);
	ck_assert_uint_eq(n, 300);
	ck_assert(dl_str_eq(find(out, n, "daisyledge-model"), DL_STR("m")));
	d->inbound(callers, 300, &in);
	ck_assert(dl_str_eq(in.key, DL_STR("secret")));
}
END_TEST

START_TEST(response_headers_are_parsed)
{
	const struct dl_header headers[] = {
		H("Daisyledge-Not-Executed", "1"),
		H("Daisyledge-Attempt-Id", "9c41"),
		H("Content-Length", "12"),
		H("At-Server", "10.2.64.3:8080"),
	};
	struct dl_response_head head;

	d->response(headers, 4, &head);
	ck_assert(dl_str_eq(head.at_fault, DL_STR("10.2.64.3:8080")));
	ck_assert(head.not_run);
	ck_assert(dl_str_eq(head.attempt_id, DL_STR("9c41")));
	ck_assert_uint_eq(head.length, 12);
	d->response(headers + 1, 1, &head);
	ck_assert(!head.not_run);
	ck_assert_uint_eq(head.at_fault.n, 0);
	ck_assert(head.length == SIZE_MAX);
	ck_assert(d->forwards_header(DL_STR("Daisyledge-Response-Stamp")));
	ck_assert(!d->forwards_header(DL_STR("Transfer-Encoding")));
}
END_TEST

START_TEST(limits_are_parsed)
{
	static const struct {
		const char *text;
		uint32_t limit;
	} cases[] = {
		{ "2.1", 2100 },
		{ "1", 1000 },
		{ "0", 0 },
		{ "0.25", 250 },
		{ "12.3456", 12345 },
		{ ".5", 500 },
		{ "7.", 7000 },
		{ "99999999999", DL_UNLIMITED - 1 },
		{ "", DL_UNLIMITED },
		{ ".", DL_UNLIMITED },
		{ "-1", DL_UNLIMITED },
		{ "2/s", DL_UNLIMITED },
		{ "1e3", DL_UNLIMITED },
	};
	struct dl_response_head head;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct dl_header header = { DL_STR("Server-Limit"),
						  dl_str_of(cases[i].text) };

		d->response(&header, 1, &head);
		ck_assert_uint_eq(head.limit, cases[i].limit);
	}
	d->response(NULL, 0, &head);
	ck_assert_uint_eq(head.limit, DL_UNLIMITED);
}
END_TEST

START_TEST(retry_after_and_leaving_are_parsed)
{
	static const struct {
		const char *name, *value;
		uint32_t retry_after_ms;
		bool leaving;
	} cases[] = {
		{ "Retry-After", "3", 3000, false },
		{ "retry-after", "0.25", 250, false },
		{ "Retry-After", "Fri, 31 Dec 2027 23:59:59 GMT", 0, false },
		{ "Retry-After", "-1", 0, false },
		{ "Retry-After", "", 0, false },
		{ "Server-Leaving", "1", 0, true },
		{ "server-leaving", "1", 0, true },
		{ "Server-Leaving", "0", 0, false },
	};
	struct dl_response_head head;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct dl_header header = { dl_str_of(cases[i].name),
						  dl_str_of(cases[i].value) };

		d->response(&header, 1, &head);
		ck_assert_uint_eq(head.retry_after_ms, cases[i].retry_after_ms);
		ck_assert_int_eq(head.leaving, cases[i].leaving);
	}
}
END_TEST

struct path_case {
	const char *method, *path;
	enum dl_control_call call;
	const char *arg;
};

static const struct path_case path_cases[] = {
	{ "POST", "/-/Instances.Heartbeat/i-7", DL_CONTROL_ANNOUNCE, "i-7" },
	{ "POST", "/-/Instances.Deregister/i-7", DL_CONTROL_LEAVE, "i-7" },
	{ "POST", "/-/Config.Put", DL_CONTROL_APPLY, "" },
	{ "GET", "/-/Config.Get", DL_CONTROL_READ, "" },
	{ "GET", "/-/Config.Get?x=1", DL_CONTROL_READ, "?x=1" },
	{ "GET", "/-/Config.Put", DL_CONTROL_UNKNOWN, "" },
	{ "POST", "/-/Evacuate.Start/z-a", DL_CONTROL_EVACUATE, "z-a" },
	{ "POST", "/-/Evacuate.End/z-a", DL_CONTROL_EVACUATE_END, "z-a" },
	{ "GET", "/-/Evacuate.Start/z-a", DL_CONTROL_UNKNOWN, "" },
	{ "POST", "/-/Evacuate.Start/", DL_CONTROL_UNKNOWN, "" },
	{ "POST", "/-/Evacuate.Stop/z-a", DL_CONTROL_UNKNOWN, "" },
	{ "POST", "/-/Instances.Heartbeat/", DL_CONTROL_UNKNOWN, "" },
	{ "POST", "/-/Config.Putting", DL_CONTROL_UNKNOWN, "" },
	{ "POST", "/", DL_CONTROL_UNKNOWN, "" },
};

START_TEST(control_calls)
{
	const struct path_case *p = &path_cases[_i];
	struct dl_str arg = { "", 0 };

	ck_assert_int_eq(d->control(dl_str_of(p->method), dl_str_of(p->path),
				    &arg),
			 p->call);
	if (p->call != DL_CONTROL_UNKNOWN)
		ck_assert(dl_str_eq(arg, dl_str_of(p->arg)));
}
END_TEST

#define ANNOUNCEMENT(more)                                                     \
	"{\"service\":\"w\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\"," more
#define ANNOUNCEMENT_WITH(state, seq)                                          \
	ANNOUNCEMENT("\"version\":\"v1\",\"slots\":16,\"state\":" state        \
		     ",\"seq\":" seq)

struct body_case {
	const char *body;
	int rc;
};

/*
 * Announcements as other implementations may send them; those with -22
 * (-EINVAL) lack what is needed to use the endpoint.
 */
static const struct body_case announcement_cases[] = {
	{ ANNOUNCEMENT_WITH("\"ready\"",
			    "4") ",\"born\":1764728000123,\"new\":{}}",
	  0 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") "}", 0 },
	{ ANNOUNCEMENT_WITH("\"draining\"", "4") "}", 0 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"models\":7}", 0 },
	{ ANNOUNCEMENT_WITH("\"asleep\"", "4") "}", -22 },
	{ ANNOUNCEMENT_WITH("\"\"", "4") "}", -22 },
	{ ANNOUNCEMENT_WITH("7", "4") "}", -22 },
	{ ANNOUNCEMENT_WITH("null", "4") "}", -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "-4") "}", -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "\"4\"") "}", -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4.5") "}", -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"born\":\"1764728000123\"}",
	  -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"born\":1764728000123.5}",
	  -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"born\":-1}", -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"born\":null}", -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"cold_remaining_ms\":-1}",
	  -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"cold_remaining_ms\":\"9\"}",
	  -22 },
	{ ANNOUNCEMENT_WITH("\"ready\"", "4") ",\"cold_remaining_ms\":null}",
	  -22 },
	{ ANNOUNCEMENT("\"version\":\"v1\",\"slots\":16,\"seq\":4}"), -22 },
	{ ANNOUNCEMENT("\"version\":\"v1\",\"slots\":16,\"state\":\"ready\"}"),
	  -22 },
	{ ANNOUNCEMENT("\"version\":\"v1\",\"state\":\"ready\",\"seq\":4}"),
	  -22 },
	{ ANNOUNCEMENT("\"slots\":16,\"state\":\"ready\",\"seq\":4}"), -22 },
	{ ANNOUNCEMENT(
		  "\"version\":1,\"slots\":16,\"state\":\"ready\",\"seq\":4}"),
	  -22 },
	{ ANNOUNCEMENT("\"version\":\"v1\",\"slots\":\"x\",\"state\":\"ready\","
		       "\"seq\":4}"),
	  -22 },
	{ "{\"service\":\"w\",\"address\":\"10.0.0.9:80\",\"zone\":7,"
	  "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"seq\":4}",
	  -22 },
	{ "{\"service\":\"w\",\"address\":\"nowhere\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"seq\":4}",
	  -22 },
	{ "{\"service\":7,\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
	  "\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"seq\":4}",
	  -22 },
	{ "{\"service\":\"w\",\"address\":\"10.0.0.9:80\"}", -22 },
	{ "{\"address\":\"10.0.0.9:80\"}", -22 },
	{ "{\"service\":\"w\",\"address\":\"10.0.0.9:80\"", -22 },
	{ "\xff\xfe{}", -22 },
	{ "[]", -22 },
	{ "", -22 },
};

START_TEST(announcements)
{
	struct dl_announcement a;
	struct dl_err err;

	ck_assert_int_eq(d->announce(DL_STR("i-7"),
				     dl_str_of(announcement_cases[_i].body), &a,
				     &err),
			 announcement_cases[_i].rc);
	if (_i)
		return;
	ck_assert(dl_name_eq(&a.instance, DL_STR("i-7")));
	ck_assert(dl_name_eq(&a.report.id, DL_STR("10.0.0.9:80")));
	ck_assert_uint_eq(a.report.slots, 16);
	ck_assert_uint_eq(a.sequence, 4);
	ck_assert_uint_eq(a.born, 1764728000123);
	ck_assert(!a.report.leaving);
}
END_TEST

struct cold_case {
	const char *value;
	uint32_t cold_ms;
};

static const struct cold_case cold_cases[] = {
	{ "0", 0 },
	{ "3000", 3000 },
	{ "0.5", 1 },
	{ "1e300", DL_COLD_MAX_MS },
	{ "9223372036854775807", DL_COLD_MAX_MS },
};

START_TEST(cold_times)
{
	struct dl_announcement a;
	struct dl_err err;
	char body[512];

	snprintf(body, sizeof(body),
		 ANNOUNCEMENT_WITH("\"ready\"",
				   "4") ",\"cold_remaining_ms\":%s}",
		 cold_cases[_i].value);
	ck_assert_int_eq(d->announce(DL_STR("i-7"), dl_str_of(body), &a, &err),
			 0);
	ck_assert_uint_eq(a.report.cold_ms, cold_cases[_i].cold_ms);
}
END_TEST

/* The reply names the address for the next announcements, if any. */
START_TEST(announcement_replies)
{
	char text[DL_DIALECT_TEXT_MAX];
	uint64_t next_address;
	size_t n;

	ck_assert(dl_vm_parse(DL_STR("10.0.0.9:80"), &next_address));
	n = d->announce_reply(next_address, text);
	ck_assert(dl_str_eq((struct dl_str){ text, n },
			    DL_STR("{\"heartbeat_addr\":\"10.0.0.9:80\"}")));
	n = d->announce_reply(DL_VM_NONE, text);
	ck_assert(dl_str_eq((struct dl_str){ text, n }, DL_STR("{}")));
}
END_TEST

static const struct body_case deregistration_cases[] = {
	{ "", 0 },
	{ "{}", 0 },
	{ "{\"born\":1764728000123}", 0 },
	{ "{\"born\":\"x\"}", -22 },
	{ "{\"born\":1.5}", -22 },
	{ "[]", -22 },
	{ "{", -22 },
};

START_TEST(deregistrations)
{
	struct dl_announcement a;
	struct dl_err err;

	ck_assert_int_eq(d->leave(DL_STR("i-7"),
				  dl_str_of(deregistration_cases[_i].body), &a,
				  &err),
			 deregistration_cases[_i].rc);
	if (deregistration_cases[_i].rc)
		return;
	ck_assert(a.report.leaving);
	ck_assert(dl_name_eq(&a.instance, DL_STR("i-7")));
	ck_assert_uint_eq(a.report.id.n, 0);
	ck_assert_uint_eq(a.born, _i == 2 ? 1764728000123 : 0);
}
END_TEST

#define ROUTE(more)                                                            \
	"{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/p/\","      \
	"\"kind\":\"stream\",\"service\":\"w\"," more "}"
#define CONFIG(version, routes)                                                \
	"{\"version\":" version ",\"routes\":[" routes                         \
	"],\"services\":[{\"name\":\"w\",\"max_conns\":9,\"engine\":{"         \
	"\"slots\":16,\"kv_capacity\":315000,\"stride\":51,\"step_ms\":0.85,"  \
	"\"per_seq_ms\":0.00425,\"context_per_k\":0.00285,"                    \
	"\"read_per_s\":177000.0,\"pairs_per_m\":0.184,\"chunk\":2048},"       \
	"\"cold_per_s\":26.0}],"                                               \
	"\"limits\":{\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"       \
	"\"t\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1}]}"

/* One service, and these lists of tenants and routes. */
#define LISTS(tenants, routes)                                                 \
	"{\"version\":7,\"services\":[{\"name\":\"w\",\"max_conns\":9}],"      \
	"\"tenants\":" tenants ",\"routes\":" routes "}"

struct config_case {
	const char *body;
	bool valid;
};

static const struct config_case config_cases[] = {
	{ CONFIG("7", ROUTE("\"timeout_ms\":10000,\"gap_target_ms\":250")),
	  true },
	{ CONFIG("7", ""), true },
	{ CONFIG("7", ROUTE("\"timeout_ms\":10000.5")), true },
	{ CONFIG("7", ROUTE("\"timeout_ms\":0")), false },
	{ CONFIG("7",
		 ROUTE("\"timeout_ms\":1000") "," ROUTE("\"timeout_ms\":1000")),
	  false },
	{ CONFIG("7",
		 "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p/\","
		 "\"kind\":\"stream\",\"timeout_ms\":9,\"service\":\"x\"}"),
	  false },
	{ CONFIG("7", "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p/\","
		      "\"kind\":\"stream\",\"timeout_ms\":9,\"traffic_split\":"
		      "[{\"service\":\"w\",\"weight\":0}]}"),
	  false },
	{ "{\"routes\":[]}", false },
	{ "{\"version\":\"7\"}", false },
	{ "{\"version\":7", false },
	{ "", false },
	{ "{\"version\":7,\"services\":[{\"name\":\"w\"}],\"tenants\":["
	  "{\"name\":\"a\",\"api_keys\":[\"k\"]},"
	  "{\"name\":\"b\",\"api_keys\":[\"k\"]}]}",
	  false },
	/* Of another type, or twice: nothing of it may be left out. */
	{ LISTS("null", "[]"), false },
	{ LISTS("{}", "[]"), false },
	{ LISTS("5", "[]"), false },
	{ LISTS("[4]", "[]"), false },
	{ LISTS("[{\"name\":\"t\",\"api_keys\":\"k\"}]", "[]"), false },
	{ LISTS("[{\"name\":\"t\",\"api_keys\":[\"k\"]},"
		"{\"name\":\"t\",\"api_keys\":[\"l\"]}]",
		"[]"),
	  false },
	{ LISTS("[{\"name\":\"t\",\"api_keys\":[\"\"]}]", "[]"), false },
	{ LISTS("[]", "null"), true },
	{ LISTS("[]", "{}"), false },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"traffic_split\":[]") "]"),
	  true },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"traffic_split\":null") "]"),
	  true },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"attempts\":null") "]"),
	  true },
	{ "{\"version\":7}", false },
	{ "{\"version\":7,\"services\":null}", false },
	{ "{\"version\":7,\"services\":[{\"name\":\"w\",\"engine\":null}]}",
	  false },
	{ "{\"version\":7,\"services\":[{\"name\":\"w\",\"engine\":{}}]}",
	  false },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":\"9\"") "]"), false },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"attempts\":\"2\"") "]"),
	  false },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"public\":1") "]"), false },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"public\":null") "]"),
	  true },
	{ LISTS("[]", "[" ROUTE("\"timeout_ms\":9,\"traffic_split\":{}") "]"),
	  false },
	{ "{\"version\":7,\"services\":[{\"name\":\"w\",\"max_conns\":9},"
	  "{\"name\":\"w\",\"max_conns\":8}]}",
	  false },
	{ "{\"version\":7,\"services\":{}}", false },
	{ "{\"version\":7,\"services\":[],\"limits\":[]}", false },
};

START_TEST(configurations)
{
	struct dl_faults faults;
	struct dl_conf *conf = NULL;
	struct dl_err err;
	char *text = NULL;
	bool ok;

	ok = d->configuration(dl_str_of(config_cases[_i].body), &text, &err) ==
		     0 &&
	     dl_conf_parse(dl_str_of(text), &conf, &faults) == 0;
	ck_assert_msg(ok == config_cases[_i].valid, "%s",
		      config_cases[_i].body);
	if (_i == 0) {
		const struct dl_route_conf *r;

		ck_assert_ptr_nonnull(conf);
		r = dl_conf_route(conf, DL_STR("H.example"), DL_STR("/p/2f?q"));

		ck_assert_ptr_nonnull(r);
		ck_assert_uint_eq(r->gap_ms, 250);
		ck_assert_ptr_null(dl_conf_route(conf, DL_STR("h.example"),
						 DL_STR("/q/")));
		ck_assert_ptr_nonnull(
			dl_conf_workspace_of_key(conf, DL_STR("k2")));
		ck_assert_ptr_null(
			dl_conf_workspace_of_key(conf, DL_STR("k3")));
		ck_assert_uint_eq(conf->number, 7);
		ck_assert_uint_eq(conf->services[0].pool.cold_requests_per_s,
				  26);
		ck_assert_double_eq_tol(
			conf->services[0].pool.engine.read_per_ms, 177, 0.001);
	}
	dl_conf_free(conf);
	free(text);
}
END_TEST

struct key_policy_case {
	const char *body;
	bool keys_required;
	bool admits_one; /* the key "one" */
};

#define TENANTS(more)                                                          \
	"{\"version\":7,\"services\":[{\"name\":\"w\",\"max_conns\":9}]" more  \
	"}"

static const struct key_policy_case key_policy_cases[] = {
	{ TENANTS(""), false, false },
	{ TENANTS(",\"tenants\":[]"), true, false },
	{ TENANTS(",\"tenants\":[{\"name\":\"t\"}]"), true, false },
	{ TENANTS(",\"tenants\":[{\"name\":\"t\",\"api_keys\":null}]"), true,
	  false },
	{ TENANTS(",\"tenants\":[{\"name\":\"t\",\"api_keys\":[]}]"), true,
	  false },
	{ TENANTS(",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"one\"]}]"),
	  true, true },
};

/* Guards against an empty list of tenants that lets everybody in. */
START_TEST(empty_list_of_tenants_admits_nobody)
{
	const struct key_policy_case *c = &key_policy_cases[_i];
	struct dl_faults faults;
	struct dl_conf *conf;
	struct dl_err err;
	char *text;

	ck_assert_int_eq(d->configuration(dl_str_of(c->body), &text, &err), 0);
	ck_assert_int_eq(dl_conf_parse(dl_str_of(text), &conf, &faults), 0);
	ck_assert(conf->keys_required == c->keys_required);
	ck_assert((dl_conf_workspace_of_key(conf, DL_STR("one")) != NULL) ==
		  c->admits_one);
	ck_assert_ptr_null(dl_conf_workspace_of_key(conf, DL_STR("")));
	dl_conf_free(conf);
	free(text);
}
END_TEST

/* Guards against a service that gets nothing for a weight below 1. */
START_TEST(fractional_weights_keep_their_shares)
{
	static const char body[] =
		"{\"version\":7,\"services\":[{\"name\":\"a\"},"
		"{\"name\":\"b\"}],\"routes\":[{\"name\":\"r\","
		"\"host\":\"h\",\"path_prefix\":\"/p/\","
		"\"kind\":\"stream\",\"timeout_ms\":9,\"traffic_split\":["
		"{\"service\":\"a\",\"weight\":0.25},"
		"{\"service\":\"b\",\"weight\":1}]}]}";
	struct dl_faults faults;
	struct dl_conf *conf;
	struct dl_err err;
	char *text;

	ck_assert_int_eq(d->configuration(dl_str_of(body), &text, &err), 0);
	ck_assert_int_eq(dl_conf_parse(dl_str_of(text), &conf, &faults), 0);
	ck_assert_uint_eq(conf->routes[0]->targets[0].weight, 250);
	ck_assert_uint_eq(conf->routes[0]->targets[1].weight, 1000);
	dl_conf_free(conf);
	free(text);
}
END_TEST

struct load_case {
	const char *body;
	int rc;
	uint32_t queued, active;
	uint64_t used;
};

static const struct load_case load_cases[] = {
	{ "{\"queued\":2,\"active\":7,\"kv_used\":41000,\"kv_total\":382500}",
	  0, 2, 7, 41000 },
	{ "{\"active\":0,\"queued\":0,\"kv_used\":0,\"more\":[{}]}", 0, 0, 0,
	  0 },
	{ "{\"queued\":2,\"active\":7}", 0, 2, 7, 0 },
	/* Numbers that no engine has; the last one is no number in JSON. */
	{ "{\"queued\":4294967296,\"active\":9223372036854775807}", 0,
	  UINT32_MAX, UINT32_MAX, 0 },
	{ "{\"queued\":1,\"active\":1,\"kv_used\":9223372036854775807}", 0, 1,
	  1, INT64_MAX },
	{ "{\"queued\":1,\"active\":9223372036854775808}", -EINVAL, 0, 0, 0 },
	/* Missing. */
	{ "{\"queued\":2}", -EINVAL, 0, 0, 0 },
	{ "{\"active\":2}", -EINVAL, 0, 0, 0 },
	{ "{}", -EINVAL, 0, 0, 0 },
	{ "", -EINVAL, 0, 0, 0 },
	/* Malformed. */
	{ "{\"queued\":2,\"active\":-1}", -EINVAL, 0, 0, 0 },
	{ "{\"queued\":2,\"active\":1.5}", -EINVAL, 0, 0, 0 },
	{ "{\"queued\":\"2\",\"active\":1}", -EINVAL, 0, 0, 0 },
	{ "{\"queued\":2,\"active\":1,\"kv_used\":-1}", -EINVAL, 0, 0, 0 },
	{ "{\"queued\":2,\"active\":1,\"kv_used\":null}", -EINVAL, 0, 0, 0 },
	{ "{\"queued\":2,\"active\":1", -EINVAL, 0, 0, 0 },
	{ "[2,1]", -EINVAL, 0, 0, 0 },
	{ "null", -EINVAL, 0, 0, 0 },
};

START_TEST(loads_of_engines)
{
	const struct load_case *c = &load_cases[_i];
	struct dl_engine_load load;

	ck_assert_int_eq(d->load(dl_str_of(c->body), &load), c->rc);
	if (c->rc)
		return;
	ck_assert_uint_eq(load.queued, c->queued);
	ck_assert_uint_eq(load.active, c->active);
	ck_assert_uint_eq(load.used_tokens, c->used);
}
END_TEST

START_TEST(query_for_the_load)
{
	struct dl_httpc_req req = { 0 };

	d->load_request(&req);
	ck_assert(dl_str_eq(req.method, DL_STR("GET")));
	ck_assert(dl_str_eq(req.path, DL_STR("/-/report")));
	ck_assert_uint_eq(req.headers_count, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *t = tcase_create("platform");

	suite_add_tcase(s, t);
	tcase_add_test(t, request_headers_are_parsed);
	tcase_add_test(t, all_parts_but_the_last_are_shared);
	tcase_add_test(t, parts_with_other_ids_are_told_apart);
	tcase_add_test(t, parts_of_several_headers_are_shared);
	tcase_add_loop_test(t, malformed_headers_are_ignored, 0,
			    sizeof(malformed_headers) /
				    sizeof(malformed_headers[0]));
	tcase_add_test(t, outbound_headers);
	tcase_add_test(t, forged_last_event_id_is_replaced);
	tcase_add_test(t, headers_beyond_any_number_are_forwarded);
	tcase_add_test(t, response_headers_are_parsed);
	tcase_add_test(t, limits_are_parsed);
	tcase_add_test(t, retry_after_and_leaving_are_parsed);
	tcase_add_loop_test(t, control_calls, 0,
			    sizeof(path_cases) / sizeof(path_cases[0]));
	tcase_add_loop_test(t, deregistrations, 0,
			    sizeof(deregistration_cases) /
				    sizeof(deregistration_cases[0]));
	tcase_add_loop_test(t, announcements, 0,
			    sizeof(announcement_cases) /
				    sizeof(announcement_cases[0]));
	tcase_add_loop_test(t, cold_times, 0,
			    sizeof(cold_cases) / sizeof(cold_cases[0]));
	tcase_add_test(t, announcement_replies);
	tcase_add_loop_test(t, configurations, 0,
			    sizeof(config_cases) / sizeof(config_cases[0]));
	tcase_add_loop_test(t, empty_list_of_tenants_admits_nobody, 0,
			    sizeof(key_policy_cases) /
				    sizeof(key_policy_cases[0]));
	tcase_add_test(t, fractional_weights_keep_their_shares);
	tcase_add_loop_test(t, loads_of_engines, 0,
			    sizeof(load_cases) / sizeof(load_cases[0]));
	tcase_add_test(t, query_for_the_load);
	return suite_run(s);
}
