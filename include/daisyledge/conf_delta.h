/*
 * Configuration versions as deltas. Replicas push the configuration as JSON. A
 * configuration of 1,300 routes has 300 kB, and a VM with 0.1 cores needs 200
 * ms to read it, during which its open streams stall, although consecutive
 * versions differ by some tens of bytes. The text is therefore treated as a
 * list of sections: the head, which is the text without its routes, and one
 * section per route. A delta names the sections that two versions have in
 * common and contains the others.
 *
 * The text of a section is what jansson writes with JSON_COMPACT and
 * JSON_ENCODE_ANY, members in their original order. The digest of a section is
 * dl_hash(text, 0); the digest of a version is dl_hash() over the digests of
 * its sections in order, the head first, each as 8 bytes, little endian. It
 * differs from dl_conf_digest(), which is the digest of the text.
 *
 * None of these objects changes once it is built, and reference counts are
 * atomic: a worker thread may apply a delta while the event loop holds, or
 * frees, other references to the same sections and configuration.
 */
#ifndef DAISYLEDGE_CONF_DELTA_H
#define DAISYLEDGE_CONF_DELTA_H

#include "daisyledge/conf.h"

/* Texts and digests of the sections of one version. */
struct dl_conf_sections;

/*
 * Splits the JSON text of a configuration, which need not be a valid one.
 * Returns 0 and *out with one reference, -EINVAL if the text is not a JSON
 * object whose "routes", if any, is a list, or -ENOMEM.
 */
int dl_conf_sections_split(struct dl_str text, struct dl_conf_sections **out);
/*
 * Does what dl_conf_parse() and dl_conf_sections_split() do for the same text,
 * but reads its JSON once, which takes most of the time of a split. Returns 0
 * and both, -EINVAL and all faults, or -ENOMEM.
 */
int dl_conf_sections_parse(struct dl_str text,
			   struct dl_conf_sections **sections,
			   struct dl_conf **conf, struct dl_faults *faults);
/* Takes another reference; returns s. */
struct dl_conf_sections *dl_conf_sections_ref(struct dl_conf_sections *s);
/* Releases a reference; s may be NULL. */
void dl_conf_sections_free(struct dl_conf_sections *s);
uint64_t dl_conf_sections_digest(const struct dl_conf_sections *s);
/*
 * Builds one JSON text of the whole configuration, of one line, the routes as
 * its last member: NUL-terminated, n without the NUL, to be freed with free().
 * Returns 0 or -ENOMEM.
 */
int dl_conf_sections_text(const struct dl_conf_sections *s, char **out,
			  size_t *n);

/* The versions that a delta leads from and to. */
struct dl_conf_delta_head {
	uint64_t base_version;
	uint64_t base_digest;
	uint64_t version;
	uint64_t digest;
};

/*
 * Builds the delta from one version to a newer one: msgpack bytes, to be freed
 * with free(). Returns 0, -EINVAL if next_version is not the higher one, or
 * -ENOMEM.
 */
int dl_conf_delta_make(const struct dl_conf_sections *base,
		       uint64_t base_version,
		       const struct dl_conf_sections *next,
		       uint64_t next_version, char **out, size_t *n);
/* Reads the head of a delta. Returns 0 or -EBADMSG. */
int dl_conf_delta_head(struct dl_str delta, struct dl_conf_delta_head *out);
/*
 * Applies a delta to the version that it leads from. base_conf is the
 * configuration of base; its routes that did not change are shared, not parsed
 * again. *conf equals in every field what dl_conf_parse() returns for the text
 * of *sections. base and base_conf must stay valid until the function returns,
 * but need not outlive it. They may be NULL on a VM that has no version yet:
 * the result is then -ESTALE.
 *
 * Returns 0, *sections with one reference and *conf; -ESTALE if base is another
 * version or has another digest; -EBADMSG if the delta is damaged or its result
 * has another digest than it says; -EINVAL and all faults if the result is not
 * a valid configuration; or -ENOMEM. The outputs are set only with 0. The line
 * of each fault is 1, as dl_conf_sections_text() has one line; the path names
 * the route ("routes[17].timeout_ms"). faults must not be NULL.
 */
int dl_conf_delta_apply(struct dl_str delta, uint64_t base_version,
			const struct dl_conf_sections *base,
			const struct dl_conf *base_conf,
			struct dl_conf_sections **sections,
			struct dl_conf **conf, struct dl_faults *faults);

/*
 * The same in steps, for an event loop that must not stand still while many
 * routes are parsed.
 */
struct dl_conf_delta_work;

/*
 * Begins. The bytes of the delta, base, base_conf and faults must stay valid
 * until dl_conf_delta_end(). Returns 0 and *out, or -ENOMEM.
 */
int dl_conf_delta_begin(struct dl_str delta, uint64_t base_version,
			const struct dl_conf_sections *base,
			const struct dl_conf *base_conf,
			struct dl_faults *faults,
			struct dl_conf_delta_work **out);
/*
 * Carries out a step, which parses at most this many routes (at least one).
 * Returns -EAGAIN until the work is done, then what dl_conf_delta_apply()
 * returns.
 */
int dl_conf_delta_step(struct dl_conf_delta_work *work, uint32_t routes_max);
/* How many routes were parsed so far. */
uint32_t dl_conf_delta_parsed(const struct dl_conf_delta_work *work);
/*
 * Frees the work. Returns what the last step did, with the outputs if that was
 * 0; -ECANCELED, without outputs, if the work is not done. Without pointers to
 * outputs, a result is dropped.
 */
int dl_conf_delta_end(struct dl_conf_delta_work *work,
		      struct dl_conf_sections **sections,
		      struct dl_conf **conf);

#endif
