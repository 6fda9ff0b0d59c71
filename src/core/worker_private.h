#ifndef CORE_WORKER_PRIVATE_H
#define CORE_WORKER_PRIVATE_H

#include "worker.h"

/* Shared by the list of workers and their claims. */

/* Calls in a row without an answer after which it gets no new work. */
#define UNANSWERED_CALLS_MAX 2

/** worker_update_usable() - tell the scheduler whether it may get work */
void worker_update_usable (MuxCore *core, Worker *worker);
/** worker_claim() - become its owner */
void worker_claim (MuxCore *core, Worker *worker);
/** worker_renew() - keep the claim, and hear what changed */
void worker_renew (MuxCore *core, Worker *worker);
/** worker_give() - give the claim up for the one ranked first */
void worker_release (MuxCore *core, Worker *worker);
/** worker_let_go() - the claim is gone; @life_over: so are its tasks */
void worker_claim_ended (MuxCore *core, Worker *worker, bool life_over);

#endif
