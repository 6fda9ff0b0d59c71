#include "job_memory.h"
#include "stage_tasks.h"

#include <stdlib.h>
#include <string.h>

/* A query is sent this long before its reply is needed. */
#define QUERY_AHEAD_MS 900

static uint32_t
bookings_at (const CellStage *stage, const CellWorker *worker)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += cell_task_view (stage, i)->booking != NULL
         && cell_task_view (stage, i)->booking->worker == worker;
  return n;
}

uint32_t
cell_worker_startable_tasks (const MuxCell *cell,
                             const CellStage *stage,
                             const CellWorker *worker)
{
  uint32_t n;
  uint32_t running;

  if (!cell_worker_is_eligible (cell, stage, worker))
    return 0;
  n = cell_worker_spare_tasks (cell, stage, worker);
  if (stage->spec->per_worker_max == 0 || n == 0)
    return n;
  running = bookings_at (stage, worker);
  if (running >= stage->spec->per_worker_max)
    return 0;
  return n < stage->spec->per_worker_max - running
             ? n
             : stage->spec->per_worker_max - running;
}

/* Costs of a worker beyond its free room, in thousandths of a processor.  A
 * worker where the task has failed before is the last choice; one outside the
 * stage's data centre is better than one away from its input data. */
#define GANG_DELAY_COST 250000
/* Where speeds matter: less than a risk of 0.4 to be late. */
#define GANG_DELAY_COST_BESIDE_SPEED 100000
#define OUTSIDE_DATA_CENTRE_COST 500000
#define AWAY_FROM_DATA_COST 1000000
#define FAILED_BEFORE_COST 10000000

/* Returns the cost of placing the task there; smaller is better.  The smallest
 * remaining room wins, so that large free room at one worker stays for tasks
 * that need it. */
static int64_t
cost_of (const MuxCell *cell, const CellTask *task, const CellWorker *worker)
{
  const MuxStepSpec *spec = task->stage->spec;
  int64_t cost = cell_suspected_crashes (cell, task) > 0
                     ? cell_suspect_cost (cell, task, worker)
                     : cell_room_cost (cell, task->stage, worker)
                           + cell_speed_cost (cell, task->stage, worker, 0);

  if (spec->data_rack[0] != 0
      && strcmp (spec->data_rack, worker->info.rack) != 0)
    cost += AWAY_FROM_DATA_COST;
  if (task->failed_slot == worker->slot + 1)
    cost += FAILED_BEFORE_COST;
  if (cell_is_outside_data_centre (task->stage, worker))
    cost += OUTSIDE_DATA_CENTRE_COST;
  if (cell_delays_gang (cell, task->stage, worker))
    cost += cell_stage_has_uneven_pool (cell, task->stage)
                ? GANG_DELAY_COST_BESIDE_SPEED
                : GANG_DELAY_COST;
  return cost + cell_interference_cost (cell, task->stage, worker)
         + cell_best_effort_cost (task->stage, worker);
}

typedef struct
{
  CellWorker *worker; /* NULL: none so far */
  int64_t cost;
  bool kept_apart; /* a worker with room does not accept the suspect */
} Choice;

static void
consider (const MuxCell *cell,
          const CellTask *task,
          CellWorker *worker,
          Choice *best)
{
  int64_t cost;

  if (cell_worker_startable_tasks (cell, task->stage, worker) == 0)
    return;
  if (!cell_worker_accepts_suspect (cell, task, worker))
    {
      best->kept_apart = true;
      return;
    }
  cost = cost_of (cell, task, worker);
  if (best->worker != NULL && cost >= best->cost)
    return;
  best->worker = worker;
  best->cost = cost;
}

/* Scans only the approved workers, a dozen instead of all, where approval is
 * needed. */
static Choice
best_approved (MuxCell *cell, const CellTask *task)
{
  const CellStage *stage = task->stage;
  Choice best = { .worker = NULL };

  cell->scan_cost += stage->approval_count;
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      CellWorker *worker = cell->worker_by_slot[stage->approval[i].slot];

      if (worker != NULL
          && cell_usable_proof (cell, &stage->approval[i]) != NULL)
        consider (cell, task, worker, &best);
    }
  return best;
}

static Choice
best_worker (MuxCell *cell, const CellTask *task)
{
  Choice best = { .worker = NULL };
  CellWorkerScan scan;
  CellWorker *worker;

  if (task->stage->job->spec->queue.approval.required)
    return best_approved (cell, task);
  scan = cell_worker_scan_begin (cell, task->stage);
  while ((worker = cell_worker_scan_next (cell, &scan)) != NULL)
    consider (cell, task, worker, &best);
  if (best.worker == NULL)
    cell_worker_scan_end (task->stage, &scan);
  return best;
}

static uint32_t
startable_tasks (const MuxCell *cell, const CellStage *stage)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      n += task->state == CELL_TASK_WAITING && task->booking == NULL
           && cell_task_may_start (cell, task);
    }
  return n;
}

/*
 * Holds room on workers that are known to be approved until their proofs and
 * their record are there.  Otherwise other tasks take the room that a worker
 * has while the policy service is queried, and a long-running task never starts
 * in a full pool.
 */
static void
hold_approved (MuxCell *cell, CellStage *stage)
{
  uint32_t left = startable_tasks (cell, stage);

  cell_holds_release (stage);
  for (uint32_t i = 0; i < stage->approval_count && left > 0; i++)
    {
      const CellApproval *approval = &stage->approval[i];
      CellWorker *worker = cell->worker_by_slot[approval->slot];

      if (worker == NULL || !approval->approved
          || (!stage->query_pending
              && !cell_approval_is_being_recorded (cell, approval))
          || cell_worker_startable_tasks (cell, stage, worker) == 0)
        continue;
      if (!cell_hold_add (stage, worker, 1))
        return;
      left--;
    }
}

