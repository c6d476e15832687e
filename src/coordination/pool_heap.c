/* An intrusive binary min-heap. */
#include "pool_int.h"

#include <stdlib.h>

#define HEAP_FIRST_ROOM 16

static void place_node(struct pool_heap *heap, uint32_t pos,
		       struct pool_heap_node *node);
static void sift_up(struct pool_heap *heap, struct pool_heap_node *node);
static void sift_down(struct pool_heap *heap, struct pool_heap_node *node);

/* Frees the heap, but not the structures that contain its nodes. */
void pool_heap_free(struct pool_heap *heap)
{
	free((void *)heap->at);
	*heap = (struct pool_heap){ 0 };
}

static void place_node(struct pool_heap *heap, uint32_t pos,
		       struct pool_heap_node *node)
{
	heap->at[pos] = node;
	node->pos = pos;
}

static void sift_up(struct pool_heap *heap, struct pool_heap_node *node)
{
	uint32_t pos = node->pos;

	while (pos > 1 && heap->at[pos / 2]->key > node->key) {
		place_node(heap, pos, heap->at[pos / 2]);
		pos /= 2;
	}
	place_node(heap, pos, node);
}

static void sift_down(struct pool_heap *heap, struct pool_heap_node *node)
{
	uint32_t pos = node->pos;

	for (uint32_t child = 2 * pos; child <= heap->n; child = 2 * pos) {
		if (child < heap->n &&
		    heap->at[child + 1]->key < heap->at[child]->key)
			child++;
		if (heap->at[child]->key >= node->key)
			break;
		place_node(heap, pos, heap->at[child]);
		pos = child;
	}
	place_node(heap, pos, node);
}

/* Inserts a node, or changes its key if it is in the heap. */
void pool_heap_set(struct pool_heap *heap, struct pool_heap_node *node,
		   int64_t key)
{
	node->key = key;
	if (!node->pos) {
		if (heap->n + 1 >= heap->room) {
			heap->room = heap->room ? heap->room * 2 :
						  HEAP_FIRST_ROOM;
			heap->at = realloc(
				(void *)heap->at,
				heap->room * sizeof(struct pool_heap_node *));
			if (!heap->at)
				abort();
		}
		place_node(heap, ++heap->n, node);
	}
	sift_up(heap, node);
	sift_down(heap, node);
}

/* Removes a node; does nothing if it is not in the heap. */
void pool_heap_remove(struct pool_heap *heap, struct pool_heap_node *node)
{
	struct pool_heap_node *last;
	uint32_t pos = node->pos;

	if (!pos)
		return;
	node->pos = 0;
	last = heap->at[heap->n--];
	if (last == node)
		return;
	place_node(heap, pos, last);
	sift_up(heap, last);
	sift_down(heap, last);
}

/* Returns the node with the smallest key, or NULL. */
struct pool_heap_node *pool_heap_top(const struct pool_heap *heap)
{
	return heap->n ? heap->at[1] : NULL;
}
