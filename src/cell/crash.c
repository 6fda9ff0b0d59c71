#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Runs that were lost with their workers, counted by task.
 *
 * Guards against a task that takes down each worker that starts it, and with it
 * all that runs there, for as long as the cell runs: a run that is lost has no
 * end that a worker could tell, so that no attempt is counted for it.
 *
 * A worker has crashed under a run that it told of, if it ended without having
 * said that it leaves.  One that is merely out of reach may be cut off and run
 * on: that says nothing against the task until it is heard again, or for so
 * long not that it is taken for gone.
 */

/* A task is given up when so many workers have crashed under it: two can be
 * chance while many workers start again; */
#define CRASHES_MAX 3
/* or two, and so many have ended that may have run it. */
#define CRASHES_SURE 2
#define LOSSES_MAX 5
/* One less, and the next start waits for so long, in ms; behind them each one
 * for so much longer. */
#define PAUSE_MS 20000
#define LONG_PAUSE_MS 300000
/* A worker that is not heard for so long, in ms, is gone.  Whether a start that
 * it did not answer began there is not asked any longer. */
#define GONE_MS 30000
/* What is meant to last, and ran for so long, in ms, did not crash it. */
#define LASTED_MS 60000
/* Between two looks at what time alone decides. */
#define LOOK_MS 500
/* Tasks named in the line of a crash. */
#define NAMED_MAX 8
#define NAME_LEN 80

static void
count_loss (CellLosses *losses, const CellLoss *loss, int64_t now_wall_ms)
{
  bool is_old = now_wall_ms - loss->at_wall_ms > GONE_MS;

  if (loss->open)
    return;
  if (!loss->ended && !is_old)
    {
      losses->unreachable++;
      losses->unreachable_recorded += loss->recorded;
    }
  else if (loss->began)
    losses->crashed++;
  else if (loss->recorded || !is_old)
    losses->untold++;
}

CellLosses
cell_task_losses (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = { 0 };

  for (uint32_t i = 0; i < task->loss_count; i++)
    count_loss (&losses, &task->loss[i], cell->time.wall_ms);
  return losses;
}

static bool
is_given_up (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = cell_task_losses (cell, task);

  return losses.crashed >= CRASHES_MAX
         || (losses.crashed >= CRASHES_SURE
             && losses.crashed + losses.untold >= LOSSES_MAX);
}

static int64_t
last_lost_ms (const CellTask *task)
{
  int64_t last = 0;

  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].at_wall_ms > last)
      last = task->loss[i].at_wall_ms;
  return last;
}

bool
cell_losses_allow (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = cell_task_losses (cell, task);
  uint32_t all = losses.crashed + losses.untold + losses.unreachable;
  int64_t since_ms = cell->time.wall_ms - last_lost_ms (task);

  if (is_given_up (cell, task))
    return false;
  if (all >= LOSSES_MAX)
    return since_ms > LONG_PAUSE_MS;
  return all < LOSSES_MAX - 1 || since_ms > PAUSE_MS;
}

static void
task_name (const CellTask *task, char name[NAME_LEN])
{
  snprintf (name, NAME_LEN, "%s.%u.%u.%u", task->stage->job->id,
            task->stage->occurrence, task->stage->step, task->index);
}

static void
give_up (MuxCell *cell, const CellTask *task)
{
  CellJob *job = task->stage->job;

  if (job->failed || job->ended)
    return;
  for (uint32_t i = 0; i < task->loss_count; i++)
    {
      const CellLoss *loss = &task->loss[i];

      cell_log (cell, "worker_crashed_under",
                "{s:s, s:i, s:i, s:i, s:s, s:s, s:I}", "job", job->id, "step",
                (int) task->stage->step, "task", (int) task->index, "run",
                (int) loss->run, "worker", loss->worker, "addr", loss->addr,
                "lost_wall_ms", (json_int_t) loss->at_wall_ms);
    }
  mux_count (cell->options.counters, MUX_COUNT_JOBS_CRASHING, 1);
  cell_job_fail (cell, job, "crashes_workers");
}

/* What is known of the task's losses is to be stored, and may be enough. */
static void
changed (MuxCell *cell, CellTask *task)
{
  task->stage->loss_changes++;
  cell_job_dirty (cell, task->stage->job);
  if (is_given_up (cell, task))
    give_up (cell, task);
}

static void
drop (CellTask *task, uint32_t i)
{
  task->loss[i] = task->loss[--task->loss_count];
  task->stage->job->loss_count--;
}

/* Return: whether there was one. */
static bool
drop_open (CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].open && !task->loss[i].recorded)
      {
        drop (task, i);
        return true;
      }
  return false;
}

CellLoss *
cell_loss_add (CellTask *task)
{
  CellLoss *list = task->loss;

  if (task->loss_count == CELL_LOSSES_MAX)
    drop (task, 0);
  else
    list = realloc (list, (task->loss_count + 1) * sizeof *list);
  if (list == NULL)
    return NULL;
  task->loss = list;
  task->stage->job->loss_count++;
  list[task->loss_count] = (CellLoss){ .run = 0 };
  return &list[task->loss_count++];
}

