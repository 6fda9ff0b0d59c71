#include "cell_private.h"

#include <stdlib.h>

/*
 * Fair shares of workspaces: counts for cell/share.h what each uses and waits
 * for, classes the waiting stages by it, and passes the expected waits on to
 * the other daemons.
 */

/* A new planner does not know all runs of its predecessor: until all workers
 * were heard from, but for no longer than this, the predecessor's waits apply.
 */
#define INHERITED_MS 3000
/* Shares limit while a workspace demands so many times the median of all; in a
 * burst of all alike they would only delay small jobs behind large ones. */
#define OUTLIER_FACTOR 2
#define LOG_INTERVAL_MS 1000
/* Most workspaces logged at a time. */
#define LOGGED_MAX 8
#define MILLI 1000

struct CellShareWalk
{
  CellStage **stage;
  uint32_t count;
  uint32_t capacity;
};

static uint64_t
hash_of (const char *workspace)
{
  return workspace[0] != 0 ? mux_hash_name (workspace, 0) : 0;
}

static uint64_t
workspace_of (const CellStage *stage)
{
  return hash_of (stage->job->workspace != NULL ? stage->job->workspace->name
                                                : "");
}

static uint32_t
level_of (const CellStage *stage)
{
  return mux_share_level (stage->job->spec->queue.priority);
}

/* Best-effort tasks take no processors from others. */
static int64_t
milli_of (const CellStage *stage, uint32_t tasks)
{
  return stage->spec->best_effort
             ? 0
             : (int64_t) stage->spec->size.cpu_milli * tasks;
}

static MuxShare *
share_of (MuxCell *cell, const CellStage *stage)
{
  MuxShare *share
      = mux_shares_get (&cell->shares, stage->service, workspace_of (stage));

  if (share != NULL && stage->job->workspace != NULL)
    {
      share->weight = stage->job->workspace->spec.job_rate_milli;
      share->quota_milli = stage->job->workspace->spec.quota.cpu_milli;
    }
  return share;
}

static void
count_running (MuxCell *cell, const CellWorker *worker)
{
  const CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  {
    const CellStage *stage = booking->task->stage;
    MuxShare *share = share_of (cell, stage);

    if (share == NULL)
      continue;
    share->running[level_of (stage)] += milli_of (stage, 1);
    share->remaining[level_of (stage)]
        += milli_of (stage, 1) * cell_booking_remaining_ms (cell, booking)
           / MILLI;
  }
}

static void
count_workers (MuxCell *cell)
{
  const CellWorker *worker;
  const CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    MuxSharePool *pool = mux_shares_pool (&cell->shares, worker->service);

    if (pool == NULL)
      continue;
    if (!worker->dead)
      {
        pool->pool_milli += worker->info.capacity.cpu_milli;
        pool->free_milli += cell_worker_free (worker).cpu_milli;
      }
    count_running (cell, worker);
  }
  for (uint32_t i = 0; i < cell->shares.pool_count; i++)
    {
      MuxSharePool *pool = &cell->shares.pool[i];

      pool->rate = mux_admission_pool_rate (&cell->admission, pool->service);
      if (pool->rate < 0)
        pool->rate = (pool->pool_milli - pool->free_milli) / 2;
    }
}

static int64_t
work_of (const CellStage *stage)
{
  return mux_admission_work (cell_stage_waiting_tasks (stage),
                             stage->spec->size.cpu_milli, stage->expected_ms);
}

static bool
has_value (const CellStage *stage)
{
  return stage->rank == CELL_RANK_IN_TIME && !stage->spec->long_running;
}

static void
count_waiting (MuxCell *cell, const CellStage *stage)
{
  MuxShare *share = has_value (stage) ? share_of (cell, stage) : NULL;
  uint32_t level = level_of (stage);

  if (share == NULL)
    return;
  share->waiting[level] += milli_of (stage, cell_stage_waiting_tasks (stage));
  share->work[level] += work_of (stage);
}

/* Processors that a job's first steps need. */
static int64_t
milli_of_job (const MuxJobSpec *spec)
{
  int64_t milli = 0;

  for (uint32_t i = 0; i < spec->step_count; i++)
    if (spec->step[i].after == 0 && !spec->step[i].best_effort)
      milli += (int64_t) spec->step[i].size.cpu_milli * spec->step[i].count;
  return milli;
}

void
cell_shares_accepted (MuxCell *cell, const MuxJobSpec *spec, int64_t work)
{
  mux_shares_accepted (&cell->shares, mux_hash_name (spec->queue.service, 0),
                       hash_of (spec->workspace),
                       mux_share_level (spec->queue.priority),
                       milli_of_job (spec), work);
}

