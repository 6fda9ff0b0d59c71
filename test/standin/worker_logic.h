#ifndef STANDIN_WORKER_LOGIC_H
#define STANDIN_WORKER_LOGIC_H

#include "port/worker.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct StandinWorkerEvent - one line of the execution log
 * @event: start, end, refuse, claim, release, forget, stop, checkpoint,
 *   throttle or overcommit_attempt
 * @mono_ms: the worker's clock
 * @task: none for events of the whole worker
 * @class_name: label; "" when none
 * @home: label; "" when none
 * @owner: who asked or holds the claim; "" when none
 * @epoch: of the call that caused it, else the current one
 * @size: booked
 * @state: the task's state after it; NULL when none
 * @reason: why; NULL when none
 * @body: input; NULL when none
 * @answer: NULL when none
 * @ran_ms: run time so far
 */
typedef struct
{
  const char *event;
  int64_t mono_ms;
  MuxId task;
  const char *class_name;
  const char *home;
  const char *owner;
  uint64_t epoch;
  MuxSize size;
  const char *state;
  const char *reason;
  const MuxBlob *body;
  const MuxBlob *answer;
  uint32_t ran_ms;
} StandinWorkerEvent;

/**
 * struct StandinWorkerOptions - construction of a worker without its HTTP
 * @name: its name
 * @incarnation: this life, not 0
 * @capacity: what it holds
 * @grace_ms: tasks outlive a lapsed lease by this
 * @retain_ms: answers and tombstones are kept so long
 * @run_ms: run time of a task whose body names none
 * @usage_lag_ms: usage of a task shows this long after its start
 * @ctx: first argument of the functions below
 * @on_event: receives log lines; may be NULL
 * @on_end: a task is not running any more; may be NULL
 */
typedef struct
{
  const char *name;
  uint64_t incarnation;
  MuxSize capacity;
  uint32_t grace_ms;
  uint32_t retain_ms;
  uint32_t run_ms;
  uint32_t usage_lag_ms;
  void *ctx;
  void (*on_event) (void *ctx, const StandinWorkerEvent *event);
  void (*on_end) (void *ctx, MuxId task);
} StandinWorkerOptions;

/* A simulated worker: no threads, no locks, no clock of its own. */
typedef struct StandinWorker StandinWorker;

/** standin_worker_new() - copies @options but for what @ctx points to */
StandinWorker *standin_worker_new (const StandinWorkerOptions *options);
void standin_worker_free (StandinWorker *worker);

/**
 * standin_worker_call() - do what @call asks, at once; wait_ms is not used
 * @now_ms: the worker's clock, never going back
 * @repeated: START: set when the id had been started before; may be NULL
 * Return: the reply, to be freed; NULL: memory is out.
 */
MuxWorkerReply *standin_worker_call (StandinWorker *worker,
                                     const MuxWorkerCall *call,
                                     int64_t now_ms,
                                     bool *repeated);
/** standin_worker_tick() - end what has run long enough or lost its lease
 * Return: when it is to be called next on the worker's clock. */
int64_t standin_worker_tick (StandinWorker *worker, int64_t now_ms);
/** standin_worker_set_leaving() - leaving workers refuse starts */
void standin_worker_set_leaving (StandinWorker *worker, bool leaving);
/** standin_worker_set_fail_all() - later starts fail within 10 ms */
void standin_worker_set_fail_all (StandinWorker *worker, bool fail_all);

#endif