static void
query_candidates (MuxCell *cell, CellStage *stage)
{
  CellWorker *worker[CELL_CANDIDATES_MAX];
  uint32_t count;

  if (!cell_can_query (cell, stage, CELL_CANDIDATES_MIN))
    return;
  count = cell_candidates (cell, stage, worker);
  (void) cell_approval_query_send (cell, stage, worker, count);
}

void
cell_place_unsettled (MuxCell *cell, CellStage *stage)
{
  int64_t wait_ms;

  if (stage->spec->gang || stage->query_pending
      || !stage->job->spec->queue.approval.required)
    return;
  wait_ms = cell_stage_settles_in_ms (cell, stage);
  if (wait_ms > QUERY_AHEAD_MS
      || stage->proofs_expire_ms > cell->time.now_ms + wait_ms)
    return;
  query_candidates (cell, stage);
}

/**
 * struct Placement - state of one attempt to place the waiting tasks of a stage
 * @sent: starts sent
 * @over_quota: the quota of the workspace allows no more tasks
 * @short_of_workers: some task has no worker to run on
 */
typedef struct
{
  uint32_t sent;
  bool over_quota;
  bool short_of_workers;
} Placement;

/* Returns what blocks a stage for which no query was sent in this attempt. */
static CellBlockedOn
blocked_on (MuxCell *cell, const CellStage *stage, const Placement *placement)
{
  if (placement->over_quota)
    return CELL_BLOCKED_ON_QUOTA;
  if (!placement->short_of_workers)
    return CELL_BLOCKED_ON_RECORD;
  return !stage->job->spec->queue.approval.required
                 || cell_can_query (cell, stage, CELL_CANDIDATES_MIN)
             ? CELL_BLOCKED_ON_ROOM
             : CELL_BLOCKED_ON_QUERIER;
}

/* Return: false: the start can't be sent: out of memory, or a ring is full. */
static bool
start_at (MuxCell *cell,
          CellStage *stage,
          uint32_t index,
          CellWorker *worker,
          Placement *placement)
{
  CellTask *task = cell_task_get (cell, stage, index);

  if (task == NULL)
    return false;
  if (cell_start_needs_record (cell, task)
      && !cell_start_is_recorded (cell, task, worker))
    return true;
  cell_interference_count (cell, stage, worker);
  if (!cell_start_run (cell, task, worker, cell_next_run (cell, task->last_run),
                       task->checkpoint))
    return false;
  placement->sent++;
  return true;
}

/* As start_at(), at the best worker, if any.  The task gets an object only
 * once it starts. */
static bool
place_task (MuxCell *cell,
            CellStage *stage,
            uint32_t index,
            Placement *placement)
{
  CellTask task = cell_task_copy (stage, index);
  Choice best = best_worker (cell, &task);

  if (best.worker == NULL)
    {
      placement->short_of_workers = !best.kept_apart;
      return true;
    }
  if (cell_waits_for_speed (cell, &task, best.worker)
      || (stage->job->spec->queue.priority > 0
          && cell_speed_is_too_slow (cell, stage, best.worker, 0)
          && cell_stage_defer (cell, stage)))
    {
      placement->short_of_workers = true;
      return true;
    }
  return start_at (cell, stage, index, best.worker, placement);
}

static bool
has_memory (const MuxCell *cell, const CellStage *stage, uint32_t index)
{
  if (cell_runs_have_memory (cell, 1, cell_task_object (stage, index) == NULL))
    return true;
  mux_count (cell->options.counters, MUX_COUNT_STARTS_NO_MEMORY, 1);
  return false;
}

static bool
place_waiting (MuxCell *cell, CellStage *stage, Placement *placement)
{
  for (uint32_t i = 0; i < stage->spec->count && !placement->short_of_workers;
       i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      if (task->state != CELL_TASK_WAITING || task->booking != NULL
          || !cell_task_may_start (cell, task))
        continue;
      placement->over_quota = cell_quota_tasks_allowed (cell, stage) == 0;
      if (placement->over_quota)
        return true;
      if (!has_memory (cell, stage, i))
        {
          if (!cell_runs_have_memory (cell, 1, 0))
            return true;
          continue;
        }
      if (!place_task (cell, stage, i, placement))
        return false;
    }
  return true;
}

void
cell_place_tasks (MuxCell *cell, CellStage *stage)
{
  bool needed = stage->job->spec->queue.approval.required;
  Placement placement = {
    .over_quota = cell_quota_tasks_allowed (cell, stage) == 0,
    /* Without a valid proof no worker needs to be scanned. */
    .short_of_workers = needed && cell->time.now_ms >= stage->proofs_expire_ms,
  };

  if (placement.over_quota)
    {
      cell_step_set_blocked_on (cell, stage, CELL_BLOCKED_ON_QUOTA);
      return;
    }
  if (!needed)
    cell_choose_data_centre (cell, stage);
  if (!place_waiting (cell, stage, &placement))
    return;
  if (placement.sent > 0 && cell_stage_waiting_tasks (stage) == 0)
    {
      cell_stage_log_placed (cell, stage, placement.sent);
      cell_query_ahead (cell, stage);
    }
  if (placement.short_of_workers && needed)
    query_candidates (cell, stage);
  if (!stage->query_pending && cell_stage_waiting_tasks (stage) > 0)
    cell_step_set_blocked_on (cell, stage,
                              blocked_on (cell, stage, &placement));
  if (stage->rank == CELL_RANK_STARVED)
    hold_approved (cell, stage);
  cell_stage_update (cell, stage);
}
