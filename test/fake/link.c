/* In-memory network: a heap of datagrams ordered by delivery time. */
#include "link.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define PERMILLE 1000

struct queued_datagram {
	int64_t due;
	uint64_t seq; /* keeps datagrams due at the same time in order */
	int64_t sent;
	uint64_t from;
	uint64_t to;
	size_t n;
	char data[];
};

struct cut {
	uint64_t from;
	uint64_t to;
};

struct pause {
	uint64_t vm;
	int64_t until;
};

struct fake_link {
	struct fake_link_conf conf;
	GRand *rand;
	uint64_t seq;
	GPtrArray *heap; /* of struct queued_datagram */
	GArray *cuts;
	GArray *pauses;
	GHashTable *counts; /* vm to struct fake_link_count */
	struct queued_datagram *last;
};

static bool chance(struct fake_link *link, uint32_t permille);
static struct fake_link_count *counts_for(struct fake_link *link, uint64_t vm);
static void push(struct fake_link *link, struct queued_datagram *p);
static struct queued_datagram *pop(struct fake_link *link);
static bool due_before(const GPtrArray *heap, guint a, guint b);
static void swap(GPtrArray *heap, guint a, guint b);
static int64_t paused_until(const struct fake_link *link, uint64_t vm);

/* Creates a network without cuts. */
struct fake_link *fake_link_new(const struct fake_link_conf *conf)
{
	struct fake_link *link = g_new0(struct fake_link, 1);

	link->conf = *conf;
	link->rand = g_rand_new_with_seed(conf->seed);
	link->heap = g_ptr_array_new_with_free_func(g_free);
	link->cuts = g_array_new(FALSE, FALSE, sizeof(struct cut));
	link->pauses = g_array_new(FALSE, FALSE, sizeof(struct pause));
	link->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	return link;
}

/* Frees the network and all datagrams in flight. */
void fake_link_free(struct fake_link *link)
{
	if (!link)
		return;
	g_rand_free(link->rand);
	g_ptr_array_free(link->heap, TRUE);
	g_array_free(link->cuts, TRUE);
	g_array_free(link->pauses, TRUE);
	g_hash_table_destroy(link->counts);
	g_free(link->last);
	g_free(link);
}

/* Changes loss, duplication and delay; conf->seed is ignored. */
void fake_link_set(struct fake_link *link, const struct fake_link_conf *conf)
{
	link->conf = *conf;
}

static bool chance(struct fake_link *link, uint32_t permille)
{
	if (!permille)
		return false;
	return (uint32_t)g_rand_int_range(link->rand, 0, PERMILLE) < permille;
}

static struct fake_link_count *counts_for(struct fake_link *link, uint64_t vm)
{
	struct fake_link_count *c = g_hash_table_lookup(link->counts, &vm);
	uint64_t *key;

	if (c)
		return c;
	key = g_new(uint64_t, 1);
	*key = vm;
	c = g_new0(struct fake_link_count, 1);
	g_hash_table_insert(link->counts, key, c);
	return c;
}

/* Sends a copy of the datagram, applying random loss, duplication and delay. */
void fake_link_send(struct fake_link *link, uint64_t from, uint64_t to,
		    struct dl_str data, int64_t now)
{
	int copies = chance(link, link->conf.dup_permille) ? 2 : 1;
	bool lost = chance(link, link->conf.loss_permille) ||
		    fake_link_is_cut(link, from, to);
	struct fake_link_count *counts[] = { counts_for(link, from),
					     counts_for(link, DL_VM_NONE) };

	for (int i = 0; i < 2; i++) {
		counts[i]->msgs++;
		counts[i]->bytes += data.n;
		counts[i]->dropped += lost;
	}
	if (lost)
		return;
	for (int i = 0; i < copies; i++) {
		struct queued_datagram *p = g_malloc(sizeof(*p) + data.n);
		uint32_t span =
			link->conf.delay_max_ms - link->conf.delay_min_ms;

		p->due = now + link->conf.delay_min_ms;
		if (span)
			p->due += g_rand_int_range(link->rand, 0,
						   (gint32)span + 1);
		p->seq = ++link->seq;
		p->sent = now;
		p->from = from;
		p->to = to;
		p->n = data.n;
		if (data.n)
			memcpy(p->data, data.s, data.n);
		push(link, p);
	}
}

