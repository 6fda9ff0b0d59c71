#include "cell_private.h"

#include <stdlib.h>

/*
 * Chooses the workers that an approval query, or the stored row of a job, names
 * for a step that is not a gang.
 */

/* Room of the workers named, as a multiple of what the tasks need: only a part
 * of them is approved. */
#define ROOM_FACTOR 3
/* In a large cell a scan ends once it has found this many times the workers,
 * and the room, that are named. */
#define PLENTY_FACTOR 3
/* A stage for which no worker has room is tried again after this long. */
#define NO_ROOM_MS 8
/* 2 to the 64 divided by the golden ratio: odd, with its bits well mixed. */
#define HASH_MULTIPLIER UINT64_C (0x9e3779b97f4a7c15)

/* Workers are ordered by cost of their speed in steps of this size, a risk of
 * about 0.04 to be late; within a step by room. */
#define SPEED_COST_STEP 10000

typedef struct
{
  CellWorker *worker;
  uint32_t tasks;
  bool approved;
  bool recorded;       /* a start there does not have to wait for a commit */
  bool outside;        /* not in the data centre chosen for the stage */
  bool delays_gang;    /* a task there takes room reserved for a gang */
  bool being_recorded; /* usable once its approval is stored */
  uint32_t speed_cost; /* in steps; 0: its speed suits the tasks best */
  bool too_slow;       /* a run there is not in time with margin */
  uint64_t tie_break;
} Candidate;

/*
 * Orders equal workers differently for each job.  With one order for all jobs,
 * all steps would name the same few dozen workers of a large cell and leave
 * most of it idle.
 */
uint64_t
cell_worker_tie_break (uint64_t job_hash, const CellWorker *worker)
{
  return (job_hash ^ worker->slot) * HASH_MULTIPLIER;
}

/* Sorts workers with least room first: others stay empty for gangs, which need
 * many at once. */
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
  if (a->delays_gang != b->delays_gang)
    return a->delays_gang ? 1 : -1;
  if (a->speed_cost != b->speed_cost)
    return a->speed_cost < b->speed_cost ? -1 : 1;
  if (a->tasks != b->tasks)
    return a->tasks < b->tasks ? -1 : 1;
  return a->worker->slot < b->worker->slot ? -1 : 1;
}

static int
by_tie_break (const void *x, const void *y)
{
  const Candidate *a = x;
  const Candidate *b = y;

  if (a->recorded != b->recorded)
    return a->recorded ? -1 : 1;
  if (a->outside != b->outside)
    return a->outside ? 1 : -1;
  if (a->speed_cost != b->speed_cost)
    return a->speed_cost < b->speed_cost ? -1 : 1;
  return a->tie_break < b->tie_break ? -1 : 1;
}

/* Judges the worker's speed for a run that starts once a query has been
 * answered. */
static void
judge_speed (const MuxCell *cell, const CellStage *stage, Candidate *candidate)
{
  int64_t in_ms = cell_promised_query_ms (&stage->job->spec->queue.approval);

  candidate->speed_cost
      = cell_speed_cost (cell, stage, candidate->worker, in_ms)
        / SPEED_COST_STEP;
  candidate->too_slow
      = !cell_speed_suits (cell, stage, candidate->worker, in_ms);
}

/* Allocates entries for the workers of a scan and for the approved ones. */
static Candidate *
candidates_new (const MuxCell *cell, const CellStage *stage)
{
  return calloc (cell_worker_scan_max (cell) + stage->approval_count + 1,
                 sizeof (Candidate));
}

/**
 * struct Found - workers found by a scan
 * @count: all of them
 * @inside: those in the stage's data centre that are fast enough
 * @tasks: tasks that have room at these
 */
typedef struct
{
  uint32_t count;
  uint32_t inside;
  uint32_t tasks;
} Found;

static void
add (const MuxCell *cell,
     const CellStage *stage,
     Found *found,
     Candidate *candidate,
     Candidate added)
{
  judge_speed (cell, stage, &added);
  candidate[found->count++] = added;
  if (added.outside || added.too_slow)
    return;
  found->inside++;
  found->tasks += added.tasks;
}

