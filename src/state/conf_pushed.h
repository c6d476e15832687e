/*
 * The configuration as replicas push it to entries, and as entries read it. Its
 * JSON is read once, which takes two thirds of the time of a split.
 */
#ifndef DL_STATE_CONF_PUSHED_H
#define DL_STATE_CONF_PUSHED_H

#include "daisyledge/conf_delta.h"

/*
 * Splits the native text of a configuration into the sections that entries get.
 * They lack "source", the text as the operators wrote it, which is only needed
 * to answer reads; *had_source tells whether there was one. Results as of
 * dl_conf_sections_split().
 */
int dl_conf_pushed_split(struct dl_str text, struct dl_conf_sections **out,
			 bool *had_source);

/* The JSON of a text that was parsed, to be split later. */
struct dl_conf_tree;

/*
 * Does what dl_conf_parse() does, and returns the tree as well with 0. Unlike
 * dl_conf_sections_parse() it lets the configuration come into force before it
 * is split, which only the next delta needs.
 */
int dl_conf_tree_parse(struct dl_str text, struct dl_conf **conf,
		       struct dl_conf_tree **tree, struct dl_faults *faults);
/* Splits a tree, once. Results as of dl_conf_sections_split(). */
int dl_conf_tree_split(struct dl_conf_tree *tree,
		       struct dl_conf_sections **out);
/* Frees a tree, which may be NULL. */
void dl_conf_tree_free(struct dl_conf_tree *tree);

#endif
