/* Checks of a response; see the header. */
#include "transport/response_head.h"

#include <glib.h>
#include <string.h>
#include <sys/param.h>

#define STATUS_MIN   100
#define STATUS_FINAL 200 /* the lowest status of a final response */
#define STATUS_MAX   599

/* The start of a status line; '#' stands for a digit. */
static const char status_start[] = "HTTP/#.# ###";
#define STATUS_START_N (sizeof(status_start) - 1)
#define MAJOR_AT       5 /* the digit of the major version */
#define STATUS_DIGITS  3
#define SIZE_BITS      64 /* of a chunk's size */
#define DIGIT_BITS     4

static bool matches(char pattern, char c)
{
	return pattern == '#' ? g_ascii_isdigit(c) : pattern == c;
}

/* Whether a byte may be part of a field name (RFC 9110, token). */
static bool is_token(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/*
 * Whether a status line starts within the current line, at any byte: the
 * response before was broken off there.
 */
static bool has_inner_start(struct dl_head_check *check, char c)
{
	if (!matches(status_start[check->inner_n], c))
		check->inner_n = 0;
	if (matches(status_start[check->inner_n], c))
		check->inner_n++;
	return check->inner_n == STATUS_START_N;
}

/* Handles the end of a line. */
static void end_line(struct dl_head_check *check)
{
	check->state = DL_HEAD_LINE_START;
	check->inner_n = 0;
}

/* Handles the first byte of a field's name. */
static void begin_field(struct dl_head_check *check)
{
	check->state = DL_HEAD_NAME;
	check->has_field = true;
}

/* Handles the end of the head; an interim response is followed by another. */
static void end_head(struct dl_head_check *check)
{
	bool interim = check->status < STATUS_FINAL;

	*check = (struct dl_head_check){ 0 };
	if (!interim)
		check->state = DL_HEAD_COMPLETE;
}

/* A CR ends a line, or is none. */
static const char *check_line_end(struct dl_head_check *check, char c)
{
	if (check->line_feed && c != '\n')
		return "line does not end with CR LF";
	check->line_feed = c == '\r';
	return NULL;
}

/* Checks a byte up to the status, which is complete with the last one. */
static const char *check_status(struct dl_head_check *check, char c)
{
	if (!matches(status_start[check->line_n], c))
		return "response does not start with a status line";
	if (check->line_n == MAJOR_AT && c != '1')
		return "response is of another version of HTTP";
	if (check->line_n++ >= STATUS_START_N - STATUS_DIGITS)
		check->status = check->status * 10 + (uint32_t)(c - '0');
	if (check->line_n == STATUS_START_N &&
	    (check->status < STATUS_MIN || check->status > STATUS_MAX))
		return "status is out of range";
	return NULL;
}

/* Checks a byte of the status line. */
static const char *check_status_line(struct dl_head_check *check, char c)
{
	if (check->line_n < STATUS_START_N)
		return check_status(check, c);
	if (check->line_n == STATUS_START_N) {
		if (c != ' ' && c != '\r' && c != '\n')
			return "status does not have three digits";
		check->line_n++;
	}
	if (c == '\n')
		end_line(check);
	else if (has_inner_start(check, c))
		return "another response starts in the status line";
	return NULL;
}

/* Checks a byte of a header field, or of the empty line. */
static const char *check_field(struct dl_head_check *check, char c)
{
	switch (check->state) {
	case DL_HEAD_LINE_START:
		if (c == '\r')
			check->state = DL_HEAD_LAST_LF;
		else if (c == '\n')
			end_head(check);
		else if (check->has_field && (c == ' ' || c == '\t'))
			check->state = DL_HEAD_VALUE; /* a folded line */
		else if (is_token(c))
			begin_field(check);
		else
			return "header name is malformed";
		return NULL;
	case DL_HEAD_LAST_LF:
		end_head(check);
		return NULL;
	case DL_HEAD_NAME:
		if (c == ':')
			check->state = DL_HEAD_VALUE;
		else if (!is_token(c))
			return "header name is malformed";
		return NULL;
	default:
		if (c == '\n')
			end_line(check);
		else if (has_inner_start(check, c))
			return "another response starts in a header";
		return NULL;
	}
}

/* Checks the bytes that follow; returns how many of them are of the head. */
size_t dl_head_check(struct dl_head_check *check, struct dl_str bytes,
		     const char **why)
{
	size_t i;

	*why = NULL;
	for (i = 0; i < bytes.n && check->state < DL_HEAD_COMPLETE; i++) {
		*why = check_line_end(check, bytes.s[i]);
		if (*why)
			break;
		*why = check->state == DL_HEAD_STATUS_LINE ?
			       check_status_line(check, bytes.s[i]) :
			       check_field(check, bytes.s[i]);
		if (*why)
			break;
	}
	if (*why)
		check->state = DL_HEAD_BAD;
	return i;
}

/* Handles the first digit of a chunk's size, or one that follows. */
static enum dl_chunk_state take_digit(struct dl_chunk_check *check, char c)
{
	if (!g_ascii_isxdigit(c) || check->left >> (SIZE_BITS - DIGIT_BITS))
		return DL_CHUNK_BAD;
	check->left = check->left << DIGIT_BITS |
		      (uint64_t)g_ascii_xdigit_value(c);
	return DL_CHUNK_DIGITS;
}

/* Returns the state after a byte that is none of a chunk's data. */
static enum dl_chunk_state after_byte(struct dl_chunk_check *check, char c)
{
	switch (check->state) {
	case DL_CHUNK_SIZE:
		check->left = 0;
		return take_digit(check, c);
	case DL_CHUNK_DIGITS:
		if (c == '\r')
			return DL_CHUNK_SIZE_LF;
		if (c == ';' || c == ' ' || c == '\t')
			return DL_CHUNK_EXTENSION;
		return take_digit(check, c);
	case DL_CHUNK_EXTENSION:
		return c == '\r' ? DL_CHUNK_SIZE_LF : DL_CHUNK_EXTENSION;
	case DL_CHUNK_SIZE_LF:
		if (c != '\n')
			return DL_CHUNK_BAD;
		return check->left ? DL_CHUNK_DATA : DL_CHUNK_TRAILER_START;
	case DL_CHUNK_DATA_CR:
		return c == '\r' ? DL_CHUNK_DATA_LF : DL_CHUNK_BAD;
	case DL_CHUNK_DATA_LF:
		return c == '\n' ? DL_CHUNK_SIZE : DL_CHUNK_BAD;
	case DL_CHUNK_TRAILER_START:
		if (c == '\r')
			return DL_CHUNK_LAST_LF;
		return is_token(c) ? DL_CHUNK_TRAILER_NAME : DL_CHUNK_BAD;
	case DL_CHUNK_TRAILER_NAME:
		if (c == ':')
			return DL_CHUNK_TRAILER_VALUE;
		return is_token(c) ? DL_CHUNK_TRAILER_NAME : DL_CHUNK_BAD;
	case DL_CHUNK_TRAILER_VALUE:
		return c == '\n' ? DL_CHUNK_TRAILER_START :
				   DL_CHUNK_TRAILER_VALUE;
	default:
		return c == '\n' ? DL_CHUNK_COMPLETE : DL_CHUNK_BAD;
	}
}

/* Checks the bytes of a body in chunks that follow; false: these are none. */
bool dl_chunk_check(struct dl_chunk_check *check, struct dl_str bytes)
{
	for (size_t i = 0; i < bytes.n && check->state < DL_CHUNK_COMPLETE;) {
		size_t n = MIN(check->left, bytes.n - i);

		if (check->state != DL_CHUNK_DATA) {
			check->state = after_byte(check, bytes.s[i++]);
			continue;
		}
		check->left -= n;
		i += n;
		if (!check->left)
			check->state = DL_CHUNK_DATA_CR;
	}
	return check->state != DL_CHUNK_BAD;
}

/* Whether a status line begins anywhere within a line. */
static bool holds_status_start(struct dl_str line)
{
	struct dl_head_check check = { 0 };

	for (size_t i = 0; i < line.n; i++) {
		if (has_inner_start(&check, line.s[i]))
			return true;
	}
	return false;
}

/* Returns the value of a header field without spaces around it. */
static struct dl_str field_value(struct dl_str line)
{
	const char *colon = memchr(line.s, ':', line.n);
	struct dl_str value = { line.s + line.n, 0 };

	if (!colon)
		return value;
	value.s = colon + 1;
	value.n = line.n - (size_t)(value.s - line.s);
	while (value.n && g_ascii_isspace(value.s[0])) {
		value.s++;
		value.n--;
	}
	while (value.n && g_ascii_isspace(value.s[value.n - 1]))
		value.n--;
	return value;
}

/* Whether the head of a response with an id begins within a body. */
bool dl_holds_response(struct dl_str body, struct dl_str id)
{
	bool in_head = false;

	/* Most bodies do not have the id at all. */
	if (!id.n || body.n < id.n || !memmem(body.s, body.n, id.s, id.n))
		return false;
	while (body.n) {
		const char *end = memchr(body.s, '\n', body.n);
		size_t n = end ? (size_t)(end - body.s) : body.n;
		struct dl_str line = { body.s, n };

		if (n == 0 || (n == 1 && line.s[0] == '\r'))
			in_head = false;
		else if (in_head && dl_str_eq(field_value(line), id))
			return true;
		else if (!in_head)
			in_head = holds_status_start(line);
		if (!end)
			break;
		body.s += n + 1;
		body.n -= n + 1;
	}
	return false;
}