static CellLoss *
add (MuxCell *cell,
     CellTask *task,
     const char *worker,
     const char *addr,
     CellLoss what)
{
  CellLoss *loss = cell_loss_add (task);

  if (loss == NULL)
    return NULL;
  cell_losses_note (cell, task->stage->job);
  *loss = what;
  loss->at_wall_ms = cell->time.wall_ms;
  snprintf (loss->worker, sizeof loss->worker, "%s", worker);
  snprintf (loss->addr, sizeof loss->addr, "%s", addr);
  return loss;
}

static void
tell_loss (MuxCell *cell, const CellTask *task, const CellLoss *loss)
{
  CellLosses losses = cell_task_losses (cell, task);

  cell_log (cell, "run_lost",
            "{s:s, s:i, s:i, s:i, s:s, s:b, s:b, s:i, s:i, s:i}", "job",
            task->stage->job->id, "step", (int) task->stage->step, "task",
            (int) task->index, "run", (int) loss->run, "worker", loss->worker,
            "worker_ended", (int) loss->ended, "began", (int) loss->began,
            "crashed", (int) losses.crashed, "untold", (int) losses.untold,
            "unreachable", (int) losses.unreachable);
}

static void
lose (MuxCell *cell,
      CellTask *task,
      const char *worker,
      const char *addr,
      CellLoss what)
{
  const CellLoss *loss = add (cell, task, worker, addr, what);

  if (loss == NULL)
    return;
  tell_loss (cell, task, loss);
  changed (cell, task);
}

static bool
loss_counts (const CellBooking *booking)
{
  const CellTask *task = booking->task;
  const CellJob *job = task->stage->job;

  return !booking->worker->info.draining && task->state != CELL_TASK_DONE
         && !job->cancelled && !job->failed;
}

static void
lose_run (MuxCell *cell, CellBooking *booking)
{
  CellTask *task = booking->task;
  CellWorker *worker = booking->worker;
  CellLoss loss = { .run = booking->run,
                    .began = booking->began,
                    .ended = worker->lost_life };
  bool lasted = task->stage->spec->long_running
                && cell->time.now_ms - booking->since_ms >= LASTED_MS;
  bool counts = loss_counts (booking);

  cell_unbook (cell, booking);
  cell_run_ended (cell, task, worker, loss.run, MUX_RUN_LAPSED, "");
  (void) drop_open (task);
  while (lasted && task->loss_count > 0)
    drop (task, 0);
  if (counts && !lasted)
    lose (cell, task, worker->info.id, worker->info.addr, loss);
}

void
cell_lose_settled (MuxCell *cell, CellBooking *booking)
{
  CellTask *task = booking->task;
  CellWorker *worker = booking->worker;
  CellLoss loss
      = { .run = booking->run, .began = booking->began, .ended = true };
  bool counts = loss_counts (booking);
  char former[MUX_NAME_LEN];

  snprintf (former, sizeof former, "%s", booking->former);
  cell_unbook (cell, booking);
  cell_run_ended (cell, task, worker, loss.run, MUX_RUN_LAPSED, "");
  (void) drop_open (task);
  if (counts)
    lose (cell, task, former, worker->info.addr, loss);
}

static void
tell_crash (MuxCell *cell, const CellWorker *worker)
{
  json_t *names = json_array ();
  const CellBooking *booking;
  uint32_t runs = 0;

  DL_FOREACH (worker->bookings, booking)
  {
    char name[NAME_LEN];

    task_name (booking->task, name);
    if (runs++ < NAMED_MAX)
      (void) json_array_append_new (names, json_string (name));
  }
  mux_count (cell->options.counters, MUX_COUNT_WORKERS_CRASHED, 1);
  cell_log (cell, "worker_crashed", "{s:s, s:s, s:i, s:o}", "worker",
            worker->info.id, "addr", worker->info.addr, "runs", (int) runs,
            "tasks", names);
}

void
cell_lose_runs (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;
  CellBooking *next;

  if (worker->lost_life && !worker->info.draining)
    tell_crash (cell, worker);
  DL_FOREACH_SAFE (worker->bookings, booking, next)
  lose_run (cell, booking);
}

/*
 * Guards against a crash that is lost with its planner: a suspect starts only
 * where the store says that it may, so that a next planner knows whose end to
 * count.
 */
bool
cell_start_is_recorded (MuxCell *cell, CellTask *task, const CellWorker *worker)
{
  CellLoss open = { .open = true };

  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].open
        && strcmp (task->loss[i].worker, worker->info.id) == 0)
      return true;
  (void) drop_open (task);
  if (add (cell, task, worker->info.id, worker->info.addr, open) == NULL)
    return false;
  changed (cell, task);
  if (task->stage->job->spec->queue.priority == 0)
    cell->part[task->stage->job->part].hurry = true;
  return false;
}

void
cell_loss_run_began (MuxCell *cell, CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].open && !task->loss[i].began)
      {
        task->loss[i].began = true;
        changed (cell, task);
      }
}

