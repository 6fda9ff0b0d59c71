#ifndef CORE_OWNER_H
#define CORE_OWNER_H

#include "core_private.h"

/* The owner's side of grants: requests of homes are queued in the scheduler,
 * placed on workers and kept as bookings until the task has ended or the grant
 * has expired unused. */

/* A grant request that waits for room, or the booking that it led to. */
struct Grant
{
  MuxId task;
  MuxPeerMsg request;            /* of the home; its body is always NULL */
  bool placed;                   /* booked; false: waits in the scheduler */
  bool started;                  /* the worker reported the task */
  uint32_t send_count;           /* of the grant to the home */
  uint32_t checks_since_request; /* while not placed */
  Worker *worker;                /* NULL: not placed */
  uint64_t epoch;                /* of the claim that it was granted under */
  int64_t not_after_ms;          /* latest start, on the worker's clock */
  MuxSize size;
  Grant *prev; /* list of the same worker */
  Grant *next;
  UT_hash_handle hh;
};

/** owner_request() - handle a grant request of a home, which may be this
 * daemon */
void owner_request (MuxCore *core, const MuxPeerMsg *request);
/** owner_cancel() - handle a home's cancellation of a grant request */
void owner_cancel (MuxCore *core, const MuxPeerMsg *msg);
/** owner_task_ended() - free the booking of a task whose home reports its
 * end */
void owner_task_ended (MuxCore *core, const MuxPeerMsg *msg);
/** owner_process_placements() - carry out the scheduler's decisions: send
 * grants and refusals */
void owner_process_placements (MuxCore *core);
/** owner_worker_report() - apply a worker's list of running and ended tasks,
 * which is complete or holds the changes since the last one */
void owner_worker_report (MuxCore *core,
                          Worker *worker,
                          const MuxWorkerReply *reply);
/** owner_worker_lost() - drop the bookings of a worker whose claim was lost
 * @incarnation_over: its tasks are lost too; reports this to their homes */
void owner_worker_lost (MuxCore *core, Worker *worker, bool incarnation_over);
/** owner_refuse_all() - refuse all requests that are not placed */
void owner_refuse_all (MuxCore *core, MuxReason reason);
/** owner_refuse() - refuse the request for @task, unless it is unknown or
 * placed */
void owner_refuse (MuxCore *core, MuxId task, MuxReason reason);
/** owner_home_lost() - drop requests of @home's incarnations up to
 * @incarnation that are not placed */
void owner_home_lost (MuxCore *core, const char *home, uint64_t incarnation);
/** owner_schedule_recheck() - after the loss of a worker, have
 * owner_recheck() look for requests that no longer fit */
void owner_schedule_recheck (MuxCore *core);
/** owner_recheck() - when due, refuse requests that no usable worker could
 * hold and those that their home no longer repeats */
void owner_recheck (MuxCore *core);
void owner_free (MuxCore *core);

#endif
