/* Parser of a process's settings, by a table of keys with a reader for each. */
#include "protocol/settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define SETTINGS_TEXT_MAX   65536
#define BUFFER_MB_DEFAULT   256
#define CONNECTIONS_DEFAULT 4096
#define KEY_MIN		    16
#define COUNT_MAX	    1000000
#define MS_PER_S	    1000
#define PERMILLE	    1000
/* 0.29 * 1000 is less than 290 in binary fractions. */
#define ROUNDING	1e-9
#define RETRY_SLACK	200
#define RETRY_WINDOW_MS 10000
#define PORT_MASK	((uint64_t)0xffff)

struct key {
	const char *name;
	int (*read)(const json_t *value, void *to);
	size_t offset; /* offset of the field */
	bool required;
};

static int read_name(const json_t *value, void *to);
static int read_domains(const json_t *value, void *to);
static int read_address(const json_t *value, void *to);
static int read_path(const json_t *value, void *to);
static int read_level(const json_t *value, void *to);
static int read_count(const json_t *value, void *to);
static int read_peers(const json_t *value, void *to);
static int read_replicas(const json_t *value, void *to);
static int read_keys(const json_t *value, void *to);
static int read_flag(const json_t *value, void *to);
static int read_seeds(const json_t *value, void *to);
static int read_seconds(const json_t *value, void *to);
static int read_count_or_off(const json_t *value, void *to);
static int read_ratio(const json_t *value, void *to);

#define FIELD(f) offsetof(struct dl_settings, f)

static const struct key keys[] = {
	{ "name", read_name, FIELD(name), true },
	{ "failure_domain", read_name, FIELD(failure_domain), true },
	{ "region", read_name, FIELD(region), false },
	{ "failure_domains", read_domains, 0, false },
	{ "http", read_address, FIELD(http), false },
	{ "operators", read_address, FIELD(operators), false },
	{ "endpoints", read_address, FIELD(endpoints), false },
	{ "operator_keys", read_keys, FIELD(operator_keys), false },
	{ "endpoint_keys", read_keys, FIELD(endpoint_keys), false },
	{ "metrics", read_address, FIELD(metrics), false },
	{ "ready", read_address, FIELD(ready), false },
	{ "foreign", read_flag, FIELD(foreign), false },
	{ "found", read_flag, FIELD(found), false },
	{ "failures_max", read_count, FIELD(failures_max), false },
	{ "key_lease_ms", read_count, FIELD(key_lease_ms), false },
	{ "stop_s", read_seconds, FIELD(stop_ms), false },
	{ "endpoint_drain_ms", read_count_or_off, FIELD(endpoint_drain_ms),
	  false },
	{ "retry_ratio", read_ratio, FIELD(retry_permille), false },
	{ "retry_slack", read_count_or_off, FIELD(retry_slack), false },
	{ "retry_window_s", read_seconds, FIELD(retry_window_ms), false },
	{ "peer", read_address, FIELD(peer), true },
	{ "tunnel", read_address, FIELD(tunnel), false },
	{ "seeds", read_seeds, 0, false },
	{ "peers", read_peers, 0, false },
	{ "replicas", read_replicas, 0, false },
	{ "data_folder", read_path, FIELD(data_folder), false },
	{ "cut_file", read_path, FIELD(cut_file), false },
	{ "log_file", read_path, FIELD(log_file), false },
	{ "log_level", read_level, FIELD(log_level), false },
	{ "buffer_mb", read_count, FIELD(buffer_mb), false },
	{ "connections_max", read_count, FIELD(connections_max), false },
};

#define KEYS (sizeof(keys) / sizeof(keys[0]))

static const char *const level_names[] = {
	[DL_DEBUG] = "debug",
	[DL_INFO] = "info",
	[DL_WARN] = "warn",
	[DL_ERROR] = "error",
};

static struct dl_str json_str(const json_t *value)
{
	return (struct dl_str){ json_string_value(value),
				json_string_length(value) };
}