/* Whether there is enough to choose from: several times what is named. */
static bool
is_plenty (const Found *found, uint32_t waiting, uint32_t name_min)
{
  return found->inside >= PLENTY_FACTOR * name_min
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
  add (cell, stage, found, candidate,
       (Candidate){
           .worker = worker,
           .tasks = tasks,
           .approved = approval != NULL && approval->approved,
           .recorded = cell_worker_is_recorded (stage, worker),
           .outside = cell_is_outside_data_centre (stage, worker),
           .delays_gang = cell_delays_gang (cell, stage, worker),
           .being_recorded = cell_approval_is_being_recorded (cell, approval),
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
      CellWorker *worker = cell->worker_by_slot[approval->slot];

      if (worker != NULL && approval->approved)
        add_with_room (cell, stage, worker, approval, found, candidate);
    }
}

static void
collect_unqueried (MuxCell *cell,
                   CellStage *stage,
                   uint32_t waiting,
                   Found *found,
                   Candidate *candidate)
{
  CellWorkerScan scan = cell_worker_scan_begin (cell, stage);
  CellWorker *worker;

  while ((worker = cell_worker_scan_next (cell, &scan)) != NULL)
    {
      const CellApproval *approval = cell_approval_find (stage, worker);

      if (approval != NULL && (approval->queried || approval->approved))
        continue;
      add_with_room (cell, stage, worker, approval, found, candidate);
      if (scan.is_partial && is_plenty (found, waiting, CELL_CANDIDATES_MIN))
        break;
    }
  cell_worker_scan_end (stage, &scan);
}

static uint32_t
collect (MuxCell *cell,
         CellStage *stage,
         uint32_t waiting,
         Candidate *candidate)
{
  Found found = { .count = 0 };

  collect_approved (cell, stage, &found, candidate);
  collect_unqueried (cell, stage, waiting, &found, candidate);
  if (found.count > 0)
    qsort (candidate, found.count, sizeof *candidate, by_room);
  return found.count;
}

/* Ignores the current room: it will have changed when the stage becomes
 * ready. */
static uint32_t
collect_ahead (MuxCell *cell, CellStage *stage, Candidate *candidate)
{
  CellWorkerScan scan = cell_worker_scan_begin (cell, stage);
  uint64_t hash = mux_hash_name (stage->job->id, stage->step);
  Found found = { .count = 0 };
  CellWorker *worker;

  while ((worker = cell_worker_scan_next (cell, &scan)) != NULL)
    {
      uint32_t tasks = cell_stage_cap_per_worker (
          stage, cell_tasks_that_fit (stage, worker->info.capacity));

      if (tasks == 0 || !cell_worker_is_eligible (cell, stage, worker))
        continue;
      add (cell, stage, &found, candidate,
           (Candidate){
               .worker = worker,
               .tasks = tasks,
               .recorded = cell_worker_is_recorded (stage, worker),
               .outside = cell_is_outside_data_centre (stage, worker),
               .tie_break = cell_worker_tie_break (hash, worker),
           });
      if (scan.is_partial
          && is_plenty (&found, stage->spec->count, CELL_CANDIDATES_AHEAD_MIN))
        break;
    }
  cell_worker_scan_end (stage, &scan);
  if (found.count > 0)
    qsort (candidate, found.count, sizeof *candidate, by_tie_break);
  return found.count;
}

/* Returns how many of the candidates to name so that the share of them that is
 * usually approved holds all tasks.  Workers known to be approved count in
 * full. */
static uint32_t
name_count (const Candidate *candidate,
            uint32_t count,
            uint32_t waiting,
            uint32_t name_min)
{
  uint32_t held = 0;
  uint32_t n;

  for (n = 0; n < count && n < CELL_CANDIDATES_MAX; n++)
    {
      if (n >= name_min && held >= ROOM_FACTOR * waiting)
        break;
      if (candidate[n].approved && held >= ROOM_FACTOR * waiting)
        break;
      held += candidate[n].approved ? ROOM_FACTOR * candidate[n].tasks
                                    : candidate[n].tasks;
    }
  return n;
}

static uint32_t
tasks_being_recorded (const Candidate *candidate, uint32_t count)
{
  uint32_t tasks = 0;

  for (uint32_t i = 0; i < count; i++)
    tasks += candidate[i].being_recorded ? candidate[i].tasks : 0;
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
  /* No worker has room: try again when something may have changed. */
  if (count == 0)
    stage->no_query_until_ms = cell->time.now_ms + NO_ROOM_MS;
  /* The approvals that suffice are being stored. */
  if (tasks_being_recorded (candidate, count) >= waiting)
    count = 0;
  count = name_count (candidate, count, waiting, CELL_CANDIDATES_MIN);
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
  count = collect_ahead (cell, stage, candidate);
  count = name_count (candidate, count, stage->spec->count,
                      CELL_CANDIDATES_AHEAD_MIN);
  copy_workers (worker, candidate, count);
  free (candidate);
  return count;
}
