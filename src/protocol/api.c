/* Parsing and encoding of the native JSON API. */
#include "protocol/api.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/param.h>

#include <xxhash.h>

#define INVALID(err, ...)                                                      \
	dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL, __VA_ARGS__)

static struct dl_str json_str(const json_t *value)
{
	return (struct dl_str){ json_string_value(value),
				json_string_length(value) };
}

static json_t *load_object(struct dl_str body, struct dl_err *err)
{
	json_error_t parse_error;
	json_t *root;

	root = json_loadb(body.s, body.n, JSON_REJECT_DUPLICATES, &parse_error);
	if (!root) {
		INVALID(err, "line %d: %.100s", parse_error.line,
			parse_error.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		INVALID(err, "the body is not a JSON object");
		json_decref(root);
		return NULL;
	}
	return root;
}

static int read_max_tokens(const json_t *value, uint64_t *out)
{
	json_int_t n = json_integer_value(value);

	*out = DL_MAX_TOKENS_DEFAULT;
	if (!value || json_is_null(value))
		return 0;
	if (!json_is_integer(value) || n < 1 || n > DL_MAX_TOKENS_MAX)
		return -EINVAL;
	*out = (uint64_t)n;
	return 0;
}

/*
 * Keys that the entry sets in the request to the endpoint. The caller's values
 * are not forwarded.
 */
static const char *const entry_keys[] = { "stream", "max_tokens", "priority",
					  "group" };

static int read_completion(const json_t *root, struct dl_completion *c,
			   struct dl_err *err)
{
	const json_t *model = json_object_get(root, "model");
	const json_t *prompt = json_object_get(root, "prompt");
	const json_t *stream = json_object_get(root, "stream");

	if (!json_is_string(model) || !dl_name_set(&c->model, json_str(model)))
		return INVALID(err, "model must be a name");
	if (!json_is_string(prompt) || json_string_length(prompt) == 0)
		return INVALID(err, "prompt must be a non-empty string");
	if (stream && !json_is_boolean(stream))
		return INVALID(err, "stream must be true or false");
	if (read_max_tokens(json_object_get(root, "max_tokens"),
			    &c->max_tokens))
		return INVALID(err, "max_tokens must be from 1 to %d",
			       DL_MAX_TOKENS_MAX);
	c->prompt_bytes = json_string_length(prompt);
	c->prefix = dl_prefix_hash(json_str(prompt));
	c->stream = json_is_true(stream);
	return 0;
}

/* Parses a caller's request; dl_completion_free() is due only on success. */
int dl_completion_parse(struct dl_str body, struct dl_completion *out,
			struct dl_err *err)
{
	json_t *root = load_object(body, err);
	int rc = 0;

	memset(out, 0, sizeof(*out));
	if (!root)
		return -EINVAL;
	rc = read_completion(root, out, err);
	for (size_t i = 0; i < sizeof(entry_keys) / sizeof(entry_keys[0]); i++)
		json_object_del(root, entry_keys[i]);
	if (!rc) {
		out->rest = json_dumps(root, JSON_COMPACT);
		if (!out->rest)
			rc = INVALID(err, "out of memory");
	}
	json_decref(root);
	out->rest_n = rc ? 0 : strlen(out->rest);
	return rc;
}

void dl_completion_free(struct dl_completion *c)
{
	free(c->rest);
	c->rest = NULL;
}

/*
 * Returns the other members of a group with the number of prompt tokens that
 * each holds.
 */
static json_t *group_json(const struct dl_answer *grant)
{
	json_t *group = json_array();

	for (uint32_t i = 1; i < grant->endpoints; i++) {
		const struct dl_name *name = &grant->endpoint[i];
		json_int_t tokens = (json_int_t)grant->share_tokens[i];
		json_t *member = json_object();

		json_object_set_new(member, "address",
				    json_stringn(name->s, name->n));
		json_object_set_new(member, "tokens", json_integer(tokens));
		json_array_append_new(group, member);
	}
	return group;
}

/* Returns the start of an endpoint's request body: entry_keys and a comma. */
char *dl_completion_body_head(const struct dl_completion *c,
			      const struct dl_answer *grant)
{
	json_t *o = json_object();
	char *text;

	json_object_set_new(o, "stream", json_true());
	json_object_set_new(o, "max_tokens",
			    json_integer((json_int_t)c->max_tokens));
	json_object_set_new(o, "priority", json_integer(grant->priority));
	if (grant->endpoints > 1)
		json_object_set_new(o, "group", group_json(grant));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	if (text)
		text[strlen(text) - 1] = ',';
	return text;
}

/* Returns the end of that body: the caller's keys and the closing brace. */
struct dl_str dl_completion_body_tail(const struct dl_completion *c)
{
	return (struct dl_str){ c->rest + 1, c->rest_n - 1 };
}

static uint64_t read_count(const json_t *object, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(object, key));

	return n > 0 ? (uint64_t)n : 0;
}

