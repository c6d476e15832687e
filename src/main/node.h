/*
 * What an entry and a replica share: the loop, the peers, membership, logs
 * and signals of one process.
 */
#ifndef DL_MAIN_NODE_H
#define DL_MAIN_NODE_H

#include <uv.h>

#include "daisyledge/directory.h"
#include "daisyledge/memb.h"
#include "protocol/api.h"
#include "protocol/settings.h"
#include "transport/httpd.h"
#include "transport/peers.h"

struct dl_node;

struct dl_node_ops {
	/* A frame that is not the node's own. */
	void (*frame)(void *arg, uint64_t from, const struct dl_frame *frame);
	void (*up)(void *arg, uint64_t vm);
	void (*down)(void *arg, uint64_t vm);
	/* A member changed its state, or what it says of itself. */
	void (*member)(void *arg, const struct dl_member *member);
	/* Every DL_NODE_TICK_MS. */
	void (*tick)(void *arg, int64_t now);
	/* The settings were read again; those that changed are in force. */
	void (*reload)(void *arg);
	/* SIGTERM or SIGINT; again: SIGINT to a process that stops. */
	void (*stop)(void *arg, bool repeated);
};

#define DL_NODE_TICK_MS 20

struct dl_node {
	uv_loop_t *loop;
	struct dl_settings settings;
	uint64_t self;
	uint64_t incarnation;
	struct dl_peers *peers;
	struct dl_memb *memb;
	const struct dl_node_ops *ops;
	void *arg;
	struct dl_httpd *metrics; /* NULL where the settings name none */
	uv_timer_t timer;
	uv_signal_t sigterm, sigint, sigusr1, sighup;
	char *settings_path;
	int64_t settings_mtime; /* the file's own time, in ns */
	int64_t settings_polled_at;
	bool stopping;
};

/* node_metrics.c */
char *dl_node_metrics(void);
int dl_node_metrics_open(struct dl_node *node, struct dl_err *err);

/* node_announce.c */
enum dl_directory_result
dl_node_apply_announcement(struct dl_directory *directory,
			   const struct dl_announcement *a, int64_t now,
			   const struct dl_directory_entry **entry,
			   const struct dl_directory_entry **superseded);
void dl_node_fill_announcement(struct dl_announcement *a,
			       const struct dl_directory_entry *start);

/* The monotonic time of the loop, in milliseconds. */
int64_t dl_node_now(const struct dl_node *node);
int64_t dl_node_wall_ms(void);
/* Milliseconds, those included in which the VM was suspended. */
int64_t dl_node_boot_ms(void);

int dl_node_open(struct dl_node *node, const char *settings_path, bool replica,
		 const struct dl_node_ops *ops, void *arg, struct dl_err *err);
/* Run until dl_node_end(); returns the process's exit status. */
int dl_node_run(struct dl_node *node);
/* Leave the membership and end the loop. */
void dl_node_end(struct dl_node *node, int status);
/* Send what membership has to say now, and tell its events. */
void dl_node_pump(struct dl_node *node);

#endif