static void
add_to_walk (MuxCell *cell, const CellStage *stage)
{
  CellShareWalk *walk = cell->share_walk;
  uint32_t index
      = stage->occurrence * stage->job->spec->step_count + stage->step;

  if (walk->count == walk->capacity)
    {
      uint32_t capacity = walk->capacity > 0 ? 2 * walk->capacity : 256;
      CellStage **grown
          = realloc (walk->stage, capacity * sizeof (CellStage *));

      if (grown == NULL)
        return;
      walk->stage = grown;
      walk->capacity = capacity;
    }
  walk->stage[walk->count++] = stage->job->stage[index];
}

/* The planning order without the classes, which are about to change. */
static int
by_own_order (const void *x, const void *y)
{
  const CellStage *a = *(CellStage *const *) x;
  const CellStage *b = *(CellStage *const *) y;
  uint32_t first = a->job->spec->queue.priority;
  uint32_t second = b->job->spec->queue.priority;

  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (first != second)
    return first < second ? -1 : 1;
  if (a->latest_start_ms != b->latest_start_ms)
    return a->latest_start_ms < b->latest_start_ms ? -1 : 1;
  return a->number < b->number ? -1 : a->number > b->number;
}

/* Sets the class of @stage, which comes after stages of its workspace that need
 * @ahead processors. */
static void
set_class (MuxCell *cell, CellStage *stage, int64_t *ahead)
{
  const MuxShare *share
      = mux_shares_find (&cell->shares, stage->service, workspace_of (stage));
  uint32_t level = level_of (stage);
  uint32_t class = mux_share_class (share,
                                    mux_share_running (share, level) + *ahead);
  MuxSharePool *pool = mux_shares_pool (&cell->shares, stage->service);

  *ahead += milli_of (stage, cell_stage_waiting_tasks (stage));
  if (class == 0 && pool != NULL && has_value (stage))
    pool->within_work[level] += work_of (stage);
  if (class != 0)
    cell->classed_stages++;
  if (class != stage->share_class)
    cell_plan_order_set_class (cell, stage, class);
}

static void
class_stages (MuxCell *cell, const CellShareWalk *walk)
{
  int64_t ahead[MUX_SHARES_MAX + 1] = { 0 };

  cell->classed_stages = 0;
  for (uint32_t i = 0; i < walk->count; i++)
    {
      CellStage *stage = walk->stage[i];
      const MuxShare *share = mux_shares_find (&cell->shares, stage->service,
                                               workspace_of (stage));
      size_t n = share != NULL ? (size_t) (share - cell->shares.share)
                               : MUX_SHARES_MAX;

      if (stage->spec->long_running)
        continue;
      set_class (cell, stage, &ahead[n]);
    }
}

static bool
some_pool_is_contended (const MuxCell *cell)
{
  for (uint32_t i = 0; i < cell->shares.pool_count; i++)
    if (cell->shares.pool[i].is_contended)
      return true;
  return false;
}

static void
class_all (MuxCell *cell)
{
  CellShareWalk walk = { .stage = NULL };

  if (cell->classed_stages == 0 && !some_pool_is_contended (cell))
    return;
  cell->share_walk = &walk;
  cell_plan_order_visit (cell, add_to_walk);
  cell->share_walk = NULL;
  if (walk.count > 0)
    qsort (walk.stage, walk.count, sizeof (CellStage *), by_own_order);
  class_stages (cell, &walk);
  free (walk.stage);
}

static const char *
name_of (const MuxCell *cell, uint64_t hash)
{
  const CellWorkspace *workspace;

  for (workspace = cell->workspaces; workspace != NULL;
       workspace = workspace->hh.next)
    if (hash_of (workspace->name) == hash)
      return workspace->name;
  return "";
}

static void
log_shares (MuxCell *cell)
{
  bool contended = some_pool_is_contended (cell);
  uint32_t logged = 0;

  if (contended != cell->is_contended)
    cell_log (cell, contended ? "shares_limited" : "shares_free", "{s:i}",
              "workspaces", (int) cell->shares.count);
  cell->is_contended = contended;
  if (!contended || cell->time.now_ms < cell->next_share_log_ms)
    return;
  cell->next_share_log_ms = cell->time.now_ms + LOG_INTERVAL_MS;
  for (uint32_t i = 0; i < cell->shares.count && logged < LOGGED_MAX; i++)
    {
      const MuxShare *share = &cell->shares.share[i];
      int64_t wait_ms = share->wait_ms[MUX_SHARE_LEVELS - 1];

      if (share->limit_milli == 0 || wait_ms < 0)
        continue;
      logged++;
      cell_log (cell, "share_exceeded", "{s:s, s:I, s:I, s:I, s:I}",
                "workspace", name_of (cell, share->workspace), "limit",
                (json_int_t) share->limit_milli, "running",
                (json_int_t) mux_share_running (share, MUX_SHARE_LEVELS - 1),
                "used",
                (json_int_t) mux_share_used (share, MUX_SHARE_LEVELS - 1),
                "wait_ms", (json_int_t) wait_ms);
    }
}

