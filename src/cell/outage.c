#include "stage_tasks.h"

/*
 * Correlated failures of workers (outages).
 *
 * If many workers without tasks of the step went down during a run, any run
 * could have been lost with them, and the loss says little against its task: a
 * fault of the machines must not count as one of the task.
 */

/* It is an outage if one in ALL_SHARE workers went down, and at least ALL_MIN,
 * or ALL_MAX of them; or one in RACK_SHARE of a rack, and at least RACK_MIN. */
#define ALL_SHARE 8
#define ALL_MIN 4
#define ALL_MAX 64
#define RACK_SHARE 2
#define RACK_MIN 3
/* Replies are under way for up to this time. */
#define ANSWER_DELAY_MS 100
/* No outage is going on after this time without a failure. */
#define STABLE_MS 1000
/* A run that ran for this long did not crash its worker at once. */
#define SHORT_RUN_MS 500

static uint64_t
rack_of (const MuxWorkerInfo *info)
{
  return info->rack[0] != 0 ? mux_hash_name (info->rack, 0) : 0;
}

void
cell_outage_record (MuxCell *cell, const CellWorker *worker)
{
  CellDownEvent *down
      = &cell->down_events[cell->down_event_count++ % CELL_DOWN_MAX];

  *down = (CellDownEvent){ .addr = mux_hash_name (worker->info.addr, 0),
                           .rack = rack_of (&worker->info),
                           .from_ms = worker->clock_at_ms,
                           .to_ms = worker->down_before_ms,
                           .at_ms = cell->time.now_ms };
}

static void
count_workers (const MuxCell *cell, CellLossSpan *span)
{
  bool list_is_read = cell->feed[CELL_FEED_WORKERS].loaded;
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
  bool is_down = (worker->dead || worker->unreachable_since_ms != 0)
                 && worker->down_before_ms != 0;
  CellLossSpan span
      = { .from_ms = from_ms,
          .to_ms = is_down ? worker->down_before_ms : cell->time.now_ms,
          .rack = rack_of (&worker->info) };

  count_workers (cell, &span);
  return span;
}

/* If the start was not answered, the worker may have gone down at any time
 * since its last reply. */
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
} AddressSet;

static bool
address_set_has (const AddressSet *set, uint64_t addr)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (set->addr[i] == addr)
      return true;
  return false;
}

static void
address_set_add (AddressSet *set, uint64_t addr)
{
  if (set->count < ALL_MAX && !address_set_has (set, addr))
    set->addr[set->count++] = addr;
}

static void
add_losses (const CellTask *task, int64_t from_ms, AddressSet *set)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    {
      const CellLoss *loss = &task->loss[i];

      if (!loss->outcome_unknown && loss->ran_ms < SHORT_RUN_MS
          && (loss->span.to_ms == 0 || loss->span.to_ms >= from_ms))
        address_set_add (set, mux_hash_name (loss->addr, 0));
    }
}

/* Addresses where the step itself may be the cause: short runs of it were
 * lost there, or are unreachable. */
static void
add_step (const CellStage *stage, int64_t from_ms, AddressSet *set)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);
      const CellBooking *booking = task->booking;

      add_losses (task, from_ms, set);
      if (booking != NULL && !booking->worker->reachable
          && cell_run_min_duration_ms (booking) < SHORT_RUN_MS)
        address_set_add (set, mux_hash_name (booking->worker->info.addr, 0));
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
      = &cell->down_events[(cell->down_event_count - 1) % CELL_DOWN_MAX];

  return cell->down_event_count == 0
         || cell->time.now_ms - last->to_ms > STABLE_MS;
}

bool
cell_lost_in_outage (const MuxCell *cell,
                     const CellTask *task,
                     const CellLoss *loss)
{
  const CellLossSpan *span = &loss->span;
  AddressSet own = { .count = 0 };
  AddressSet all = { .count = 0 };
  AddressSet rack = { .count = 0 };

  if (span->to_ms == 0)
    return false;
  address_set_add (&own, mux_hash_name (loss->addr, 0));
  add_step (task->stage, span->from_ms, &own);
  for (uint32_t i = 1; i <= cell->down_event_count && i <= CELL_DOWN_MAX; i++)
    {
      const CellDownEvent *down
          = &cell->down_events[(cell->down_event_count - i) % CELL_DOWN_MAX];

      if (down->at_ms < span->from_ms)
        return false;
      if (down->to_ms < span->from_ms
          || down->from_ms > span->to_ms + ANSWER_DELAY_MS
          || address_set_has (&own, down->addr))
        continue;
      address_set_add (&all, down->addr);
      if (span->rack != 0 && down->rack == span->rack)
        address_set_add (&rack, down->addr);
      if (is_outage (span, all.count, rack.count))
        return true;
    }
  return false;
}

int64_t
cell_run_min_duration_ms (const CellBooking *booking)
{
  int64_t ms = booking->worker->clock_at_ms - booking->first_report_ms;

  return booking->listed && booking->first_report_ms != 0 && ms > 0 ? ms : 0;
}

bool
cell_run_was_short (int64_t ran_ms)
{
  return ran_ms < SHORT_RUN_MS;
}
