#include "cell_private.h"

#include <math.h>

/*
 * The planner learns which kinds of tasks slow each other on a worker, and
 * keeps them apart where another worker has room.  It sends the pairs that are
 * found to the other daemons: the next planner continues with them.
 */

/* Cost of a worker with a task that slows this one, or is slowed by it, in
 * thousandths of a processor as in place.c: more than the free room of workers
 * of 64 processors, so that room elsewhere is taken first, and less than the
 * cost of delaying a gang. */
#define BESIDE_COST 100000
#define MILLI 1000.0

static uint64_t
kind_of (const char *queue, bool long_running, bool best_effort)
{
  return mux_hash_name (queue,
                        (long_running ? 1U : 0U) + (best_effort ? 2U : 0U));
}

uint64_t
cell_interference_kind (const CellStage *stage)
{
  return kind_of (stage->job->spec->queue.name, stage->spec->long_running,
                  stage->spec->best_effort);
}

/* Return: the queue of the kind; "": none of the queues in force. */
static const char *
queue_name (const MuxCell *cell, uint64_t kind)
{
  for (uint32_t i = 0; cell->config != NULL && i < cell->config->count; i++)
    for (uint32_t variant = 0; variant < 4; variant++)
      if (kind_of (cell->config->item[i].name, variant & 1, variant & 2)
          == kind)
        return cell->config->item[i].name;
  return "";
}

static int64_t
overlap_ms (const MuxCell *cell, const CellBooking *a, const CellBooking *b)
{
  return cell->time.now_ms
         - (a->booked_ms > b->booked_ms ? a->booked_ms : b->booked_ms);
}

/* More kinds than there are entries are not counted. */
static void
add_beside (CellBooking *booking, uint64_t kind, int64_t ms)
{
  for (uint32_t i = 0; i < MUX_INTERFERENCE_BESIDE_MAX; i++)
    {
      CellBeside *beside = &booking->beside[i];

      if (beside->kind != 0 && beside->kind != kind)
        continue;
      beside->kind = kind;
      beside->ms += ms;
      return;
    }
}

/* As for run times, runs are skipped whose full time is not known, and a gang
 * counts once. */
static bool
is_whole_run (const MuxCell *cell, const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;

  return !stage->spec->long_running && stage->job->spec->repetitions == 0
         && booking->task->state != CELL_TASK_DONE && !booking->resumed
         && !booking->slowed && booking->run >= cell_next_run (cell, 0);
}

static void
log_changes (MuxCell *cell)
{
  const MuxInterference *all = &cell->interference;

  for (uint32_t i = 0; i < all->count; i++)
    {
      const MuxInterferencePair *pair = &all->pair[i];

      if (!pair->changed)
        continue;
      mux_count (cell->options.counters, MUX_COUNT_INTERFERENCES, pair->found);
      cell_log (
          cell, pair->found ? "interference_found" : "interference_dropped",
          "{s:s, s:s, s:I, s:I, s:I}", "queue", queue_name (cell, pair->kind),
          "beside", queue_name (cell, pair->other), "slowdown_milli",
          (json_int_t) lround (MILLI * exp (mux_interference_slowdown (pair))),
          "confidence_milli",
          (json_int_t) lround (MILLI * mux_interference_confidence (pair)),
          "runs", (json_int_t) lround (pair->weight));
    }
}

/* Tasks of a step share the error of their declared time, runs at one worker
 * what happens to it: an outage of some seconds makes all of them seem slow. */
static double
weight_of (const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;
  const CellBooking *other;
  uint32_t alike = stage->spec->gang ? 1 : stage->spec->count;
  uint32_t there = 0;

  DL_COUNT (booking->worker->bookings, other, there);
  return 1.0 / (alike > there ? alike : there);
}

