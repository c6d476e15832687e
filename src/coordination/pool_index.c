/*
 * An index over the endpoints that makes a search logarithmic in their number:
 * a complete binary tree in which each inner node holds the best values of its
 * subtree.  pool_place.c prunes its search by these values.
 */
#include "pool_int.h"

#include <float.h>
#include <stdlib.h>
#include <string.h>

#define INDEX_FIRST_ROOM 16

static const struct pool_index_node unavailable_leaf = {
	.ready = { INT64_MAX, INT64_MAX, INT64_MAX },
	.ms_per_token = DBL_MAX,
};

static void update_inner_node(struct pool_index *index, uint32_t at);

void pool_index_free(struct pool_index *index)
{
	free(index->at);
	index->at = NULL;
	index->room = 0;
}

/* Grows the index for this many endpoints; existing leaves are kept. */
void pool_index_resize(struct pool_index *index, uint32_t endpoints)
{
	uint32_t room = index->room ? index->room : INDEX_FIRST_ROOM;
	struct pool_index old = *index;

	while (room < endpoints)
		room *= 2;
	if (room == index->room)
		return;
	index->room = room;
	index->at = calloc(2 * (size_t)room, sizeof(*index->at));
	if (!index->at)
		abort();
	for (size_t i = 0; i < 2 * (size_t)room; i++)
		index->at[i] = unavailable_leaf;
	if (old.room)
		memcpy(&index->at[room], &old.at[old.room],
		       old.room * sizeof(*index->at));
	for (uint32_t i = room - 1; i > 0; i--)
		update_inner_node(index, i);
	free(old.at);
}

static void update_inner_node(struct pool_index *index, uint32_t at)
{
	const struct pool_index_node *a = &index->at[2 * (size_t)at];
	const struct pool_index_node *b = &index->at[2 * (size_t)at + 1];
	struct pool_index_node *up = &index->at[at];

	for (int i = 0; i < POOL_LEVELS; i++)
		up->ready[i] = a->ready[i] < b->ready[i] ? a->ready[i] :
							   b->ready[i];
	up->free = a->free > b->free ? a->free : b->free;
	up->free_long = a->free_long > b->free_long ? a->free_long :
						      b->free_long;
	up->ms_per_token = a->ms_per_token < b->ms_per_token ? a->ms_per_token :
							       b->ms_per_token;
}

/* Sets an endpoint's leaf; NULL marks the endpoint unavailable. */
void pool_index_set(struct pool_index *index, uint32_t slot,
		    const struct pool_index_node *leaf)
{
	uint32_t at = index->room + slot;

	index->at[at] = leaf ? *leaf : unavailable_leaf;
	for (at /= 2; at > 0; at /= 2)
		update_inner_node(index, at);
}

/* Returns the best values over all endpoints. */
const struct pool_index_node *pool_index_root(const struct pool_index *index)
{
	return index->room ? &index->at[1] : &unavailable_leaf;
}