static void read_usage(const json_t *root, struct dl_chunk *out)
{
	const json_t *usage = json_object_get(root, "usage");

	if (!json_is_object(usage))
		return;
	out->has_usage = true;
	out->prompt_tokens = read_count(usage, "prompt_tokens");
	out->completion_tokens = read_count(usage, "completion_tokens");
}

static json_t *chunk_text(const json_t *root)
{
	const json_t *choices = json_object_get(root, "choices");

	return json_object_get(json_array_get(choices, 0), "text");
}

/*
 * Reads one event. Most chunks are forwarded without parsing: unless the text
 * is wanted, only a chunk that may contain the usage is parsed. *text is a new
 * reference or NULL.
 */
int dl_chunk_parse(struct dl_str data, bool want_text, struct dl_chunk *out,
		   json_t **text)
{
	json_t *root;

	memset(out, 0, sizeof(*out));
	*text = NULL;
	if (dl_str_eq(data, DL_STR("[DONE]"))) {
		out->done = true;
		return 0;
	}
	if (!data.s || data.n < 2 || data.s[0] != '{')
		return -EBADMSG;
	out->has_text = memmem(data.s, data.n, "\"text\"", 6) != NULL;
	if (!want_text && !memmem(data.s, data.n, "\"usage\"", 7))
		return out->has_text ? 0 : -EBADMSG;
	root = json_loadb(data.s, data.n, 0, NULL);
	if (!root)
		return -EBADMSG;
	read_usage(root, out);
	*text = json_incref(chunk_text(root));
	out->has_text = json_is_string(*text);
	json_decref(root);
	return out->has_text || out->has_usage ? 0 : -EBADMSG;
}

static int read_name(const json_t *root, const char *key, bool required,
		     struct dl_name *out)
{
	const json_t *value = json_object_get(root, key);

	if (!value && !required)
		return 0;
	if (!json_is_string(value) || json_string_length(value) == 0 ||
	    !dl_name_set(out, json_str(value)))
		return -EINVAL;
	return 0;
}

static void read_report(const json_t *root, struct dl_endpoint_report *r)
{
	r->incarnation = read_count(root, "incarnation");
	r->memory_tokens = read_count(root, "memory_tokens");
	r->used_tokens = read_count(root, "used_tokens");
	r->slots = (uint32_t)read_count(root, "slots");
	r->running = (uint32_t)read_count(root, "running");
	r->prefill_rate = (uint32_t)read_count(root, "prefill_rate");
	r->decode_rate = (uint32_t)read_count(root, "decode_rate");
	r->prefill_backlog = read_count(root, "prefill_backlog");
	r->cold_ms = (uint32_t)MIN(read_count(root, "cold_ms"), DL_COLD_MAX_MS);
	r->leaving = json_is_true(json_object_get(root, "leaving"));
	r->takes_groups = json_is_true(json_object_get(root, "takes_groups"));
}

