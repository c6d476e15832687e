/*
 * Internals of the configuration of an entry, shared by the code that puts
 * versions in force and the code that keeps them and answers pulls.
 */
#ifndef DL_ENTRY_ENTRY_CONF_INT_H
#define DL_ENTRY_ENTRY_CONF_INT_H

#include "entry/entry.h"
#include "state/conf_arrival.h"
#include "state/conf_pace.h"
#include "state/conf_pullers.h"
#include "state/conf_pushed.h"

/*
 * Sizes of inflated texts and deltas. Texts are limited when they are accepted;
 * rewriting them adds a little.
 */
#define CONF_INFLATED_MAX (2 * (size_t)DL_CONF_TEXT_MAX)

/*
 * A parsed version. The application of a delta to it may outlast its time in
 * force; references are counted by the event loop only.
 */
struct conf_parsed {
	uint32_t references;
	uint64_t version;
	struct dl_conf *conf;
	struct dl_conf_sections *sections; /* NULL: not split (yet) */
};

struct conf_parsed *conf_parsed_ref(struct conf_parsed *p);
void conf_parsed_unref(struct conf_parsed *p);

/* Splitting a text, or building a whole body, in a worker thread. */
struct conf_work;

/* The reading of a pushed version. */
struct conf_job {
	uv_work_t work;
	struct entry *e;
	struct dl_conf_received received;
	uint64_t from; /* VM that sent it */
	int64_t arrived_us;
	int64_t started_at;
	uint32_t waited_ms;    /* including versions that it replaced */
	int64_t since_last_ms; /* since the last read; -1: none */
	char *body;	       /* as received */
	size_t body_n;
	char *text; /* inflated text or delta; NULL if that failed */
	size_t text_n;
	struct conf_parsed *base;	  /* of a delta */
	struct dl_conf_delta_work *steps; /* of a large delta, at work */
	struct dl_conf_pace pace;	  /* of the steps */
	int64_t counted_ms;		  /* of the steps, in the counter */
	int64_t cpu_us;			  /* CPU time of the steps */
	uint32_t slices;		  /* steps that it took; 0: at once */
	int rc;				  /* of reading */
	struct dl_conf *conf;
	struct dl_conf_tree *tree;	   /* of a whole text */
	struct dl_conf_sections *sections; /* of a delta */
	struct dl_faults faults;
};

/* What an entry keeps of the version in force. */
struct entry_conf {
	struct conf_parsed *parsed; /* NULL before the first version */
	struct dl_conf_arrivals arrivals;
	struct dl_conf_history history;
	struct dl_conf_tree *tree; /* to be split; NULL: none */
	struct conf_work *split;   /* at work; NULL: none */
	int64_t split_started_at;
	bool exact;    /* body is the text as pushed by a replica */
	char *body;    /* whole, deflated; NULL: not built */
	size_t body_n; /* of the last whole body, also if body is NULL */
	struct conf_work *build;	/* of body, at work; NULL: none */
	struct dl_conf_pullers pullers; /* VMs that wait for it */
	bool ask_whole;	       /* a delta was damaged: pull without digest */
	uint64_t pull_vm;      /* VM to pull from soon; DL_VM_NONE: none */
	uint64_t pull_version; /* that is expected from it */
	uint64_t pulled_from;  /* VM that was asked last */
	uv_timer_t slice_timer;
	struct conf_job *slicing; /* delta applied in slices; NULL: none */
	int64_t slice_max_us;	  /* longest step so far */
	int64_t slice_cpu_max_us; /* longest by CPU time */
};

/* entry_conf.c */
void entry_conf_pump(struct entry *e, int64_t now);
void entry_conf_read(struct entry *e, struct conf_job *job);
void entry_conf_job_free(void *job);

/* entry_conf_slices.c */
void entry_conf_slices_init(struct entry *e);
bool entry_conf_slices_start(struct entry *e, struct conf_job *job);

/* entry_conf_store.c */
void entry_conf_keep_whole(struct entry *e, struct dl_conf_tree *tree,
			   char *body, size_t body_n);
void entry_conf_keep_delta(struct entry *e,
			   const struct dl_conf_delta_head *head,
			   struct dl_str body);
void entry_conf_pulled(struct entry *e, uint64_t from,
		       const struct dl_frame *frame);

#endif
