/*
 * The frames between entries and the dispatchers of pools.  Times cross as
 * what is left of them, since the clocks of two VMs share nothing.
 */
#ifndef DL_PROTOCOL_POOL_CODEC_H
#define DL_PROTOCOL_POOL_CODEC_H

#include "daisyledge/pool.h"
#include "protocol/api.h"
#include "protocol/pack.h"

/* Other failure domains that a refused request may try, best first. */
#define DL_SPILL_MAX 4

struct dl_answer_frame {
	struct dl_name service;
	struct dl_answer answer;
	uint32_t spill_count;
	struct dl_name spill[DL_SPILL_MAX];
};

/* Each packer must be closed by the caller. */
struct dl_ask_frame {
	struct dl_name service;
	struct dl_ask ask;
	bool no_spill; /* another pool was tried: do not send it elsewhere */
	bool standby; /* the VM that dispatches does not answer: do it for it */
};

void dl_ask_pack(struct dl_packer *p, const struct dl_ask_frame *f,
		 int64_t now);
int dl_ask_read(struct dl_str body, struct dl_ask_frame *out, int64_t now);

void dl_answer_pack(struct dl_packer *p, const struct dl_answer_frame *f,
		    int64_t now);
int dl_answer_read(struct dl_str body, struct dl_answer_frame *out,
		   int64_t now);

void dl_release_pack(struct dl_packer *p, struct dl_str service, uint64_t grant,
		     const struct dl_usage *usage);
int dl_release_read(struct dl_str body, struct dl_name *service,
		    uint64_t *grant, struct dl_usage *out);

/* Grants renewed by one frame; an entry with more sends more frames. */
#define DL_ID_LIST_MAX 512

/* All grants of a service that an entry renews, or those that are gone. */
void dl_id_list_pack(struct dl_packer *p, struct dl_str service,
		     const uint64_t *numbers, uint32_t count);
int dl_id_list_read(struct dl_str body, struct dl_name *service,
		    uint64_t *numbers, uint32_t *count);

/* What an endpoint named, on its way to the dispatcher. */
struct dl_limit_frame {
	struct dl_name service;
	struct dl_name endpoint;
	uint64_t start; /* number of the start that named it */
	uint32_t limit; /* as dl_pool_set_endpoint_limit() takes it */
};

void dl_limit_pack(struct dl_packer *p, const struct dl_limit_frame *f);
int dl_limit_read(struct dl_str body, struct dl_limit_frame *out);

/* For cancellations: a service and a number. */
void dl_id_pack(struct dl_packer *p, struct dl_str service, uint64_t number);
int dl_id_read(struct dl_str body, struct dl_name *service, uint64_t *number);

/* An announcement on its way to its dispatcher. */
void dl_report_pack(struct dl_packer *p, const struct dl_announcement *a);
int dl_report_read(struct dl_str body, struct dl_announcement *out);

/*
 * Announcements of many endpoints in one body, each as dl_report_pack() made
 * it, deflated.  0 and *out, which the caller frees with free(), or -ENOMEM.
 */
int dl_report_batch_pack(const struct dl_str *words, uint32_t count, char **out,
			 size_t *n);
/*
 * Read them again: take() is called for each.  -EBADMSG where the body is none,
 * which may show after some were taken.
 */
int dl_report_batch_read(struct dl_str body,
			 void (*take)(void *arg, struct dl_str words),
			 void *arg);

void dl_summary_pack(struct dl_packer *p, struct dl_str service,
		     struct dl_str domain, const struct dl_pool_summary *s);
int dl_summary_read(struct dl_str body, struct dl_name *service,
		    struct dl_name *domain, struct dl_pool_summary *out);

void dl_adopt_pack(struct dl_packer *p, struct dl_str service,
		   const struct dl_answer *grant, const struct dl_ask *ask,
		   int64_t now);
int dl_adopt_read(struct dl_str body, struct dl_name *service,
		  struct dl_answer *grant, struct dl_ask *ask, int64_t now);

#endif
