#ifndef CORE_WORKER_PRIVATE_H
#define CORE_WORKER_PRIVATE_H

#include "worker.h"

/* Shared by worker.c and worker_claim.c. */

/* Consecutive unanswered calls after which a worker gets no new work. */
#define UNANSWERED_CALLS_MAX 2

/** worker_update_usable() - update whether the worker may get new work, here
 * and in the scheduler */
void worker_update_usable (MuxCore *core, Worker *worker);
/** worker_claim() - send a claim with the next epoch */
void worker_claim (MuxCore *core, Worker *worker);
/** worker_renew() - renew the lease and fetch the changes of its tasks */
void worker_renew (MuxCore *core, Worker *worker);
/** worker_release() - release the claim in favour of the member ranked first,
 * once no granted start is outstanding */
void worker_release (MuxCore *core, Worker *worker);
/** worker_claim_ended() - drop the state of a claim that was lost or released
 * @incarnation_over: the worker's tasks are lost too */
void worker_claim_ended (MuxCore *core, Worker *worker, bool incarnation_over);

#endif
