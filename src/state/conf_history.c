/* Past configuration versions that answer pulls; see the header. */
#include "state/conf_history.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

static void free_kept(struct dl_conf_kept *kept)
{
	dl_conf_sections_free(kept->sections);
	free(kept->delta);
}

/* Whether a version would be kept: it is not yet, and is not too old. */
bool dl_conf_versions_wants(const struct dl_conf_versions *v, uint64_t version)
{
	for (uint32_t i = 0; i < v->count; i++) {
		if (v->at[i].id.version == version)
			return false;
	}
	return v->count < DL_CONF_VERSIONS_MAX || version > v->at[0].id.version;
}

/* Adds a version that is wanted; the oldest one goes if there are many. */
void dl_conf_versions_add(struct dl_conf_versions *v, struct dl_conf_id id,
			  struct dl_conf_sections *sections)
{
	uint32_t i;

	if (v->count == DL_CONF_VERSIONS_MAX) {
		free_kept(&v->at[0]);
		v->count--;
		memmove(&v->at[0], &v->at[1], v->count * sizeof(v->at[0]));
	}
	for (i = v->count; i > 0 && v->at[i - 1].id.version > id.version; i--)
		v->at[i] = v->at[i - 1];
	v->at[i] = (struct dl_conf_kept){ .id = id, .sections = sections };
	v->count++;
}

/*
 * Returns the kept version with this number and digest, or NULL. A digest of 0
 * matches none: the VM that sent it does not know its sections.
 */
struct dl_conf_kept *dl_conf_versions_find(struct dl_conf_versions *v,
					   struct dl_conf_id id)
{
	for (uint32_t i = 0; id.digest && i < v->count; i++) {
		if (v->at[i].id.version == id.version &&
		    v->at[i].id.digest == id.digest)
			return &v->at[i];
	}
	return NULL;
}

/* Returns the newest version that is kept, or NULL. */
struct dl_conf_kept *dl_conf_versions_last(struct dl_conf_versions *v)
{
	return v->count ? &v->at[v->count - 1] : NULL;
}

/* Frees the deltas of all kept versions. */
void dl_conf_versions_drop_deltas(struct dl_conf_versions *v)
{
	for (uint32_t i = 0; i < v->count; i++) {
		free(v->at[i].delta);
		v->at[i].delta = NULL;
	}
}

/* Frees all kept versions. */
void dl_conf_versions_clear(struct dl_conf_versions *v)
{
	for (uint32_t i = 0; i < v->count; i++)
		free_kept(&v->at[i]);
	v->count = 0;
}

/*
 * Whether a replica sends a delta of this size instead of the whole body. A
 * large delta replaces most routes and takes as much work as the whole text,
 * but is applied in slices between which streams go on.
 */
bool dl_conf_delta_pays(size_t delta_bytes, size_t whole_bytes)
{
	return whole_bytes > DL_CONF_SMALL_BYTES && delta_bytes < whole_bytes;
}

/*
 * Returns about how large the whole deflated body of a text is, judged by the
 * last one that was built, so that it need not be built to find out whether a
 * delta is smaller. 0 if none was built.
 */
size_t dl_conf_whole_estimate(size_t whole_bytes, size_t whole_text_bytes,
			      size_t text_bytes)
{
	if (!whole_text_bytes)
		return 0;
	return (size_t)((double)whole_bytes * (double)text_bytes /
			(double)whole_text_bytes);
}

static void drop_first(struct dl_conf_history *h)
{
	h->bytes -= h->steps[0].body_n;
	g_free(h->steps[0].body);
	h->count--;
	memmove(&h->steps[0], &h->steps[1], h->count * sizeof(h->steps[0]));
}

/* Frees all deltas. */
void dl_conf_history_clear(struct dl_conf_history *h)
{
	while (h->count)
		drop_first(h);
}

/*
 * Adds an applied delta. The oldest ones are forgotten when there are too many
 * or too large ones; all of them if this delta does not follow the last one.
 */
void dl_conf_history_add(struct dl_conf_history *h,
			 const struct dl_conf_delta_head *head,
			 struct dl_str body)
{
	const struct dl_conf_step *last = h->count ? &h->steps[h->count - 1] :
						     NULL;

	if (body.n > DL_CONF_DELTA_BYTES_MAX ||
	    (last && (last->head.version != head->base_version ||
		      last->head.digest != head->base_digest)))
		dl_conf_history_clear(h);
	if (body.n > DL_CONF_DELTA_BYTES_MAX)
		return;
	while (h->count == DL_CONF_DELTAS_MAX ||
	       h->bytes + body.n > DL_CONF_DELTA_BYTES_MAX)
		drop_first(h);
	h->steps[h->count++] = (struct dl_conf_step){
		.head = *head,
		.body = g_memdup2(body.s, body.n),
		.body_n = body.n,
	};
	h->bytes += body.n;
}

/*
 * Finds the deltas that lead from a version to the newest one. They are sent
 * only if they are together smaller than the whole body; whole_bytes is 0 if
 * its size is not known.
 */
uint32_t dl_conf_history_answer(const struct dl_conf_history *h,
				struct dl_conf_id have, size_t whole_bytes,
				const struct dl_conf_step **steps)
{
	size_t bytes = 0;

	for (uint32_t i = h->count; have.digest && i-- > 0;) {
		bytes += h->steps[i].body_n;
		if (whole_bytes && bytes >= whole_bytes)
			return 0;
		if (h->steps[i].head.base_version == have.version &&
		    h->steps[i].head.base_digest == have.digest) {
			*steps = &h->steps[i];
			return h->count - i;
		}
	}
	return 0;
}
