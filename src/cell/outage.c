#include "cell_private.h"

/*
 * Outages: workers that went down while a run was there, without any part of
 * its step.
 *
 * Guards against a fault of the machines that is taken for one of the task.  If
 * so many others went down meanwhile, any run could have been lost that often,
 * and the loss says little against its task.
 */

/* Others that went down make an outage: a share of all workers, not less than
 * so many, and not more; */
#define ALL_SHARE 8
#define ALL_MIN 4
#define ALL_MAX 64
/* or a share of those in one rack. */
#define RACK_SHARE 2
#define RACK_MIN 3
/* Answers are on their way for so long, in ms. */
#define ON_WAY_MS 100
/* Nothing went down for so long, in ms: no outage goes on. */
#define CALM_MS 1000
/* A run that lived for so long, in ms, did not crash its worker at once. */
#define YOUNG_MS 500

static uint64_t
rack_of (const MuxWorkerInfo *info)
{
  return info->rack[0] != 0 ? mux_hash_name (info->rack, 0) : 0;
}

void
cell_outage_record (MuxCell *cell, const CellWorker *worker)
{
  CellDownEvent *down = &cell->down[cell->down_next++ % CELL_DOWN_MAX];

  *down = (CellDownEvent){ .addr = mux_hash_name (worker->info.addr, 0),
                           .rack = rack_of (&worker->info),
                           .from_ms = worker->clock_at_ms,
                           .to_ms = worker->down_before_ms,
                           .at_ms = cell->time.now_ms };
}

static void
count_workers (const MuxCell *cell, CellLossSpan *span)
{
  bool list_is_read = cell->follow[FOLLOW_WORKERS].loaded;
  const CellWorker *worker;
  const CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->listed || (!list_is_read && cell_in_roster (worker)))
    {
      span->workers++;
      span->rack_workers
          += span->rack != 0 && rack_of (&worker->info) == span->rack;
    }
}

CellLossSpan
cell_outage_span (const MuxCell *cell,
                  const CellWorker *worker,
                  int64_t from_ms)
{
  bool went = (worker->dead || worker->unreachable_since_ms != 0)
              && worker->down_before_ms != 0;
  CellLossSpan span
      = { .from_ms = from_ms,
          .to_ms = went ? worker->down_before_ms : cell->time.now_ms,
          .rack = rack_of (&worker->info) };

  count_workers (cell, &span);
  return span;
}

/* Of a start that was not answered it is not known when the worker went. */
static int64_t
lost_from_ms (const CellBooking *booking)
{
  const CellWorker *worker = booking->worker;

  return !booking->began && worker->clock_at_ms < booking->booked_ms
             ? worker->clock_at_ms
             : booking->booked_ms;
}

CellLossSpan
cell_run_span (const MuxCell *cell, const CellBooking *booking)
{
  return cell_outage_span (cell, booking->worker, lost_from_ms (booking));
}

typedef struct
{
  uint32_t count;
  uint64_t addr[ALL_MAX];
} Addresses;

static bool
has (const Addresses *list, uint64_t addr)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->addr[i] == addr)
      return true;
  return false;
}

static void
put (Addresses *list, uint64_t addr)
{
  if (list->count < ALL_MAX && !has (list, addr))
    list->addr[list->count++] = addr;
}

static void
put_losses (const CellTask *task, int64_t from_ms, Addresses *list)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    {
      const CellLoss *loss = &task->loss[i];

      if (!loss->outcome_unknown && loss->lived_ms < YOUNG_MS
          && (loss->span.to_ms == 0 || loss->span.to_ms >= from_ms))
        put (list, mux_hash_name (loss->addr, 0));
    }
}

/* Where the step itself may be the cause: young runs of it were lost there, or
 * are out of reach. */
static void
put_step (const CellStage *stage, int64_t from_ms, Addresses *list)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = &stage->task[i];
      const CellBooking *booking = task->booking;

      put_losses (task, from_ms, list);
      if (booking != NULL && !booking->worker->reachable
          && cell_run_lived_ms (booking) < YOUNG_MS)
        put (list, mux_hash_name (booking->worker->info.addr, 0));
    }
}

static bool
is_outage (const CellLossSpan *span, uint32_t all, uint32_t rack)
{
  return all >= ALL_MAX
         || (all >= ALL_MIN && all * ALL_SHARE + 1 >= span->workers)
         || (rack >= RACK_MIN && rack * RACK_SHARE + 1 >= span->rack_workers);
}

bool
cell_workers_are_stable (const MuxCell *cell)
{
  const CellDownEvent *last
      = &cell->down[(cell->down_next - 1) % CELL_DOWN_MAX];

  return cell->down_next == 0 || cell->time.now_ms - last->to_ms > CALM_MS;
}

bool
cell_lost_in_outage (const MuxCell *cell,
                     const CellTask *task,
                     const CellLoss *loss)
{
  const CellLossSpan *span = &loss->span;
  Addresses own = { .count = 0 };
  Addresses all = { .count = 0 };
  Addresses rack = { .count = 0 };

  if (span->to_ms == 0)
    return false;
  put (&own, mux_hash_name (loss->addr, 0));
  put_step (task->stage, span->from_ms, &own);
  for (uint32_t i = 1; i <= cell->down_next && i <= CELL_DOWN_MAX; i++)
    {
      const CellDownEvent *down
          = &cell->down[(cell->down_next - i) % CELL_DOWN_MAX];

      if (down->at_ms < span->from_ms)
        return false;
      if (down->to_ms < span->from_ms || down->from_ms > span->to_ms + ON_WAY_MS
          || has (&own, down->addr))
        continue;
      put (&all, down->addr);
      if (span->rack != 0 && down->rack == span->rack)
        put (&rack, down->addr);
      if (is_outage (span, all.count, rack.count))
        return true;
    }
  return false;
}

int64_t
cell_run_lived_ms (const CellBooking *booking)
{
  int64_t ms = booking->worker->clock_at_ms - booking->first_report_ms;

  return booking->listed && booking->first_report_ms != 0 && ms > 0 ? ms : 0;
}

bool
cell_run_was_short (int64_t lived_ms)
{
  return lived_ms < YOUNG_MS;
}