/* Returns the next datagram that is due, deferring those to paused VMs. */
bool fake_link_next(struct fake_link *link, int64_t now,
		    struct fake_datagram *out)
{
	while (link->heap->len) {
		struct queued_datagram *p = g_ptr_array_index(link->heap, 0);
		int64_t until;

		if (p->due > now)
			return false;
		p = pop(link);
		if (fake_link_is_cut(link, p->from, p->to)) {
			g_free(p);
			continue;
		}
		until = paused_until(link, p->to);
		if (until > now) {
			p->due = until;
			push(link, p);
			continue;
		}
		g_free(link->last);
		link->last = p;
		out->from = p->from;
		out->to = p->to;
		out->sent = p->sent;
		out->data = (struct dl_str){ p->data, p->n };
		return true;
	}
	return false;
}

/* Returns when the next datagram is due; INT64_MAX if there is none. */
int64_t fake_link_wakeup(const struct fake_link *link)
{
	if (!link->heap->len)
		return INT64_MAX;
	return ((struct queued_datagram *)g_ptr_array_index(link->heap, 0))
		->due;
}

/* Cuts one direction of a link; repeated cuts have no further effect. */
void fake_link_cut(struct fake_link *link, uint64_t from, uint64_t to)
{
	struct cut c = { from, to };

	g_array_append_val(link->cuts, c);
}

/* Cuts a VM off from all others, in both directions. */
void fake_link_isolate(struct fake_link *link, uint64_t vm)
{
	fake_link_cut(link, vm, DL_VM_NONE);
	fake_link_cut(link, DL_VM_NONE, vm);
}

/* Restores all links. */
void fake_link_heal(struct fake_link *link)
{
	g_array_set_size(link->cuts, 0);
}

/* Reports whether the link from one VM to another is cut. */
bool fake_link_is_cut(const struct fake_link *link, uint64_t from, uint64_t to)
{
	for (guint i = 0; i < link->cuts->len; i++) {
		struct cut c = g_array_index(link->cuts, struct cut, i);

		if ((c.from == DL_VM_NONE || c.from == from) &&
		    (c.to == DL_VM_NONE || c.to == to))
			return true;
	}
	return false;
}

/* Defers deliveries to a VM until the given time; replaces an earlier pause. */
void fake_link_pause(struct fake_link *link, uint64_t vm, int64_t until)
{
	struct pause new = { vm, until };

	for (guint i = 0; i < link->pauses->len; i++) {
		struct pause *p = &g_array_index(link->pauses, struct pause, i);

		if (p->vm == vm) {
			p->until = until;
			return;
		}
	}
	g_array_append_val(link->pauses, new);
}

static int64_t paused_until(const struct fake_link *link, uint64_t vm)
{
	for (guint i = 0; i < link->pauses->len; i++) {
		struct pause p = g_array_index(link->pauses, struct pause, i);

		if (p.vm == vm)
			return p.until;
	}
	return INT64_MIN;
}

/* Reports whether a VM is paused. */
bool fake_link_paused(const struct fake_link *link, uint64_t vm, int64_t now)
{
	return paused_until(link, vm) > now;
}

/* Returns the traffic counted for a VM; a duplicated datagram counts once. */
struct fake_link_count fake_link_sent(const struct fake_link *link, uint64_t vm)
{
	struct fake_link_count *c = g_hash_table_lookup(link->counts, &vm);

	return c ? *c : (struct fake_link_count){ 0 };
}

static bool due_before(const GPtrArray *heap, guint a, guint b)
{
	const struct queued_datagram *x = g_ptr_array_index(heap, a);
	const struct queued_datagram *y = g_ptr_array_index(heap, b);

	return x->due != y->due ? x->due < y->due : x->seq < y->seq;
}

static void swap(GPtrArray *heap, guint a, guint b)
{
	gpointer p = heap->pdata[a];

	heap->pdata[a] = heap->pdata[b];
	heap->pdata[b] = p;
}

static void push(struct fake_link *link, struct queued_datagram *p)
{
	guint i = link->heap->len;

	g_ptr_array_add(link->heap, p);
	while (i && due_before(link->heap, i, (i - 1) / 2)) {
		swap(link->heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct queued_datagram *pop(struct fake_link *link)
{
	GPtrArray *heap = link->heap;
	struct queued_datagram *top = g_ptr_array_index(heap, 0);
	guint i = 0;

	swap(heap, 0, heap->len - 1);
	heap->pdata[heap->len - 1] = NULL; /* the caller owns it now */
	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < heap->len && due_before(heap, child, least))
				least = child;
		}
		if (least == i)
			return top;
		swap(heap, i, least);
		i = least;
	}
}
