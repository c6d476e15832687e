/*
 * The replicated log: elections with pre-vote and check-quorum, a leader
 * lease, replication, snapshots, and membership changes one at a time with
 * learners.  Pure: it asks for disk writes and for messages through the
 * output queue, and is told when a write has been synced.
 */
#ifndef DAISYLEDGE_RLOG_H
#define DAISYLEDGE_RLOG_H

#include "daisyledge/base.h"

#endif
