/*
 * What an entry keeps of the configuration in force, and its answers to pulls:
 * the last deltas that it applied, or the whole body, which is built on demand
 * if the version was reached by a delta.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/entry_conf_int.h"
#include "protocol/conf_push.h"
#include "protocol/deflate.h"

struct conf_work {
	uv_work_t work;
	struct entry *e;
	uint64_t version;
	struct dl_conf_tree *tree;	   /* to split */
	struct dl_conf_sections *sections; /* to build from, or the result */
	char *body;			   /* result; NULL if it failed */
	size_t body_n;
};

static void start_split(struct entry *e);
static void send_body(struct entry *e, uint64_t to, uint64_t version,
		      struct dl_str body);

/* Takes another reference. */
struct conf_parsed *conf_parsed_ref(struct conf_parsed *p)
{
	p->references++;
	return p;
}

/* Releases a reference; p may be NULL. */
void conf_parsed_unref(struct conf_parsed *p)
{
	if (!p || --p->references)
		return;
	dl_conf_free(p->conf);
	dl_conf_sections_free(p->sections);
	g_free(p);
}

static void split_in_thread(uv_work_t *work)
{
	struct conf_work *w = work->data;

	if (dl_conf_tree_split(w->tree, &w->sections))
		w->sections = NULL;
	dl_conf_tree_free(w->tree);
}

/* Hands the sections to the version that they belong to. */
static void set_sections(struct entry *e, uint64_t version,
			 struct dl_conf_sections *sections)
{
	struct entry_conf *c = e->confs;
	struct dl_conf_id id = { .version = version };

	if (sections)
		id.digest = dl_conf_sections_digest(sections);
	if (c->parsed && c->parsed->version == version && !c->parsed->sections)
		c->parsed->sections = sections;
	else
		dl_conf_sections_free(sections);
	dl_conf_arrivals_split(&c->arrivals, id);
}

/* Applies the deltas that waited for the sections. */
static void on_split(uv_work_t *work, int status)
{
	struct conf_work *w = work->data;
	struct entry *e = w->e;

	e->confs->split = NULL;
	set_sections(e, w->version, w->sections);
	g_free(w);
	start_split(e);
	entry_conf_pump(e, entry_now(e));
}

/*
 * Splits the text of the version in force in a worker thread, after that
 * version came into force, as only the next delta needs the sections.
 */
static void start_split(struct entry *e)
{
	struct entry_conf *c = e->confs;
	struct conf_work *w;

	if (c->split || !c->tree)
		return;
	w = g_new0(struct conf_work, 1);
	w->e = e;
	w->version = e->version;
	w->tree = c->tree;
	c->tree = NULL;
	w->work.data = w;
	if (c->body_n <= DL_CONF_SMALL_BYTES) {
		split_in_thread(&w->work);
		set_sections(e, w->version, w->sections);
		g_free(w);
		return;
	}
	c->split = w;
	c->split_started_at = entry_now(e);
	uv_queue_work(e->node.loop, &w->work, split_in_thread, on_split);
}

static void set_body(struct entry_conf *c, char *body, size_t body_n)
{
	free(c->body);
	c->body = body;
	if (body)
		c->body_n = body_n;
}

/*
 * Keeps a version that was read as a whole and is in force now. Takes the tree
 * and the body, which was allocated with malloc().
 */
void entry_conf_keep_whole(struct entry *e, struct dl_conf_tree *tree,
			   char *body, size_t body_n)
{
	struct entry_conf *c = e->confs;

	dl_conf_history_clear(&c->history);
	set_body(c, body, body_n);
	c->exact = true;
	dl_conf_tree_free(c->tree);
	c->tree = tree;
	start_split(e);
}

/* Keeps a delta that was applied; its result is in force now. */
void entry_conf_keep_delta(struct entry *e,
			   const struct dl_conf_delta_head *head,
			   struct dl_str body)
{
	struct entry_conf *c = e->confs;

	dl_conf_history_add(&c->history, head, body);
	set_body(c, NULL, 0);
	c->exact = false;
	dl_conf_tree_free(c->tree);
	c->tree = NULL;
}

