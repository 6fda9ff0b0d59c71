#ifndef STANDIN_WORKER_STATE_H
#define STANDIN_WORKER_STATE_H

#include "standin/worker_logic.h"
#include "standin/worker_task.h"

/**
 * struct StandinWorker - state of a worker
 * @owner: daemon that holds the claim
 * @epoch: highest epoch of any claim so far
 * @claimed: the claim is held; false after a release
 * @change: number of the last change of any task
 * @used: sum of the running tasks' sizes
 * @by_id: all tasks and tombstones
 * @changes: the same, oldest change first
 * @ended: ended tasks whose result is kept, and tombstones; oldest first
 * @gone: ended tasks whose result is no longer kept; oldest first
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

/** standin_worker_log_task() - logs an event of a task */
void standin_worker_log_task (StandinWorker *worker,
                              const char *name,
                              const char *reason,
                              const StandinTask *task,
                              int64_t now_ms);
/** standin_worker_log_call() - logs an event caused by @call, without a task */
void standin_worker_log_call (StandinWorker *worker,
                              const char *name,
                              const char *reason,
                              const MuxWorkerCall *call,
                              int64_t now_ms);
StandinTask *standin_worker_find (StandinWorker *worker, MuxId id);
/** standin_worker_add() - takes @task over */
void standin_worker_add (StandinWorker *worker, StandinTask *task);
/** standin_worker_end_task() - ends a running task; logs its end, and before it
 * a stop if that is the cause */
void standin_worker_end_task (StandinWorker *worker,
                              StandinTask *task,
                              MuxTaskState state,
                              const char *reason,
                              int64_t now_ms);
/** standin_worker_end_due() - ends the tasks whose run time is over */
void standin_worker_end_due (StandinWorker *worker, int64_t now_ms);

#endif
