/*
 * Internals of the sections of a configuration, shared with the deltas that
 * lead from one list of sections to another.
 */
#ifndef DL_STATE_CONF_SECTIONS_H
#define DL_STATE_CONF_SECTIONS_H

#include <jansson.h>

#include "daisyledge/conf_delta.h"

/* The text of a section, shared by all versions that contain it. */
struct conf_section {
	int references; /* atomic */
	uint64_t digest;
	size_t n;
	char text[];
};

struct dl_conf_sections {
	int references; /* atomic */
	uint64_t digest;
	size_t text_n; /* length of the text of the whole configuration */
	struct conf_section *head;
	uint32_t routes_count;
	struct conf_section *routes[];
};

/* Returns a section with one reference, or NULL without memory. */
struct conf_section *conf_section_new(struct dl_str text);
struct conf_section *conf_section_ref(struct conf_section *section);
/* Releases a reference; section may be NULL. */
void conf_section_free(struct conf_section *section);
struct dl_str conf_section_str(const struct conf_section *section);

/*
 * Returns sections with one reference, without a head and with room for this
 * number of routes, or NULL without memory. The caller fills them in, and
 * calls conf_sections_finish().
 */
struct dl_conf_sections *conf_sections_new(size_t routes);
/*
 * Computes the digest and the length of the text once all sections are set.
 * Returns 0 or -ENOMEM.
 */
int conf_sections_finish(struct dl_conf_sections *s);
/*
 * Splits a JSON object, from which the routes are removed. Results as of
 * dl_conf_sections_split(); *out is set only with 0.
 */
int conf_sections_split_json(json_t *root, struct dl_conf_sections **out);
/*
 * Computes what dl_conf_digest() returns for the text of the whole
 * configuration, without building that text. Returns 0 or -ENOMEM.
 */
int conf_sections_text_digest(const struct dl_conf_sections *s, uint64_t *out);

#endif
