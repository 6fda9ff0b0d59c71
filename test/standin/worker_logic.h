#ifndef STANDIN_WORKER_LOGIC_H
#define STANDIN_WORKER_LOGIC_H

#include "port/worker.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct StandinWorkerEvent - an event of the worker's log
 * @event: start, end, refuse, claim, release, forget, stop, checkpoint,
 *   throttle or overcommit_attempt
 * @mono_ms: time on the worker's clock
 * @task: none for events of the whole worker
 * @class_name: class of the task; "": none
 * @home: daemon that handles the task; "": none
 * @owner: daemon that made the call, or else holds the claim; "": none
 * @epoch: of the call that caused it, else the current one
 * @size: size of the task
 * @state: the task's state after the event; NULL: none
 * @reason: cause; NULL: none
 * @body: input of the task; NULL: none
 * @answer: result of the task; NULL: none
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
 * struct StandinWorkerOptions - options of a worker without HTTP
 * @name: its name
 * @incarnation: its incarnation, not 0
 * @capacity: its capacity
 * @grace_ms: tasks are ended so long after the lease has expired
 * @retain_ms: retention of results and tombstones
 * @run_ms: run time of a task whose body gives none
 * @usage_lag_ms: time from a task's start until its usage is reported
 * @ctx: first argument of the functions below
 * @on_event: called for each event of the log; may be NULL
 * @on_end: called when a task has ended; may be NULL
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

/* A simulated worker, without threads, locks or a clock of its own. */
typedef struct StandinWorker StandinWorker;

/** standin_worker_new() - copies @options, but not what @ctx points to */
StandinWorker *standin_worker_new (const StandinWorkerOptions *options);
void standin_worker_free (StandinWorker *worker);

/**
 * standin_worker_call() - carries @call out at once, ignoring its wait_ms
 * @now_ms: the worker's clock; must not go back
 * @repeated: START: set if the id had been started before; may be NULL
 * Return: the reply, to be freed by the caller; NULL if out of memory.
 */
MuxWorkerReply *standin_worker_call (StandinWorker *worker,
                                     const MuxWorkerCall *call,
                                     int64_t now_ms,
                                     bool *repeated);
/** standin_worker_tick() - ends tasks whose run time is over or whose lease has
 * expired
 * Return: time of the next call, on the worker's clock. */
int64_t standin_worker_tick (StandinWorker *worker, int64_t now_ms);
/** standin_worker_set_leaving() - a leaving worker refuses starts */
void standin_worker_set_leaving (StandinWorker *worker, bool leaving);
/** standin_worker_set_fail_all() - tasks started later fail within 10 ms */
void standin_worker_set_fail_all (StandinWorker *worker, bool fail_all);

#endif