void
cell_shares_count (MuxCell *cell)
{
  if (cell->workspaces == NULL
      || (!cell_all_runs_known (cell)
          && cell->time.now_ms - cell->planning_began_ms < INHERITED_MS))
    return;
  mux_shares_begin (&cell->shares);
  cell->shares.outlier_factor = OUTLIER_FACTOR;
  count_workers (cell);
  cell_plan_order_visit (cell, count_waiting);
  mux_shares_set_limits (&cell->shares);
  class_all (cell);
  mux_shares_set_waits (&cell->shares);
  log_shares (cell);
}

uint32_t
cell_share_class_of_new (const MuxCell *cell, const CellStage *stage)
{
  const MuxShare *share;
  uint32_t level = level_of (stage);
  int64_t running;
  int64_t used;

  if (!cell->is_contended || stage->spec->long_running)
    return 0;
  share = mux_shares_find (&cell->shares, stage->service, workspace_of (stage));
  running = mux_share_running (share, level);
  /* Its job was counted when it was accepted. */
  used = mux_share_used (share, level)
         - milli_of (stage, cell_stage_waiting_tasks (stage));
  return mux_share_class (share, used > running ? used : running);
}

int64_t
cell_shares_wait_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  return mux_shares_wait_ms (
      &cell->shares, mux_hash_name (spec->queue.service, 0),
      hash_of (spec->workspace), mux_share_level (spec->queue.priority));
}

static bool
is_exceeded (const MuxCell *cell, const MuxJobSpec *spec)
{
  uint64_t service = mux_hash_name (spec->queue.service, 0);
  const MuxSharePool *pool = mux_shares_find_pool (&cell->shares, service);
  const MuxShare *share
      = mux_shares_find (&cell->shares, service, hash_of (spec->workspace));

  return pool != NULL && pool->is_contended && share != NULL
         && share->wait_ms[mux_share_level (spec->queue.priority)] >= 0;
}

const char *
cell_share_refusal (MuxCell *cell, const MuxJobSpec *spec)
{
  if (!is_exceeded (cell, spec))
    return "backlog";
  mux_count (cell->options.counters, MUX_COUNT_OVER_SHARE, 1);
  return "over_share";
}

static json_t *
waits_json (const int64_t wait_ms[MUX_SHARE_LEVELS])
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < MUX_SHARE_LEVELS; i++)
    (void) json_array_append_new (list, json_integer ((json_int_t) wait_ms[i]));
  return list;
}

static json_t *
pool_json (const MuxShares *shares, const MuxSharePool *pool)
{
  json_t *over = json_array ();

  for (uint32_t i = 0; i < shares->count; i++)
    {
      const MuxShare *share = &shares->share[i];

      if (share->service == pool->service
          && share->wait_ms[MUX_SHARE_LEVELS - 1] >= 0)
        (void) json_array_append_new (
            over, json_pack ("[I, o]", (json_int_t) share->workspace,
                             waits_json (share->wait_ms)));
    }
  return json_pack ("{s:I, s:o, s:o}", "service", (json_int_t) pool->service,
                    "within", waits_json (pool->wait_ms), "over", over);
}

json_t *
cell_shares_json (const MuxCell *cell)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < cell->shares.pool_count; i++)
    if (cell->shares.pool[i].is_contended)
      (void) json_array_append_new (
          list, pool_json (&cell->shares, &cell->shares.pool[i]));
  return list;
}

static void
read_waits (const json_t *list, int64_t wait_ms[MUX_SHARE_LEVELS], int64_t none)
{
  for (uint32_t i = 0; i < MUX_SHARE_LEVELS; i++)
    {
      const json_t *value = json_array_get (list, i);
      json_int_t ms = json_integer_value (value);

      wait_ms[i]
          = json_is_integer (value) && ms >= 0 && ms <= MUX_SHARE_WAIT_MAX_MS
                ? ms
                : none;
    }
}

static void
receive_pool (MuxCell *cell, const json_t *json)
{
  uint64_t service
      = (uint64_t) json_integer_value (json_object_get (json, "service"));
  MuxSharePool *pool = mux_shares_pool (&cell->shares, service);
  const json_t *entry;
  size_t i;

  if (pool == NULL || !json_is_array (json_object_get (json, "within")))
    return;
  pool->is_contended = true;
  read_waits (json_object_get (json, "within"), pool->wait_ms, 0);
  json_array_foreach (json_object_get (json, "over"), i, entry)
  {
    uint64_t workspace
        = (uint64_t) json_integer_value (json_array_get (entry, 0));
    MuxShare *share = mux_shares_get (&cell->shares, service, workspace);

    if (share != NULL)
      read_waits (json_array_get (entry, 1), share->wait_ms, -1);
  }
}

void
cell_shares_receive (MuxCell *cell, const json_t *list)
{
  const json_t *entry;
  size_t i;

  mux_shares_begin (&cell->shares);
  cell->shares.pool_count = 0;
  json_array_foreach (list, i, entry) receive_pool (cell, entry);
}