static void
learn (MuxCell *cell, const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;
  const CellBooking *other;
  double took_ms = (double) (cell->time.now_ms - booking->booked_ms);
  uint32_t expected_ms = cell_worker_expected_ms (stage, booking->worker);
  MuxInterferenceRun run = { .kind = booking->kind };

  /* A slower worker would look like a disturbance by what often runs there. */
  if (took_ms <= 0 || expected_ms == 0
      || !mux_worker_speed_is_known (&booking->worker->speed))
    return;
  run.residual = log (took_ms) - log (expected_ms);
  run.weight = weight_of (booking);
  for (uint32_t i = 0; i < MUX_INTERFERENCE_BESIDE_MAX; i++)
    mux_interference_add_beside (&run, booking->beside[i].kind,
                                 (double) booking->beside[i].ms / took_ms);
  DL_FOREACH (booking->worker->bookings, other)
  if (other != booking)
    mux_interference_add_beside (&run, other->kind,
                                 (double) overlap_ms (cell, booking, other)
                                     / took_ms);
  if (mux_interference_record (&cell->interference, &run))
    log_changes (cell);
}

void
cell_interference_record (MuxCell *cell,
                          const CellBooking *booking,
                          MuxRunEnd end)
{
  CellBooking *other;

  if (end == MUX_RUN_DONE && is_whole_run (cell, booking))
    learn (cell, booking);
  DL_FOREACH (booking->worker->bookings, other)
  if (other != booking)
    add_beside (other, booking->kind, overlap_ms (cell, booking, other));
}

int64_t
cell_interference_cost (const MuxCell *cell,
                        const CellStage *stage,
                        const CellWorker *worker)
{
  const CellBooking *booking;
  uint64_t kind;

  if (cell->interference.found_count == 0)
    return 0;
  kind = cell_interference_kind (stage);
  if (!mux_interference_concerns (&cell->interference, kind))
    return 0;
  DL_FOREACH (worker->bookings, booking)
  if (mux_interference_is_found (&cell->interference, kind, booking->kind))
    return BESIDE_COST;
  return 0;
}

void
cell_interference_count (const MuxCell *cell,
                         const CellStage *stage,
                         const CellWorker *worker)
{
  if (cell->interference.found_count == 0
      || !mux_interference_concerns (&cell->interference,
                                     cell_interference_kind (stage)))
    return;
  mux_count (cell->options.counters,
             cell_interference_cost (cell, stage, worker) == 0
                 ? MUX_COUNT_STARTS_APART
                 : MUX_COUNT_STARTS_BESIDE,
             1);
}

static json_int_t
to_fixed_point (double value)
{
  return (json_int_t) lround (value * MILLI);
}

/* Pairs that are not found are left out: 64 of them take 6 KB, in the reply to
 * each hello, and are learned again within seconds. */
json_t *
cell_interference_json (const MuxCell *cell)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < cell->interference.found_count; i++)
    {
      const MuxInterferencePair *pair = &cell->interference.pair[i];

      (void) json_array_append_new (
          list,
          json_pack ("[I, I, I, I, I, I, I, I]", (json_int_t) pair->kind,
                     (json_int_t) pair->other, to_fixed_point (pair->weight),
                     to_fixed_point (pair->share_mean),
                     to_fixed_point (pair->residual_mean),
                     to_fixed_point (pair->share_square),
                     to_fixed_point (pair->product),
                     to_fixed_point (pair->residual_square)));
    }
  return list;
}

static double
fixed_point_at (const json_t *entry, size_t index)
{
  return (double) json_integer_value (json_array_get (entry, index)) / MILLI;
}

void
cell_interference_receive (MuxCell *cell, const json_t *blob)
{
  const json_t *entry;
  size_t i;

  if (blob == NULL || cell->role != CELL_FOLLOWER)
    return;
  cell->interference = (MuxInterference){ .count = 0 };
  json_array_foreach (json_object_get (blob, "interference"), i, entry)
  {
    const MuxInterferencePair pair = {
      .kind = (uint64_t) json_integer_value (json_array_get (entry, 0)),
      .other = (uint64_t) json_integer_value (json_array_get (entry, 1)),
      .found = true,
      .weight = fixed_point_at (entry, 2),
      .share_mean = fixed_point_at (entry, 3),
      .residual_mean = fixed_point_at (entry, 4),
      .share_square = fixed_point_at (entry, 5),
      .product = fixed_point_at (entry, 6),
      .residual_square = fixed_point_at (entry, 7),
    };

    (void) mux_interference_set (&cell->interference, &pair);
  }
}
