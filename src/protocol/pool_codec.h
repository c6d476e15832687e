/*
 * The frames between entries and the dispatchers of pools. Times are sent as
 * the time that remains, since VMs have no common clock.
 */
#ifndef DL_PROTOCOL_POOL_CODEC_H
#define DL_PROTOCOL_POOL_CODEC_H

#include "daisyledge/pool.h"
#include "daisyledge/quarantine.h"
#include "protocol/api.h"
#include "protocol/pack.h"

/* Other failure domains that a refused request may try, the best first. */
#define DL_SPILL_MAX 4

struct dl_answer_frame {
	struct dl_name service;
	struct dl_answer answer;
	uint32_t spill_count;
	struct dl_name spill[DL_SPILL_MAX];
};

/* Every dl_*_pack() initialises its packer; the caller closes it. */
struct dl_ask_frame {
	struct dl_name service;
	struct dl_ask ask;
	bool no_spill; /* another pool was tried; do not redirect it again */
	bool standby;  /* the dispatcher does not answer; act in its place */
	/* Quarantined cause that the request is a probe of; id 0: none. */
	struct dl_cause probed_cause;
	uint64_t retry_credit; /* for the dispatcher's retry budget */
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

/* Asks a dispatcher whether its budget covers a repeat, and adds credit. */
struct dl_retry_request_frame {
	struct dl_name service;
	uint64_t id; /* of the question */
	uint64_t credit;
};

void dl_retry_request_pack(struct dl_packer *p,
			   const struct dl_retry_request_frame *f);
int dl_retry_request_read(struct dl_str body,
			  struct dl_retry_request_frame *out);

struct dl_retry_reply_frame {
	uint64_t id;
	bool allowed;
	uint64_t left; /* credit that the dispatcher has left */
};

void dl_retry_reply_pack(struct dl_packer *p,
			 const struct dl_retry_reply_frame *f);
int dl_retry_reply_read(struct dl_str body, struct dl_retry_reply_frame *out);

/* Ids in one frame; a sender with more splits them over several frames. */
#define DL_ID_LIST_MAX 512

/*
 * Ids of one service: the grants that an entry renews or that the dispatcher
 * does not know; or, with an empty service, keys of announcements.
 */
void dl_id_list_pack(struct dl_packer *p, struct dl_str service,
		     const uint64_t *ids, uint32_t count);
int dl_id_list_read(struct dl_str body, struct dl_name *service, uint64_t *ids,
		    uint32_t *count);

/* An endpoint's request limit, forwarded by the entry to the dispatcher. */
struct dl_limit_frame {
	struct dl_name service;
	struct dl_name endpoint;
	uint64_t start; /* identifies the instance that set the limit */
	uint32_t limit; /* in the unit of dl_pool_set_endpoint_limit() */
};

void dl_limit_pack(struct dl_packer *p, const struct dl_limit_frame *f);
int dl_limit_read(struct dl_str body, struct dl_limit_frame *out);

/* Attempts that an endpoint broke off, from the entry to the dispatcher. */
struct dl_fault_frame {
	struct dl_name service;
	struct dl_name endpoint;
	uint64_t start; /* identifies the instance */
	uint32_t attempts;
};

void dl_fault_pack(struct dl_packer *p, const struct dl_fault_frame *f);
int dl_fault_read(struct dl_str body, struct dl_fault_frame *out);

/* A service and the id of a request or grant, for instance to cancel it. */
void dl_id_pack(struct dl_packer *p, struct dl_str service, uint64_t id);
int dl_id_read(struct dl_str body, struct dl_name *service, uint64_t *id);

/* An announcement, as forwarded to the dispatcher. */
void dl_report_pack(struct dl_packer *p, const struct dl_announcement *a);
int dl_report_read(struct dl_str body, struct dl_announcement *out);

/*
 * A deflated batch of announcements, each encoded by dl_report_pack(). Returns
 * 0 and *out, which the caller frees with free(), or -ENOMEM.
 */
int dl_report_batch_pack(const struct dl_str *reports, uint32_t count,
			 char **out, size_t *n);
/*
 * Calls on_report() for each announcement of a batch. Returns -EBADMSG if the
 * body is malformed, possibly after on_report() was called for some.
 */
int dl_report_batch_read(struct dl_str body,
			 void (*on_report)(void *arg, struct dl_str report),
			 void *arg);

void dl_summary_pack(struct dl_packer *p, struct dl_str service,
		     struct dl_str domain, const struct dl_pool_summary *s);
int dl_summary_read(struct dl_str body, struct dl_name *service,
		    struct dl_name *domain, struct dl_pool_summary *out);

/* A grant that the new dispatcher adopts, with the request it answered. */
struct dl_adopt_frame {
	struct dl_name service;
	struct dl_answer grant;
	struct dl_ask ask; /* its workspace points into the body */
	bool has_progress; /* older releases send no progress */
	struct dl_adoption progress;
};

void dl_adopt_pack(struct dl_packer *p, const struct dl_adopt_frame *f,
		   int64_t now);
int dl_adopt_read(struct dl_str body, struct dl_adopt_frame *out, int64_t now);

#endif
