/* Parser of the project's log lines. */
#include "protocol/logline.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

/* The part of a line that is still to be parsed. */
struct cursor {
	const char *at, *end;
};

static const char timestamp_pattern[] = "dddd-dd-ddTdd:dd:dd.dddZ";
#define TIMESTAMP_LEN (sizeof(timestamp_pattern) - 1)

static bool is_timestamp(const char *s)
{
	for (size_t i = 0; i < TIMESTAMP_LEN; i++) {
		if (timestamp_pattern[i] == 'd' ? !g_ascii_isdigit(s[i]) :
						  s[i] != timestamp_pattern[i])
			return false;
	}
	return true;
}

static int64_t timestamp_ms(const char *s)
{
	char text[TIMESTAMP_LEN + 1];
	GDateTime *t;
	int64_t ms;

	memcpy(text, s, TIMESTAMP_LEN);
	text[TIMESTAMP_LEN] = '\0';
	t = g_date_time_new_from_iso8601(text, NULL);
	if (!t)
		return -1;
	ms = g_date_time_to_unix(t) * 1000 +
	     g_date_time_get_microsecond(t) / 1000;
	g_date_time_unref(t);
	return ms;
}

static void skip_spaces(struct cursor *r)
{
	while (r->at < r->end && *r->at == ' ')
		r->at++;
}

/* Reads the text up to a delimiter and skips that; -EINVAL if it is missing. */
static int read_until(struct cursor *r, char c, struct dl_str *out)
{
	const char *at = memchr(r->at, c, (size_t)(r->end - r->at));

	if (!at)
		return -EINVAL;
	*out = (struct dl_str){ r->at, (size_t)(at - r->at) };
	r->at = at + 1;
	return 0;
}

/* Returns the length of the key before the next '='; 0 if no key follows. */
static size_t key_length(const struct cursor *r)
{
	const char *at = r->at;

	while (at < r->end &&
	       (g_ascii_islower(*at) || g_ascii_isdigit(*at) || *at == '_'))
		at++;
	return at < r->end && *at == '=' ? (size_t)(at - r->at) : 0;
}

/* Reads the message, which ends at the first key=value field. */
static void read_sentence(struct cursor *r, struct dl_str *out)
{
	const char *begin = r->at, *end = r->end;

	while (r->at < r->end && !key_length(r)) {
		const char *space =
			memchr(r->at, ' ', (size_t)(r->end - r->at));

		end = space ? space : r->end;
		r->at = space ? space + 1 : r->end;
	}
	*out = (struct dl_str){ begin, (size_t)(end - begin) };
}

static void read_field(struct cursor *r, size_t key_n, struct dl_logfield *out)
{
	const char *value, *end;
	bool quoted;

	out->key = (struct dl_str){ r->at, key_n };
	value = r->at + key_n + 1;
	quoted = value < r->end && *value == '"';
	value += quoted;
	end = memchr(value, quoted ? '"' : ' ', (size_t)(r->end - value));
	if (!end)
		end = r->end;
	out->value = (struct dl_str){ value, (size_t)(end - value) };
	r->at = MIN(end + quoted, r->end);
}

/* Parses a line. Anything after the last well-formed field is ignored. */
int dl_logline_read(struct dl_str line, struct dl_logline *out)
{
	struct cursor r = { line.s, line.s + line.n };
	size_t n;

	memset(out, 0, sizeof(*out));
	while (r.at + TIMESTAMP_LEN <= r.end && !is_timestamp(r.at))
		r.at++;
	if (r.at + TIMESTAMP_LEN > r.end)
		return -EINVAL;
	out->prefix = (struct dl_str){ line.s, (size_t)(r.at - line.s) };
	out->at = timestamp_ms(r.at);
	r.at += TIMESTAMP_LEN;
	skip_spaces(&r);
	if (out->at < 0 || read_until(&r, ' ', &out->level))
		return -EINVAL;
	skip_spaces(&r);
	if (read_until(&r, ':', &out->part))
		return -EINVAL;
	skip_spaces(&r);
	read_sentence(&r, &out->sentence);
	while (out->fields < DL_LOGLINE_FIELDS_MAX && (n = key_length(&r))) {
		read_field(&r, n, &out->field[out->fields++]);
		skip_spaces(&r);
	}
	return 0;
}

/* Returns the value of the first field with the given key. */
struct dl_str dl_logline_field(const struct dl_logline *l, const char *key)
{
	for (uint32_t i = 0; i < l->fields; i++) {
		if (dl_str_eq(l->field[i].key, dl_str_of(key)))
			return l->field[i].value;
	}
	return DL_STR("");
}

/* Returns the value of a field as a signed integer. */
int64_t dl_logline_number(const struct dl_logline *l, const char *key,
			  int64_t default_value)
{
	struct dl_str s = dl_logline_field(l, key);
	bool negative = s.n && s.s[0] == '-';
	uint64_t v;

	if (negative)
		s = (struct dl_str){ s.s + 1, s.n - 1 };
	if (!dl_str_to_u64(s, &v) || v > INT64_MAX)
		return default_value;
	return negative ? -(int64_t)v : (int64_t)v;
}
