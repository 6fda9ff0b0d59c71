#include "cell_private.h"

#include <stdlib.h>

/*
 * Workers that a policy question, or a job's row, names for a step that is no
 * gang.
 */

/* Room of the workers named, as a multiple of what the tasks need: only a part
 * of them is approved. */
#define ROOM_FACTOR 3
/* In a large cell a look ends with so many times the workers, and the room,
 * that are named. */
#define PLENTY_FACTOR 3
/* A step that no worker has room for asks again after so long. */
#define NO_ROOM_MS 8
/* Odd, with its bits spread: 2 to the 64 over the golden ratio. */
#define HASH_MULTIPLIER UINT64_C (0x9e3779b97f4a7c15)

typedef struct
{
  CellWorker *worker;
  uint32_t tasks;
  bool approved;
  bool recorded; /* a start there waits for no commit */
  bool outside;  /* the step's data centre */
  bool delays;   /* it takes room that is kept for a gang */
  bool near;     /* it can start there once its approval is recorded */
  uint64_t turn;
} Candidate;

/*
 * Guards against steps that all name the same workers: with many alike, an
 * order that is the same for every job fills a few dozen, and most of a large
 * cell stands idle.
 */
uint64_t
cell_worker_tie_break (uint64_t job_hash, const CellWorker *worker)
{
  return (job_hash ^ worker->slot) * HASH_MULTIPLIER;
}

/* Those with least room first: workers stay empty for gangs, which need many
 * at once. */
static int
by_room (const void *x, const void *y)
{
  const Candidate *a = x;
  const Candidate *b = y;

  if (a->approved != b->approved)
    return a->approved ? -1 : 1;
  if (a->recorded != b->recorded)
    return a->recorded ? -1 : 1;
  if (a->outside != b->outside)
    return a->outside ? 1 : -1;
  if (a->delays != b->delays)
    return a->delays ? 1 : -1;
  if (a->tasks != b->tasks)
    return a->tasks < b->tasks ? -1 : 1;
  return a->worker->slot < b->worker->slot ? -1 : 1;
}

static int
by_turn (const void *x, const void *y)
{
  const Candidate *a = x;
  const Candidate *b = y;

  if (a->recorded != b->recorded)
    return a->recorded ? -1 : 1;
  if (a->outside != b->outside)
    return a->outside ? 1 : -1;
  return a->turn < b->turn ? -1 : 1;
}

/* Of a look, and those approved. */
static Candidate *
candidates_new (const MuxCell *cell, const CellStage *stage)
{
  return calloc (cell_worker_scan_max (cell) + stage->approval_count + 1,
                 sizeof (Candidate));
}

/**
 * struct Found - workers that a look has found
 * @count: all of them
 * @inside: those of the step's data centre
 * @tasks: that have room at these
 */
typedef struct
{
  uint32_t count;
  uint32_t inside;
  uint32_t tasks;
} Found;

static void
add (Found *found, Candidate *candidate, Candidate one)
{
  candidate[found->count++] = one;
  if (one.outside)
    return;
  found->inside++;
  found->tasks += one.tasks;
}

/* Several times what is named: there is something to choose from. */
static bool
is_plenty (const Found *found, uint32_t waiting, uint32_t least)
{
  return found->inside >= PLENTY_FACTOR * least
         && found->tasks >= PLENTY_FACTOR * ROOM_FACTOR * waiting;
}

static void
add_with_room (const MuxCell *cell,
               const CellStage *stage,
               CellWorker *worker,
               const CellApproval *approval,
               Found *found,
               Candidate *candidate)
{
  uint32_t tasks = cell_worker_startable_tasks (cell, stage, worker);

  if (tasks == 0)
    return;
  add (found, candidate,
       (Candidate){
           .worker = worker,
           .tasks = tasks,
           .approved = approval != NULL && approval->approved,
           .recorded = cell_worker_is_recorded (stage, worker),
           .outside = cell_is_outside_data_centre (stage, worker),
           .delays = cell_delays_gang (cell, stage, worker),
           .near = cell_approval_is_being_recorded (cell, approval),
       });
}

static void
collect_approved (MuxCell *cell,
                  const CellStage *stage,
                  Found *found,
                  Candidate *candidate)
{
  cell->scan_cost += stage->approval_count;
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      const CellApproval *approval = &stage->approval[i];
      CellWorker *worker = cell->worker_at[approval->slot];

      if (worker != NULL && approval->approved)
        add_with_room (cell, stage, worker, approval, found, candidate);
    }
}