static int read_name(const json_t *value, void *to)
{
	if (!json_is_string(value) || json_string_length(value) == 0 ||
	    !dl_name_set(to, json_str(value)))
		return -EINVAL;
	return 0;
}

static int read_address(const json_t *value, void *to)
{
	if (!json_is_string(value) || !dl_vm_parse(json_str(value), to))
		return -EINVAL;
	return 0;
}

static int read_domains(const json_t *value, void *to)
{
	struct dl_settings *s = to;
	size_t n = json_array_size(value);

	if (!json_is_array(value) || n > DL_SETTINGS_DOMAINS_MAX)
		return -EINVAL;
	for (size_t i = 0; i < n; i++) {
		if (read_name(json_array_get(value, i), &s->failure_domains[i]))
			return -EINVAL;
	}
	s->failure_domains_count = (uint32_t)n;
	return 0;
}

static int read_path(const json_t *value, void *to)
{
	struct dl_str s;

	if (!json_is_string(value))
		return -EINVAL;
	s = json_str(value);
	if (s.n == 0 || s.n > DL_SETTINGS_PATH_MAX || memchr(s.s, 0, s.n))
		return -EINVAL;
	memcpy(to, s.s, s.n);
	((char *)to)[s.n] = '\0';
	return 0;
}

static int read_level(const json_t *value, void *to)
{
	if (!json_is_string(value))
		return -EINVAL;
	for (int i = DL_DEBUG; i <= DL_ERROR; i++) {
		if (strcmp(json_string_value(value), level_names[i]) == 0) {
			*(enum dl_level *)to = (enum dl_level)i;
			return 0;
		}
	}
	return -EINVAL;
}

static int read_count(const json_t *value, void *to)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 1 || n > COUNT_MAX)
		return -EINVAL;
	*(uint32_t *)to = (uint32_t)n;
	return 0;
}

static int read_addresses(const json_t *value, uint64_t *to, size_t max,
			  uint32_t *count)
{
	if (!json_is_array(value) || json_array_size(value) > max)
		return -EINVAL;
	for (size_t i = 0; i < json_array_size(value); i++) {
		if (read_address(json_array_get(value, i), &to[i]))
			return -EINVAL;
	}
	*count = (uint32_t)json_array_size(value);
	return 0;
}

static int read_peers(const json_t *value, void *to)
{
	struct dl_settings *s = to;

	return read_addresses(value, s->peers, DL_SETTINGS_PEERS_MAX,
			      &s->peers_count);
}

static int read_replicas(const json_t *value, void *to)
{
	struct dl_settings *s = to;

	return read_addresses(value, s->replicas, DL_SETTINGS_REPLICAS_MAX,
			      &s->replicas_count);
}

/* Reads seconds, which may be fractional, as milliseconds. */
static int read_seconds(const json_t *value, void *to)
{
	double s = json_number_value(value);

	if (!json_is_number(value) || s <= 0 || s > COUNT_MAX)
		return -EINVAL;
	*(uint32_t *)to = (uint32_t)(s * MS_PER_S);
	return 0;
}

/* Reads a number, where 0 stands for off. */
static int read_count_or_off(const json_t *value, void *to)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || n > COUNT_MAX)
		return -EINVAL;
	*(uint32_t *)to = (uint32_t)n;
	return 0;
}

/* Reads a share of 0 to 1 as thousandths, rounded down. */
static int read_ratio(const json_t *value, void *to)
{
	double ratio = json_number_value(value);

	if (!json_is_number(value) || ratio < 0 || ratio > 1)
		return -EINVAL;
	*(uint32_t *)to = (uint32_t)(ratio * PERMILLE + ROUNDING);
	return 0;
}

static int read_flag(const json_t *value, void *to)
{
	if (!json_is_boolean(value))
		return -EINVAL;
	*(bool *)to = json_is_true(value);
	return 0;
}

/*
 * Reads addresses of replicas. dl_settings_parse() replaces their ports by our
 * own peer port once all keys are read.
 */
static int read_seeds(const json_t *value, void *to)
{
	return read_replicas(value, to);
}

