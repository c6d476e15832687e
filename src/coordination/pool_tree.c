/*
 * A treap of the requests of one flow by deadline, which sums the work ahead of
 * a request in logarithmic time.  Its depth is logarithmic as long as the ranks
 * are random; pool_queue.c sets them.
 */
#include "pool_int.h"

static bool sorts_before(const struct pool_tree_node *a, int64_t key,
			 uint64_t order);
static void update_sum(struct pool_tree_node *node);
static void split(struct pool_tree_node *root, int64_t key, uint64_t order,
		  struct pool_tree_node **left, struct pool_tree_node **right);
static struct pool_tree_node *merge(struct pool_tree_node *left,
				    struct pool_tree_node *right);

static bool sorts_before(const struct pool_tree_node *a, int64_t key,
			 uint64_t order)
{
	return a->key < key || (a->key == key && a->order < order);
}

static void update_sum(struct pool_tree_node *node)
{
	node->sum = node->weight;
	if (node->left)
		node->sum += node->left->sum;
	if (node->right)
		node->sum += node->right->sum;
}

static void split(struct pool_tree_node *root, int64_t key, uint64_t order,
		  struct pool_tree_node **left, struct pool_tree_node **right)
{
	if (!root) {
		*left = NULL;
		*right = NULL;
		return;
	}
	if (sorts_before(root, key, order)) {
		split(root->right, key, order, &root->right, right);
		*left = root;
	} else {
		split(root->left, key, order, left, &root->left);
		*right = root;
	}
	update_sum(root);
}

static struct pool_tree_node *merge(struct pool_tree_node *left,
				    struct pool_tree_node *right)
{
	if (!left)
		return right;
	if (!right)
		return left;
	if (left->rank > right->rank) {
		left->right = merge(left->right, right);
		update_sum(left);
		return left;
	}
	right->left = merge(left, right->left);
	update_sum(right);
	return right;
}

/* Inserts a node whose key, order, weight and rank are set. */
void pool_tree_insert(struct pool_tree_node **root, struct pool_tree_node *node)
{
	struct pool_tree_node *left, *right;

	node->left = NULL;
	node->right = NULL;
	update_sum(node);
	split(*root, node->key, node->order, &left, &right);
	*root = merge(merge(left, node), right);
}

/* Removes a node that is in the tree. */
void pool_tree_remove(struct pool_tree_node **root, struct pool_tree_node *node)
{
	struct pool_tree_node **link = root;

	while (*link && *link != node) {
		(*link)->sum -= node->weight;
		if (sorts_before(*link, node->key, node->order))
			link = &(*link)->right;
		else
			link = &(*link)->left;
	}
	if (*link)
		*link = merge(node->left, node->right);
}

/* Returns the node with the smallest key, or NULL. */
struct pool_tree_node *pool_tree_first(struct pool_tree_node *root)
{
	while (root && root->left)
		root = root->left;
	return root;
}

/* Returns the node with the largest key, or NULL. */
struct pool_tree_node *pool_tree_last(struct pool_tree_node *root)
{
	while (root && root->right)
		root = root->right;
	return root;
}

/* Returns the node that follows another one of the tree, or NULL. */
struct pool_tree_node *pool_tree_next(struct pool_tree_node *root,
				      const struct pool_tree_node *node)
{
	struct pool_tree_node *next = NULL;

	while (root) {
		if (root == node ||
		    sorts_before(root, node->key, node->order)) {
			root = root->right;
			continue;
		}
		next = root;
		root = root->left;
	}
	return next;
}

/* Returns the sum of the weights of all nodes before (key, order). */
uint64_t pool_tree_sum_before(const struct pool_tree_node *root, int64_t key,
			      uint64_t order)
{
	uint64_t sum = 0;

	while (root) {
		if (!sorts_before(root, key, order)) {
			root = root->left;
			continue;
		}
		sum += root->weight;
		if (root->left)
			sum += root->left->sum;
		root = root->right;
	}
	return sum;
}
