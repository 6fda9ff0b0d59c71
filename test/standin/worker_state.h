#ifndef STANDIN_WORKER_STATE_H
#define STANDIN_WORKER_STATE_H

#include "standin/worker_logic.h"
#include "standin/worker_task.h"

/**
 * struct StandinWorker - what a worker knows
 * @epoch: highest claim seen
 * @claimed: a claim stands; false after a release
 * @change: number of the last change of any task
 * @used: sum of the running tasks' sizes
 * @by_id: every task and tombstone
 * @changes: the same, oldest change first
 * @ended: ended with the answer kept, and tombstones; oldest first
 * @gone: ended with the answer kept no more; oldest first
 */
struct StandinWorker
{
  StandinWorkerOptions options;
  char name[MUX_NAME_LEN];
  char owner[MUX_NAME_LEN];
  uint64_t epoch;
  bool claimed;
  int64_t lease_until_ms;
  bool leaving;
  bool fail_all;
  uint64_t change;
  MuxSize used;
  uint32_t running_count;
  StandinTask *by_id;
  StandinTask *changes;
  StandinTask *running;
  StandinTask *ended;
  StandinTask *gone;
};

void standin_worker_tell_task (StandinWorker *worker,
                               const char *name,
                               const char *reason,
                               const StandinTask *task,
                               int64_t now_ms);
void standin_worker_tell_call (StandinWorker *worker,
                               const char *name,
                               const char *reason,
                               const MuxWorkerCall *call,
                               int64_t now_ms);
StandinTask *standin_worker_find (StandinWorker *worker, MuxId id);
/** standin_worker_add() - takes @task over */
void standin_worker_add (StandinWorker *worker, StandinTask *task);
/** standin_worker_end_task() - only of a running task; logs an end, and a stop
 *  before it when that is what ended it */
void standin_worker_end_task (StandinWorker *worker,
                              StandinTask *task,
                              MuxTaskState state,
                              const char *reason,
                              int64_t now_ms);
/** standin_worker_end_due() - end what has run long enough */
void standin_worker_end_due (StandinWorker *worker, int64_t now_ms);

#endif
