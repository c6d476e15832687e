/*
 * What becomes of a grant request that two VMs may have, for each order of
 * their answers and failures.  No I/O and no clock.
 *
 * The first VM dispatches.  The second one is asked as well when the first is
 * late.  One grant is used; what the other VM has granted or queued must be
 * given back.
 */
#ifndef DL_COORDINATION_HEDGE_H
#define DL_COORDINATION_HEDGE_H

#include "daisyledge/base.h"

/* What is known of the request at a VM. */
enum dl_hedge_place {
	DL_HEDGE_NONE, /* not asked, or it has answered finally */
	DL_HEDGE_ASKED,
	DL_HEDGE_QUEUED,
};

enum dl_hedge_vm {
	DL_HEDGE_FIRST, /* the VM that dispatches, or that holds the grant */
	/* The VM that was asked as well.  For DL_HEDGE_OWNER: the one that had
	 * not answered when the second VM's grant was used. */
	DL_HEDGE_SECOND,
	DL_HEDGE_OTHER,
};

enum dl_hedge_kind {
	DL_HEDGE_ASK,	     /* the request is sent to the first VM */
	DL_HEDGE_ASK_SECOND, /* and to the second */
	DL_HEDGE_GRANT,	     /* vm grants it */
	DL_HEDGE_QUEUE,	     /* vm has queued it */
	DL_HEDGE_REFUSAL,    /* vm refuses it */
	DL_HEDGE_LOST,	     /* the connection to vm is lost */
	DL_HEDGE_MOVED,	     /* the first VM does not dispatch any more */
	DL_HEDGE_OWNER,	     /* vm dispatches while a grant is held */
	DL_HEDGE_RELEASED,   /* the grant was released, and not the request */
	DL_HEDGE_RESTART,    /* the request is about to be asked anew */
	DL_HEDGE_END,	     /* the request has ended */
	DL_HEDGE_KIND_COUNT
};

struct dl_hedge_event {
	enum dl_hedge_kind kind;
	enum dl_hedge_vm vm;
	/* LOST, MOVED: the second VM dispatches now. */
	bool second_dispatches;
	/* OWNER: that VM has an overdue request. */
	bool overdue;
};

/* What is to be done; in this order where there are several. */
enum dl_hedge_action {
	DL_HEDGE_CANCEL_FIRST = 1 << 0,
	DL_HEDGE_CANCEL_SECOND = 1 << 1,
	DL_HEDGE_PROMOTE = 1 << 2, /* the second VM becomes the first */
	DL_HEDGE_USE = 1 << 3,	   /* the grant that has arrived */
	DL_HEDGE_DROP = 1 << 4,	   /* the answer; a grant is released */
	DL_HEDGE_WAIT = 1 << 5,	   /* in the queue of the first VM */
	DL_HEDGE_REFUSED = 1 << 6, /* the refusal that has arrived decides */
	DL_HEDGE_ASK_LATER = 1 << 7,
	DL_HEDGE_ASK_ANEW = 1 << 8,
	DL_HEDGE_RELEASE_OLD = 1 << 9, /* at the VM that holds the grant */
	DL_HEDGE_MOVE = 1 << 10, /* the grant, to the VM that dispatches */
};

/* Zero-initialised by the owner. */
struct dl_hedge {
	enum dl_hedge_place first, second;
	bool tried;   /* a second VM was asked; one at most for each request */
	bool granted; /* and the grant is held */
	/* The second VM's grant was used before the first one answered. */
	bool unanswered;
};

/* Returns the actions for an event, a set of enum dl_hedge_action. */
uint32_t dl_hedge_step(struct dl_hedge *h, const struct dl_hedge_event *ev);

#endif
