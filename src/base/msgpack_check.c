/* Validates msgpack in one pass, counting the objects still expected. */
#include "base/msgpack_check.h"

/* Encoding of what follows a type byte; n is a number of bytes. */
enum shape {
	SHAPE_FIXED, /* n bytes */
	SHAPE_BYTES, /* an n-byte length and that many bytes */
	SHAPE_EXT,   /* as SHAPE_BYTES, with an extension type byte */
	SHAPE_ARRAY, /* an n-byte count and that many objects */
	SHAPE_MAP,   /* as SHAPE_ARRAY, with two objects per entry */
	SHAPE_INVALID,
};

struct type {
	enum shape shape;
	uint8_t n;
};

#define FIRST_TYPE 0xc0
#define LAST_TYPE  0xdf

/* Types 0xc0 (nil) to 0xdf (map 32). */
static const struct type types[LAST_TYPE - FIRST_TYPE + 1] = {
	{ SHAPE_FIXED, 0 },  { SHAPE_INVALID, 0 }, { SHAPE_FIXED, 0 },
	{ SHAPE_FIXED, 0 },  { SHAPE_BYTES, 1 },   { SHAPE_BYTES, 2 },
	{ SHAPE_BYTES, 4 },  { SHAPE_EXT, 1 },	   { SHAPE_EXT, 2 },
	{ SHAPE_EXT, 4 },    { SHAPE_FIXED, 4 },   { SHAPE_FIXED, 8 },
	{ SHAPE_FIXED, 1 },  { SHAPE_FIXED, 2 },   { SHAPE_FIXED, 4 },
	{ SHAPE_FIXED, 8 },  { SHAPE_FIXED, 1 },   { SHAPE_FIXED, 2 },
	{ SHAPE_FIXED, 4 },  { SHAPE_FIXED, 8 },   { SHAPE_FIXED, 2 },
	{ SHAPE_FIXED, 3 },  { SHAPE_FIXED, 5 },   { SHAPE_FIXED, 9 },
	{ SHAPE_FIXED, 17 }, { SHAPE_BYTES, 1 },   { SHAPE_BYTES, 2 },
	{ SHAPE_BYTES, 4 },  { SHAPE_ARRAY, 2 },   { SHAPE_ARRAY, 4 },
	{ SHAPE_MAP, 2 },    { SHAPE_MAP, 4 },
};

struct cursor {
	const uint8_t *at;
	uint64_t bytes_left;
	uint64_t objects_left; /* still expected */
};

static bool skip(struct cursor *c, uint64_t n)
{
	if (n > c->bytes_left)
		return false;
	c->at += n;
	c->bytes_left -= n;
	return true;
}

/* Reads a big-endian number of n bytes. */
static bool read_number(struct cursor *c, uint8_t n, uint64_t *out)
{
	const uint8_t *p = c->at;

	*out = 0;
	if (!skip(c, n))
		return false;
	for (uint8_t i = 0; i < n; i++)
		*out = *out << 8 | p[i];
	return true;
}

static bool read_typed(struct cursor *c, struct type type)
{
	uint64_t n;

	if (type.shape == SHAPE_FIXED)
		return skip(c, type.n);
	if (type.shape == SHAPE_INVALID || !read_number(c, type.n, &n))
		return false;
	switch (type.shape) {
	case SHAPE_BYTES:
		return skip(c, n);
	case SHAPE_EXT:
		return skip(c, n + 1);
	case SHAPE_ARRAY:
		c->objects_left += n;
		return true;
	default:
		c->objects_left += 2 * n;
		return true;
	}
}

static bool read_object(struct cursor *c)
{
	uint8_t b = *c->at;

	skip(c, 1);
	c->objects_left--;
	if (b < 0x80 || b >= 0xe0)
		return true;
	if (b < 0x90)
		c->objects_left += 2 * (uint64_t)(b & 0x0f);
	else if (b < 0xa0)
		c->objects_left += b & 0x0f;
	else if (b < FIRST_TYPE)
		return skip(c, b & 0x1f);
	else
		return read_typed(c, types[b - FIRST_TYPE]);
	return true;
}

/*
 * Whether the input is exactly one complete object. Each object takes at least
 * one byte, so input that declares more objects than bytes left is rejected.
 */
bool dl_msgpack_well_formed(struct dl_str s)
{
	struct cursor c = { (const uint8_t *)s.s, s.n, 1 };

	while (c.objects_left) {
		if (c.objects_left > c.bytes_left || !read_object(&c))
			return false;
	}
	return c.bytes_left == 0;
}
