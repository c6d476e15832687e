/* An intrusive chained hash table. */
#include "pool_int.h"

#include <stdlib.h>

#define MAP_FIRST_ROOM 64

static void grow(struct pool_map *map);

/* Initialises an empty table. */
void pool_map_init(struct pool_map *map)
{
	map->n = 0;
	map->mask = MAP_FIRST_ROOM - 1;
	map->bucket = calloc(MAP_FIRST_ROOM, sizeof(struct pool_map_node *));
	if (!map->bucket)
		abort();
}

/* Frees the table, but not the structures that contain its nodes. */
void pool_map_free(struct pool_map *map)
{
	free(map->bucket);
	map->bucket = NULL;
}

static void grow(struct pool_map *map)
{
	uint32_t room = (map->mask + 1) * 2;
	struct pool_map_node **bucket;

	bucket = calloc(room, sizeof(struct pool_map_node *));
	if (!bucket)
		abort();
	for (uint32_t i = 0; i <= map->mask; i++) {
		struct pool_map_node *node = map->bucket[i];

		while (node) {
			struct pool_map_node *next = node->next;

			node->next = bucket[node->hash & (room - 1)];
			bucket[node->hash & (room - 1)] = node;
			node = next;
		}
	}
	free(map->bucket);
	map->bucket = bucket;
	map->mask = room - 1;
}

/* Adds a node that is not in the table yet. */
void pool_map_add(struct pool_map *map, struct pool_map_node *node,
		  uint64_t hash)
{
	if (map->n > map->mask)
		grow(map);
	node->hash = hash;
	node->next = map->bucket[hash & map->mask];
	map->bucket[hash & map->mask] = node;
	map->n++;
}

/* Removes a node that is in the table. */
void pool_map_remove(struct pool_map *map, struct pool_map_node *node)
{
	struct pool_map_node **link = &map->bucket[node->hash & map->mask];

	while (*link != node)
		link = &(*link)->next;
	*link = node->next;
	map->n--;
}

/* Returns the first node with this hash, or NULL. */
struct pool_map_node *pool_map_first(const struct pool_map *map, uint64_t hash)
{
	struct pool_map_node *node = map->bucket[hash & map->mask];

	while (node && node->hash != hash)
		node = node->next;
	return node;
}

/* Returns the next node with the same hash, or NULL. */
struct pool_map_node *pool_map_next(const struct pool_map_node *node)
{
	uint64_t hash = node->hash;
	struct pool_map_node *next = node->next;

	while (next && next->hash != hash)
		next = next->next;
	return next;
}
