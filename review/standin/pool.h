#ifndef REVIEW_POOL_H
#define REVIEW_POOL_H

#include "store.h"

#include <stdio.h>

/* Stand-in for the workers of one service, as PROTOCOL.md describes them:
 * leases, fencing tokens, run numbers, lists of runs and ends, checkpoints. */

#define WORKERS_MAX 64
#define SERVICE "svc-a"

/** struct StepModel - how the tasks of a submitted step behave
 * @work_ms: of a task; 0: it lasts until it is stopped
 * @saves: leaves a checkpoint every two seconds
 * @fills: fills beside others
 * @serves: serves its own users; its tail is reported as usage */
typedef struct
{
  char job[40];
  unsigned step;
  int64_t work_ms;
  int cpu;
  bool saves;
  bool fills;
  bool serves;
} StepModel;

/** struct PoolEvents - what the scenario is told; called under the pool's lock
 * @ended: a run has ended; @how as in the lists
 * @stop: a stop of a run that is at work has been taken */
typedef struct
{
  void (*started) (int worker, const char *task, int run);
  void (*ended) (int worker, const char *task, int run, const char *how);
  void (*stop) (int worker, const char *task, int run, bool at_work);
} PoolEvents;

/** struct PoolOptions
 * @tail_ms: tail of a serving task beside tasks that fill, @fills being the sum
 *   of their paces in percent; NULL: 20 */
typedef struct
{
  Store *store;
  int workers;
  int cpu;
  int memory_mb;
  int stop_ms;
  bool tickets; /* a start needs a ticket of the policy service */
  uint64_t seed;
  FILE *record;
  PoolEvents events;
  int (*tail_ms) (int worker, int fills);
} PoolOptions;

/** pool_advisor() - start the policy service; it approves seven workers of ten
 * for a step
 * Return: its address. */
const char *pool_advisor (void);
void pool_start (const PoolOptions *options);
void pool_lock (void);
void pool_unlock (void);
void pool_add_step (const StepModel *model);
/** pool_running() - number of runs whose task name begins so */
int pool_running (const char *prefix);
/** pool_running_at() - the same at one worker */
int pool_running_at (int worker, const char *prefix);
/** pool_untold_ends() - ends listed for longer than @age_ms and not
 * acknowledged, and all ends so far */
int pool_untold_ends (int64_t age_ms, int *all);
/** record() - a line with the time since the start */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

#endif