static void send_body(struct entry *e, uint64_t to, uint64_t version,
		      struct dl_str body)
{
	struct dl_packer pk;

	dl_conf_push_pack(&pk, version, body, &to, 1, 0);
	dl_peers_send(e->node.peers, to, DL_FRAME_CONF_PUSH, 0,
		      dl_packer_bytes(&pk));
	dl_packer_close(&pk);
}

static void build_in_thread(uv_work_t *work)
{
	struct conf_work *w = work->data;
	char *text;
	size_t n;

	if (dl_conf_sections_text(w->sections, &text, &n))
		return;
	if (dl_deflate((struct dl_str){ text, n }, &w->body, &w->body_n))
		w->body = NULL;
	free(text);
}

/* Sends the whole body to the VMs that waited, and keeps it while in force. */
static void on_built(uv_work_t *work, int status)
{
	struct conf_work *w = work->data;
	struct entry *e = w->e;
	struct entry_conf *c = e->confs;

	c->build = NULL;
	for (uint32_t i = 0; w->body && i < c->pullers.count; i++)
		send_body(e, c->pullers.vms[i], w->version,
			  (struct dl_str){ w->body, w->body_n });
	c->pullers.count = 0;
	dl_conf_sections_free(w->sections);
	if (w->body && w->version == e->version && !c->body)
		set_body(c, w->body, w->body_n);
	else
		free(w->body);
	g_free(w);
}

/* Starts to build the whole body of the version in force. */
static void start_build(struct entry *e)
{
	struct entry_conf *c = e->confs;
	struct conf_work *w;

	if (c->build || !c->parsed || !c->parsed->sections)
		return;
	w = g_new0(struct conf_work, 1);
	w->e = e;
	w->version = e->version;
	w->sections = dl_conf_sections_ref(c->parsed->sections);
	w->work.data = w;
	c->build = w;
	uv_queue_work(e->node.loop, &w->work, build_in_thread, on_built);
}

/* Sends the whole body to a VM, once it is built. */
static void send_whole(struct entry *e, uint64_t to)
{
	struct entry_conf *c = e->confs;

	if (c->body) {
		send_body(e, to, e->version,
			  (struct dl_str){ c->body, c->body_n });
		return;
	}
	start_build(e);
	if (c->build)
		dl_conf_pullers_add(&c->pullers, to);
}

/* Answers a VM that requests a version newer than its own. */
void entry_conf_pulled(struct entry *e, uint64_t from,
		       const struct dl_frame *frame)
{
	const struct dl_conf_step *steps;
	struct dl_conf_id have;
	uint32_t count;

	if (dl_conf_pull_read(frame->body, &have.version, &have.digest) ||
	    have.version >= e->version)
		return;
	count = dl_conf_history_answer(&e->confs->history, have,
				       e->confs->body_n, &steps);
	for (uint32_t i = 0; i < count; i++) {
		struct dl_packer pk;

		dl_conf_push_pack(&pk, steps[i].head.version,
				  (struct dl_str){ steps[i].body,
						   steps[i].body_n },
				  &from, 1, 0);
		dl_peers_send(e->node.peers, from, DL_FRAME_CONF_DELTA, 0,
			      dl_packer_bytes(&pk));
		dl_packer_close(&pk);
	}
	if (!count)
		send_whole(e, from);
}

/*
 * Returns the text of the version in force, to be freed with free(). If it was
 * reached by a delta, the text is rebuilt from its sections, without the white
 * space of the original.
 */
bool entry_conf_text(const struct entry *e, char **out, size_t *n)
{
	const struct entry_conf *c = e->confs;

	if (c->exact && c->body)
		return dl_inflate((struct dl_str){ c->body, c->body_n },
				  CONF_INFLATED_MAX, out, n) == 0;
	return c->parsed && c->parsed->sections &&
	       dl_conf_sections_text(c->parsed->sections, out, n) == 0;
}

/* Whether the text that this entry has is not the one that was submitted. */
bool entry_conf_text_is_rebuilt(const struct entry *e)
{
	return e->version && !e->confs->exact;
}