static void
collect_unasked (MuxCell *cell,
                 CellStage *stage,
                 uint32_t waiting,
                 Found *found,
                 Candidate *candidate)
{
  CellWorkerScan sample = cell_worker_scan_begin (cell, stage);
  CellWorker *worker;

  while ((worker = cell_worker_scan_next (cell, &sample)) != NULL)
    {
      const CellApproval *approval = cell_approval_find (stage, worker);

      if (approval != NULL && (approval->queried || approval->approved))
        continue;
      add_with_room (cell, stage, worker, approval, found, candidate);
      if (sample.is_partial && is_plenty (found, waiting, CELL_CANDIDATES_MIN))
        break;
    }
  cell_worker_scan_end (stage, &sample);
}

static uint32_t
collect (MuxCell *cell,
         CellStage *stage,
         uint32_t waiting,
         Candidate *candidate)
{
  Found found = { .count = 0 };

  collect_approved (cell, stage, &found, candidate);
  collect_unasked (cell, stage, waiting, &found, candidate);
  if (found.count > 0)
    qsort (candidate, found.count, sizeof *candidate, by_room);
  return found.count;
}

/* Whatever room they have now: it will be another when the step's turn comes.
 */
static uint32_t
collect_later (MuxCell *cell, CellStage *stage, Candidate *candidate)
{
  CellWorkerScan sample = cell_worker_scan_begin (cell, stage);
  uint64_t hash = mux_hash_name (stage->job->id, stage->step);
  Found found = { .count = 0 };
  CellWorker *worker;

  while ((worker = cell_worker_scan_next (cell, &sample)) != NULL)
    {
      uint32_t tasks = cell_stage_cap_per_worker (
          stage, cell_tasks_that_fit (stage, worker->info.capacity));

      if (tasks == 0 || !cell_worker_is_eligible (cell, stage, worker))
        continue;
      add (&found, candidate,
           (Candidate){
               .worker = worker,
               .tasks = tasks,
               .recorded = cell_worker_is_recorded (stage, worker),
               .outside = cell_is_outside_data_centre (stage, worker),
               .turn = cell_worker_tie_break (hash, worker),
           });
      if (sample.is_partial
          && is_plenty (&found, stage->spec->count, CELL_CANDIDATES_AHEAD_MIN))
        break;
    }
  cell_worker_scan_end (stage, &sample);
  if (found.count > 0)
    qsort (candidate, found.count, sizeof *candidate, by_turn);
  return found.count;
}

/* Enough workers that the share usually approved holds all tasks; those known
 * to be approved count in full. */
static uint32_t
enough (const Candidate *candidate,
        uint32_t count,
        uint32_t waiting,
        uint32_t least)
{
  uint32_t held = 0;
  uint32_t n;

  for (n = 0; n < count && n < CELL_CANDIDATES_MAX; n++)
    {
      if (n >= least && held >= ROOM_FACTOR * waiting)
        break;
      if (candidate[n].approved && held >= ROOM_FACTOR * waiting)
        break;
      held += candidate[n].approved ? ROOM_FACTOR * candidate[n].tasks
                                    : candidate[n].tasks;
    }
  return n;
}

static uint32_t
near_tasks (const Candidate *candidate, uint32_t count)
{
  uint32_t tasks = 0;

  for (uint32_t i = 0; i < count; i++)
    tasks += candidate[i].near ? candidate[i].tasks : 0;
  return tasks;
}

static void
copy_workers (CellWorker *worker[CELL_CANDIDATES_MAX],
              const Candidate *candidate,
              uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    worker[i] = candidate[i].worker;
}

uint32_t
cell_candidates (MuxCell *cell,
                 CellStage *stage,
                 CellWorker *worker[CELL_CANDIDATES_MAX])
{
  Candidate *candidate = candidates_new (cell, stage);
  uint32_t waiting = cell_stage_waiting_tasks (stage);
  uint32_t count;

  if (candidate == NULL)
    return 0;
  cell_choose_data_centre (cell, stage);
  count = collect (cell, stage, waiting, candidate);
  /* Nobody has room: asked again when something can have changed. */
  if (count == 0)
    stage->no_query_until_ms = cell->time.now_ms + NO_ROOM_MS;
  /* The record of what was approved is on its way. */
  if (near_tasks (candidate, count) >= waiting)
    count = 0;
  count = enough (candidate, count, waiting, CELL_CANDIDATES_MIN);
  copy_workers (worker, candidate, count);
  free (candidate);
  return count;
}

uint32_t
cell_candidates_ahead (MuxCell *cell,
                       CellStage *stage,
                       CellWorker *worker[CELL_CANDIDATES_MAX])
{
  Candidate *candidate = candidates_new (cell, stage);
  uint32_t count;

  if (candidate == NULL)
    return 0;
  cell_choose_data_centre (cell, stage);
  count = collect_later (cell, stage, candidate);
  count = enough (candidate, count, stage->spec->count,
                  CELL_CANDIDATES_AHEAD_MIN);
  copy_workers (worker, candidate, count);
  free (candidate);
  return count;
}