/*
 * Reads secret keys. They must be too long to guess, and their values must
 * never appear in an error message.
 */
static int read_keys(const json_t *value, void *to)
{
	struct dl_keys *out = to;

	if (!json_is_array(value) || json_array_size(value) == 0 ||
	    json_array_size(value) > DL_KEYS_MAX)
		return -EINVAL;
	for (size_t i = 0; i < json_array_size(value); i++) {
		const json_t *one = json_array_get(value, i);
		size_t n = json_string_length(one);

		if (!json_is_string(one) || n < KEY_MIN || n > DL_KEY_MAX)
			return -EINVAL;
		memcpy(out->key[i].s, json_string_value(one), n);
		out->key[i].n = (uint8_t)n;
	}
	out->count = (uint32_t)json_array_size(value);
	return 0;
}

static const struct key *find_key(const char *name)
{
	for (size_t i = 0; i < KEYS; i++) {
		if (strcmp(keys[i].name, name) == 0)
			return &keys[i];
	}
	return NULL;
}

static int read_all(json_t *root, struct dl_settings *out, struct dl_err *err)
{
	const char *name;
	json_t *value;

	json_object_foreach(root, name, value)
	{
		const struct key *key = find_key(name);

		if (!key)
			return dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
					  "unknown key %.40s", name);
		if (key->read(value, (char *)out + key->offset))
			return dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
					  "bad value of %s", name);
	}
	for (size_t i = 0; i < KEYS; i++) {
		if (keys[i].required && !json_object_get(root, keys[i].name))
			return dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
					  "%s is missing", keys[i].name);
	}
	return 0;
}

/* Parses settings from a JSON text. */
int dl_settings_parse(struct dl_str text, struct dl_settings *out,
		      struct dl_err *err)
{
	json_error_t fault;
	json_t *root;
	int rc;

	memset(out, 0, sizeof(*out));
	out->log_level = DL_INFO;
	out->buffer_mb = BUFFER_MB_DEFAULT;
	out->connections_max = CONNECTIONS_DEFAULT;
	out->retry_permille = PERMILLE;
	out->retry_slack = RETRY_SLACK;
	out->retry_window_ms = RETRY_WINDOW_MS;
	root = json_loadb(text.s, text.n, JSON_REJECT_DUPLICATES, &fault);
	if (!root)
		return dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
				  "line %d: %s", fault.line, fault.text);
	if (!json_is_object(root))
		rc = dl_err_set(err, -EINVAL, DL_STEP_CHECK, NULL,
				"not an object");
	else
		rc = read_all(root, out, err);
	if (rc == 0 && json_object_get(root, "seeds")) {
		for (uint32_t i = 0; i < out->replicas_count; i++)
			out->replicas[i] = (out->replicas[i] & ~PORT_MASK) |
					   (out->peer & PORT_MASK);
	}
	json_decref(root);
	return rc;
}

/* Reads settings from a file. */
int dl_settings_load(const char *path, struct dl_settings *out,
		     struct dl_err *err)
{
	char *text = malloc(SETTINGS_TEXT_MAX);
	FILE *f = fopen(path, "re");
	size_t n;
	int rc;

	if (!f || !text) {
		rc = dl_err_set(err, f ? -ENOMEM : -errno, DL_STEP_READ, NULL,
				"cannot open %.100s", path);
	} else {
		errno = 0;
		n = fread(text, 1, SETTINGS_TEXT_MAX, f);
		if (ferror(f))
			rc = dl_err_set(err, errno ? -errno : -EIO,
					DL_STEP_READ, NULL,
					"cannot read %.100s", path);
		else
			rc = dl_settings_parse((struct dl_str){ text, n }, out,
					       err);
	}
	if (f)
		fclose(f);
	free(text);
	return rc;
}

/*
 * Returns the domain whose VMs share pools: the region if one is set, since a
 * long prompt may need engines of several failure domains, or else the failure
 * domain.
 */
const struct dl_name *dl_settings_pool_domain(const struct dl_settings *s)
{
	return s->region.n ? &s->region : &s->failure_domain;
}
