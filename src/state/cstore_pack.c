/*
 * Checks that bytes are one array of integers, booleans and byte strings before
 * msgpack-c unpacks them: msgpack-c allocates memory for the claimed length of
 * a nested array, and one damaged byte can claim a hundred gigabytes.
 */
#include "state/cstore_pack.h"

#define FIXARRAY      0x90
#define FIXARRAY_MASK 0xf0
#define ARRAY16	      0xdc
#define ARRAY16_HEAD  3
#define FIXINT_LAST   0x7f
#define NEGINT_FIRST  0xe0

/* Size of each type of scalar, by its msgpack marker. */
struct scalar {
	uint8_t head;	/* marker, and length or value; 0: not allowed */
	uint8_t length; /* size of the length field */
};

static const struct scalar scalars[] = {
	[0xc0] = { 1, 0 }, [0xc2] = { 1, 0 }, [0xc3] = { 1, 0 },
	[0xc4] = { 2, 1 }, [0xc5] = { 3, 2 }, [0xc6] = { 5, 4 },
	[0xcc] = { 2, 0 }, [0xcd] = { 3, 0 }, [0xce] = { 5, 0 },
	[0xcf] = { 9, 0 }, [0xd0] = { 2, 0 }, [0xd1] = { 3, 0 },
	[0xd2] = { 5, 0 }, [0xd3] = { 9, 0 },
};

#define SCALARS (sizeof(scalars) / sizeof(scalars[0]))

static size_t big_endian(const uint8_t *p, size_t n);
static size_t scalar_size(const uint8_t *p, size_t left);

/* Read an unsigned number of n bytes in network order. */
static size_t big_endian(const uint8_t *p, size_t n)
{
	size_t v = 0;

	for (size_t i = 0; i < n; i++)
		v = v << 8 | p[i];
	return v;
}

/* Return the size of the scalar at p; 0 if it is none or is truncated. */
static size_t scalar_size(const uint8_t *p, size_t left)
{
	struct scalar s;
	size_t n;

	if (left == 0)
		return 0;
	if (p[0] <= FIXINT_LAST || p[0] >= NEGINT_FIRST)
		return 1;
	if (p[0] >= SCALARS)
		return 0;
	s = scalars[p[0]];
	if (s.head == 0 || s.head > left)
		return 0;
	n = s.head + big_endian(p + 1, s.length);
	return n <= left ? n : 0;
}

/*
 * Return the size of the array of scalars at the start, or 0 if there is none.
 */
size_t pack_flat_size(struct dl_str bytes)
{
	const uint8_t *p = (const uint8_t *)bytes.s;
	size_t at = 1, fields;

	if (bytes.n >= 1 && (p[0] & FIXARRAY_MASK) == FIXARRAY) {
		fields = p[0] & (uint8_t)~FIXARRAY_MASK;
	} else if (bytes.n >= ARRAY16_HEAD && p[0] == ARRAY16) {
		fields = big_endian(p + 1, 2);
		at = ARRAY16_HEAD;
	} else {
		return 0;
	}
	for (; fields; fields--) {
		size_t n = scalar_size(p + at, bytes.n - at);

		if (n == 0)
			return 0;
		at += n;
	}
	return at;
}
