/* One pass over msgpack's type bytes, with a count of the objects to come. */
#include "base/msgpack_check.h"

/* What follows a type byte. */
enum shape {
	SHAPE_PLAIN, /* so many bytes */
	SHAPE_BYTES, /* a length of so many bytes, and as many */
	SHAPE_EXT,   /* the same, and a type byte */
	SHAPE_ARRAY, /* a count of so many bytes, and as many objects */
	SHAPE_MAP,   /* the same, twice as many */
	SHAPE_BAD,
};

struct type {
	enum shape shape;
	uint8_t n;
};

#define FIRST_TYPE 0xc0
#define LAST_TYPE  0xdf

/* The types from 0xc0 (nil) to 0xdf (map 32). */
static const struct type types[LAST_TYPE - FIRST_TYPE + 1] = {
	{ SHAPE_PLAIN, 0 },  { SHAPE_BAD, 0 },	 { SHAPE_PLAIN, 0 },
	{ SHAPE_PLAIN, 0 },  { SHAPE_BYTES, 1 }, { SHAPE_BYTES, 2 },
	{ SHAPE_BYTES, 4 },  { SHAPE_EXT, 1 },	 { SHAPE_EXT, 2 },
	{ SHAPE_EXT, 4 },    { SHAPE_PLAIN, 4 }, { SHAPE_PLAIN, 8 },
	{ SHAPE_PLAIN, 1 },  { SHAPE_PLAIN, 2 }, { SHAPE_PLAIN, 4 },
	{ SHAPE_PLAIN, 8 },  { SHAPE_PLAIN, 1 }, { SHAPE_PLAIN, 2 },
	{ SHAPE_PLAIN, 4 },  { SHAPE_PLAIN, 8 }, { SHAPE_PLAIN, 2 },
	{ SHAPE_PLAIN, 3 },  { SHAPE_PLAIN, 5 }, { SHAPE_PLAIN, 9 },
	{ SHAPE_PLAIN, 17 }, { SHAPE_BYTES, 1 }, { SHAPE_BYTES, 2 },
	{ SHAPE_BYTES, 4 },  { SHAPE_ARRAY, 2 }, { SHAPE_ARRAY, 4 },
	{ SHAPE_MAP, 2 },    { SHAPE_MAP, 4 },
};

struct walk {
	const uint8_t *at;
	uint64_t bytes;	  /* that are left */
	uint64_t objects; /* that are to come */
};

static bool skip(struct walk *w, uint64_t n)
{
	if (n > w->bytes)
		return false;
	w->at += n;
	w->bytes -= n;
	return true;
}

/* Read a big-endian number of n bytes. */
static bool number(struct walk *w, uint8_t n, uint64_t *out)
{
	const uint8_t *p = w->at;

	*out = 0;
	if (!skip(w, n))
		return false;
	for (uint8_t i = 0; i < n; i++)
		*out = *out << 8 | p[i];
	return true;
}

static bool typed(struct walk *w, struct type type)
{
	uint64_t n;

	if (type.shape == SHAPE_PLAIN)
		return skip(w, type.n);
	if (type.shape == SHAPE_BAD || !number(w, type.n, &n))
		return false;
	switch (type.shape) {
	case SHAPE_BYTES:
		return skip(w, n);
	case SHAPE_EXT:
		return skip(w, n + 1);
	case SHAPE_ARRAY:
		w->objects += n;
		return true;
	default:
		w->objects += 2 * n;
		return true;
	}
}

static bool object(struct walk *w)
{
	uint8_t b = *w->at;

	skip(w, 1);
	w->objects--;
	if (b < 0x80 || b >= 0xe0)
		return true;
	if (b < 0x90)
		w->objects += 2 * (uint64_t)(b & 0x0f);
	else if (b < 0xa0)
		w->objects += b & 0x0f;
	else if (b < FIRST_TYPE)
		return skip(w, b & 0x1f);
	else
		return typed(w, types[b - FIRST_TYPE]);
	return true;
}

/* Every object to come takes a byte at least; more cannot be meant. */
bool dl_msgpack_well_formed(struct dl_str s)
{
	struct walk w = { (const uint8_t *)s.s, s.n, 1 };

	while (w.objects) {
		if (w.objects > w.bytes || !object(&w))
			return false;
	}
	return w.bytes == 0;
}