void
cell_loss_run_ended (MuxCell *cell, CellTask *task)
{
  if (task->loss_count > 0 && drop_open (task))
    changed (cell, task);
}

typedef bool (*TakeLoss) (CellTask *task, uint32_t i, const CellWorker *worker);

/* Of all losses that are known; @take says whether it changed one. */
static void
for_losses (MuxCell *cell, const CellWorker *worker, TakeLoss take)
{
  CellJob *job;
  CellJob *next;

  mux_count (cell->options.counters, MUX_COUNT_JOB_LOOKS, cell->losing_count);
  DL_FOREACH_SAFE2 (cell->losing, job, next, losing_next)
  for (uint32_t i = 0; i < job->stage_count && job->loss_count > 0; i++)
    for (uint32_t j = 0; j < job->stage[i]->spec->count; j++)
      {
        CellTask *task = &job->stage[i]->task[j];
        bool taken = false;

        for (uint32_t k = task->loss_count; k > 0; k--)
          taken = take (task, k - 1, worker) || taken;
        if (taken)
          changed (cell, task);
      }
}

static bool
is_booked_at (const CellTask *task, const CellWorker *worker)
{
  return task->booking != NULL && task->booking->worker == worker;
}

static bool
take_end_of_life (CellTask *task, uint32_t i)
{
  CellLoss *loss = &task->loss[i];

  if (loss->ended || (loss->open && !loss->recorded))
    return false;
  loss->open = false;
  loss->ended = true;
  return true;
}

static bool
take_heard (CellTask *task, uint32_t i, const CellWorker *worker)
{
  CellLoss *loss = &task->loss[i];

  if (strcmp (loss->worker, worker->info.id) != 0)
    return strcmp (loss->addr, worker->info.addr) == 0
           && take_end_of_life (task, i);
  if (loss->open && is_booked_at (task, worker))
    loss->recorded = false;
  else if (loss->recorded || !loss->open)
    drop (task, i);
  return true;
}

static bool
take_ended (CellTask *task, uint32_t i, const CellWorker *worker)
{
  return strcmp (task->loss[i].worker, worker->info.id) == 0
         && take_end_of_life (task, i);
}

static bool
take_unreachable (CellTask *task, uint32_t i, const CellWorker *worker)
{
  CellLoss *loss = &task->loss[i];

  if (!loss->open || !loss->recorded
      || strcmp (loss->worker, worker->info.id) != 0)
    return false;
  loss->open = false;
  return true;
}

void
cell_losses_heard (MuxCell *cell, const CellWorker *worker)
{
  for_losses (cell, worker, take_heard);
}

/*
 * Guards against a first crash that is lost with its planner.  The successor
 * hears nothing of a worker that was approved for the step, or finds another
 * life at its address, and can't tell which of the step's tasks had been
 * started there.  A task that is suspected already has a record of its start.
 */
static void
lose_former_runs (MuxCell *cell, CellStage *stage, const CellWorker *worker)
{
  CellLoss loss = { .ended = worker->lost_life, .recorded = true };

  stage->former_lost = true;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (stage->task[i].state == CELL_TASK_WAITING
        && stage->task[i].booking == NULL && stage->task[i].loss_count == 0)
      lose (cell, &stage->task[i], worker->info.id, worker->info.addr, loss);
}

static void
lose_runs_of_former (MuxCell *cell, const CellWorker *worker)
{
  CellJob *job;
  CellJob *next;

  HASH_ITER (hh, cell->jobs, job, next)
  for (uint32_t i = 0; i < job->stage_count && job->old; i++)
    {
      CellStage *stage = job->stage[i];

      if (stage->ready && !stage->former_lost
          && (!job->spec->queue.approval.needed
              || cell_is_recorded (stage, worker)))
        lose_former_runs (cell, stage, worker);
    }
}

void
cell_losses_of_dead (MuxCell *cell, const CellWorker *worker)
{
  for_losses (cell, worker, worker->lost_life ? take_ended : take_unreachable);
  if (!worker->heard && !worker->info.draining)
    lose_runs_of_former (cell, worker);
}

static void
look_at (MuxCell *cell, const CellJob *job)
{
  for (uint32_t i = 0; i < job->stage_count; i++)
    for (uint32_t j = 0; j < job->stage[i]->spec->count; j++)
      if (job->stage[i]->task[j].loss_count > 0
          && is_given_up (cell, &job->stage[i]->task[j]))
        give_up (cell, &job->stage[i]->task[j]);
}

void
cell_losses_tick (MuxCell *cell)
{
  CellJob *job;
  CellJob *next;

  if (cell->time.now_ms < cell->next_loss_look_ms)
    return;
  cell->next_loss_look_ms = cell->time.now_ms + LOOK_MS;
  mux_count (cell->options.counters, MUX_COUNT_JOB_LOOKS, cell->losing_count);
  DL_FOREACH_SAFE2 (cell->losing, job, next, losing_next)
  if (job->loss_count == 0)
    cell_losses_forget (cell, job);
  else if (!job->failed && !job->ended)
    look_at (cell, job);
}

void
cell_losses_free (CellTask *task)
{
  free (task->loss);
}