/* Hashes the first DL_PREFIX_BYTES bytes of a prompt. */
uint64_t dl_prefix_hash(struct dl_str prompt)
{
	if (prompt.n < DL_PREFIX_BYTES)
		return 0;
	return XXH64(prompt.s, DL_PREFIX_BYTES, 0);
}

/*
 * Reads the last DL_CACHE_EVENTS_MAX cache events. Events without a prefix are
 * skipped rather than rejected, since cache events are only hints.
 */
static void read_events(const json_t *root, struct dl_announcement *out)
{
	const json_t *list = json_object_get(root, "cache_events");
	size_t n = json_array_size(list);
	size_t from = n > DL_CACHE_EVENTS_MAX ? n - DL_CACHE_EVENTS_MAX : 0;

	for (size_t i = from; i < n; i++) {
		const json_t *o = json_array_get(list, i);
		const char *hex =
			json_string_value(json_object_get(o, "prefix"));
		struct dl_cache_event *e = &out->events[out->events_count];

		if (!hex)
			continue;
		e->prefix = strtoull(hex, NULL, 16);
		e->tokens = (uint32_t)read_count(o, "tokens");
		if (json_is_true(json_object_get(o, "evicted")))
			e->tokens = 0;
		out->events_count++;
	}
}

/* Reads the models; those beyond DL_ANNOUNCED_MODELS_MAX are ignored. */
static void read_models(const json_t *root, struct dl_announcement *out)
{
	const json_t *list = json_object_get(root, "models");

	for (size_t i = 0; i < json_array_size(list) &&
			   out->models_count < DL_ANNOUNCED_MODELS_MAX;
	     i++) {
		const json_t *model = json_array_get(list, i);

		if (json_is_string(model) &&
		    dl_name_set(&out->models[out->models_count],
				json_str(model)))
			out->models_count++;
	}
}

/* Parses an endpoint's announcement. */
int dl_announcement_parse(struct dl_str body, struct dl_announcement *out,
			  struct dl_err *err)
{
	json_t *root = load_object(body, err);
	uint64_t address;
	int rc = 0;

	memset(out, 0, sizeof(*out));
	if (!root)
		return -EINVAL;
	if (read_name(root, "service", true, &out->service))
		rc = INVALID(err, "service must be a name");
	else if (read_name(root, "failure_domain", false,
			   &out->report.failure_domain))
		rc = INVALID(err, "failure_domain must be a name");
	else if (read_name(root, "address", true, &out->report.id) ||
		 !dl_vm_parse(dl_name_str(&out->report.id), &address))
		rc = INVALID(err, "address must be an IP address and a port");
	read_report(root, &out->report);
	out->order_fence = read_count(root, "order_fence");
	read_events(root, out);
	read_models(root, out);
	if (read_name(root, "version", false, &out->version) ||
	    read_name(root, "role", false, &out->role))
		rc = INVALID(err, "version and role must be names");
	if (!rc && out->report.slots == 0)
		rc = INVALID(err, "slots must be at least 1");
	json_decref(root);
	return rc;
}

/* Encodes the body of a response that reports a refusal or an error. */
char *dl_error_body(const char *reason, const char *step, const char *peer,
		    uint32_t retry_after_ms, const char *text, size_t *n)
{
	json_t *error = json_object();
	json_t *root = json_object();
	char *out;

	json_object_set_new(error, "reason", json_string(reason));
	json_object_set_new(error, "step", json_string(step));
	json_object_set_new(error, "peer", json_string(peer));
	if (retry_after_ms)
		json_object_set_new(error, "retry_after_ms",
				    json_integer(retry_after_ms));
	if (text && text[0])
		json_object_set_new(error, "message", json_string(text));
	json_object_set_new(root, "error", error);
	out = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	*n = out ? strlen(out) : 0;
	return out;
}
