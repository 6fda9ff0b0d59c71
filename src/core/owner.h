#ifndef CORE_OWNER_H
#define CORE_OWNER_H

#include "core_private.h"

/* Room on one of this daemon's workers that was asked for or is booked. */
struct Grant
{
  MuxId task;
  MuxPeerMsg request;  /* what was asked; its body is always NULL */
  bool placed;         /* booked; otherwise it waits in the scheduler */
  bool started;        /* the worker listed it as started */
  uint32_t send_count; /* times that the home was told */
  uint32_t
      checks_since_request; /* looks since the home asked last, not placed */
  Worker *worker;           /* where, once placed */
  uint64_t epoch;           /* claim under which it was granted */
  int64_t not_after_ms;     /* last moment of its start, worker's clock */
  MuxSize size;
  Grant *prev; /* on the same worker */
  Grant *next;
  UT_hash_handle hh;
};

/** owner_ask() - a home, maybe this daemon, wants room */
void owner_request (MuxCore *core, const MuxPeerMsg *ask);
/** owner_cancel() - a home no longer wants it */
void owner_cancel (MuxCore *core, const MuxPeerMsg *msg);
/** owner_end() - a home says how it ended */
void owner_task_ended (MuxCore *core, const MuxPeerMsg *msg);
/** owner_pump() - take and hand out the scheduler's decisions */
void owner_process_placements (MuxCore *core);
/** owner_report() - the worker's list, of all running or of changes */
void owner_worker_report (MuxCore *core,
                          Worker *worker,
                          const MuxWorkerReply *reply);
/** owner_drop() - the claim on @worker is gone: forget what was booked there
 * @life_over: the worker's tasks are gone too, which the homes are told */
void owner_worker_lost (MuxCore *core, Worker *worker, bool life_over);
/** owner_refuse_all() - stopping: send the waiting ones elsewhere */
void owner_refuse_all (MuxCore *core, MuxReason reason);
/** owner_send_back() - refuse an ask that is not placed, if it is known */
void owner_refuse (MuxCore *core, MuxId task, MuxReason reason);
/** owner_home_lost() - asks of lives of @home up to @incarnation are void */
void owner_home_lost (MuxCore *core, const char *home, uint64_t incarnation);
/** owner_recheck_later() - a worker was lost: see what can't be placed now */
void owner_schedule_recheck (MuxCore *core);
/** owner_recheck() - send back what no usable worker could hold and what its
 * home does not repeat, if due */
void owner_recheck (MuxCore *core);
void owner_free (MuxCore *core);

#endif
