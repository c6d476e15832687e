/*
 * What VMs keep of past configuration versions, and how a pull of a version is
 * answered from it. Load: a configuration of 1,300 routes that changes several
 * times within seconds, on VMs that miss pushes because they are paused,
 * restarted or cut off. Harm: a VM that reads the whole text for a change of a
 * few bytes spends 200 ms of CPU time on it, during which its streams stall.
 */
#ifndef DL_STATE_CONF_HISTORY_H
#define DL_STATE_CONF_HISTORY_H

#include "daisyledge/conf_delta.h"

/*
 * Versions whose sections a replica keeps: one takes about as much memory as
 * its text, 300 kB with 1,300 routes.
 */
#define DL_CONF_VERSIONS_MAX 4
/*
 * Deltas that an entry applied, or a replica pushed, that are kept, and their
 * total size. A change of one route
 * deflates to some hundred bytes; nine versions arrive within 19 s.
 */
#define DL_CONF_DELTAS_MAX	8
#define DL_CONF_DELTA_BYTES_MAX (64u << 10)
/*
 * Largest deflated size of a small body. A whole configuration up to this size
 * has about 30 kB of text, is read within a millisecond, and is always sent
 * whole; a delta up to this size is applied and pushed without a delay.
 */
#define DL_CONF_SMALL_BYTES 4096

/* A version and the digest of its sections; digest 0: unknown. */
struct dl_conf_id {
	uint64_t version;
	uint64_t digest;
};

/* The sections of a version that was pushed. */
struct dl_conf_kept {
	struct dl_conf_id id;
	struct dl_conf_sections *sections;
	char *delta; /* to the newest version, deflated; NULL: not made */
	size_t delta_n;
};

/*
 * What a replica keeps: versions that it pushed last, or that it read from its
 * store, the newest one last.
 */
struct dl_conf_versions {
	struct dl_conf_kept at[DL_CONF_VERSIONS_MAX];
	uint32_t count;
};

bool dl_conf_versions_wants(const struct dl_conf_versions *v, uint64_t version);
/* Takes the reference to the sections; their digest must be set in id. */
void dl_conf_versions_add(struct dl_conf_versions *v, struct dl_conf_id id,
			  struct dl_conf_sections *sections);
/* The kept version with this number and digest, or NULL. */
struct dl_conf_kept *dl_conf_versions_find(struct dl_conf_versions *v,
					   struct dl_conf_id id);
/* The newest version that is kept, or NULL. */
struct dl_conf_kept *dl_conf_versions_last(struct dl_conf_versions *v);
/* Frees the deltas, which no longer lead to the newest version. */
void dl_conf_versions_drop_deltas(struct dl_conf_versions *v);
void dl_conf_versions_clear(struct dl_conf_versions *v);
bool dl_conf_delta_pays(size_t delta_bytes, size_t whole_bytes);
size_t dl_conf_whole_estimate(size_t whole_bytes, size_t whole_text_bytes,
			      size_t text_bytes);

/* A delta that an entry applied, as received, or that a replica pushed. */
struct dl_conf_step {
	struct dl_conf_delta_head head;
	char *body; /* deflated */
	size_t body_n;
};

/*
 * The deltas that led to the version in force of an entry, or to the one that a
 * replica pushed last, oldest first; each leads from the version to which the
 * one before leads.
 */
struct dl_conf_history {
	struct dl_conf_step steps[DL_CONF_DELTAS_MAX];
	uint32_t count;
	size_t bytes;
};

/* Copies the body. Forgets all others if this delta does not follow them. */
void dl_conf_history_add(struct dl_conf_history *h,
			 const struct dl_conf_delta_head *head,
			 struct dl_str body);
void dl_conf_history_clear(struct dl_conf_history *h);
/*
 * The deltas that lead from a version to the newest one: returns their number
 * and *steps, or 0 if the whole body has to be sent.
 */
uint32_t dl_conf_history_answer(const struct dl_conf_history *h,
				struct dl_conf_id have, size_t whole_bytes,
				const struct dl_conf_step **steps);

#endif
