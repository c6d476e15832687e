/*
 * Common base of the entry and replica processes: event loop, peer connections,
 * membership, log, settings, metrics and signals.
 */
#ifndef DL_NODE_NODE_H
#define DL_NODE_NODE_H

#include <uv.h>

#include "daisyledge/directory.h"
#include "daisyledge/memb.h"
#include "protocol/api.h"
#include "protocol/settings.h"
#include "transport/httpd.h"
#include "transport/peers.h"

struct dl_node;

struct dl_node_ops {
	/* A frame of any kind other than DL_FRAME_MEMBERSHIP. */
	void (*frame)(void *arg, uint64_t from, const struct dl_frame *frame);
	void (*up)(void *arg, uint64_t vm);
	void (*down)(void *arg, uint64_t vm);
	/* A member's state, or the data it publishes, changed. */
	void (*member)(void *arg, const struct dl_member *member);
	/* Every DL_NODE_TICK_MS. */
	void (*tick)(void *arg, int64_t now);
	/* The settings were reloaded and are in force. */
	void (*reload)(void *arg);
	/* SIGTERM or SIGINT; repeated: SIGINT while already stopping. */
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
	uint64_t members_ignored; /* as counted and logged, see
				     dl_memb_ignored() */
	uint64_t memb_dropped;	  /* datagrams, as counted */
	const struct dl_node_ops *ops;
	void *arg;
	struct dl_httpd *metrics; /* NULL if not configured */
	uv_timer_t timer;
	int64_t ticked_at;  /* 0: not yet */
	bool tick_left_out; /* the last one */
	uv_signal_t sigterm, sigint, sigusr1, sighup;
	char *settings_path;
	int64_t settings_mtime; /* modification time in ns */
	int64_t settings_polled_at;
	bool settings_unread; /* the file could not be read the last time */
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
void dl_node_date_announcement(const struct dl_directory *directory,
			       struct dl_announcement *a);

/* Joins a JSON list of strings with commas; to be freed with g_free(). */
char *dl_node_join_names(const json_t *list);

/* The event loop's monotonic time in milliseconds. */
int64_t dl_node_now(const struct dl_node *node);
int64_t dl_node_wall_ms(void);
/* Milliseconds since boot, including time in which the VM was suspended. */
int64_t dl_node_boot_ms(void);

int dl_node_open(struct dl_node *node, const char *settings_path, bool replica,
		 const struct dl_node_ops *ops, void *arg, struct dl_err *err);
/* Runs until dl_node_end(); returns the process's exit status. */
int dl_node_run(struct dl_node *node);
/* Announces that the process leaves and stops the event loop. */
void dl_node_end(struct dl_node *node, int status);
/* Sends pending membership datagrams and delivers membership events. */
void dl_node_pump(struct dl_node *node);

#endif
