#include "cell_private.h"

/*
 * Logs each second how the planner's two scarce resources are used: the
 * daemons that run approval queries, and room that is kept for gangs.
 */

#define LOG_INTERVAL_MS 1000
#define MILLI 1000

/* CPU of the cell, in thousandths of a core. */
typedef struct
{
  uint64_t all;
  uint64_t booked;
  uint64_t held;      /* for gangs about to start */
  uint64_t kept_idle; /* free but reserved for gangs */
  uint32_t kept;      /* workers with such reservations */
} RoomUse;

static void
add_worker (RoomUse *room, const CellWorker *worker)
{
  MuxSize reserved;
  uint64_t free_milli;

  room->all += worker->info.capacity.cpu_milli;
  room->booked += worker->booked.cpu_milli;
  room->held += worker->held.cpu_milli;
  reserved = cell_reserved_for_others (NULL, worker, INT64_MAX);
  if (reserved.cpu_milli == 0)
    return;
  free_milli = cell_worker_free (worker).cpu_milli;
  room->kept++;
  room->kept_idle
      += free_milli < reserved.cpu_milli ? free_milli : reserved.cpu_milli;
}

static RoomUse
room_use (const MuxCell *cell)
{
  RoomUse room = { 0 };
  const CellWorker *worker;
  const CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (cell_worker_usable (cell, worker))
    add_worker (&room, worker);
  return room;
}

static void
count_name (json_t *counts, const char *name)
{
  json_int_t count = json_integer_value (json_object_get (counts, name));

  (void) json_object_set_new (counts, name, json_integer (count + 1));
}

static void
log_load (MuxCell *cell, const RoomUse *room)
{
  static const char *const rank[] = { [CELL_RANK_STARVED] = "owed",
                                      [CELL_RANK_IN_TIME] = "in_time",
                                      [CELL_RANK_LATE] = "late",
                                      [CELL_RANK_WORTHLESS] = "worthless" };
  json_t *queues = json_object ();
  json_t *ranks = json_object ();
  const CellApprovalQuery *query;
  const CellApprovalQuery *next;

  HASH_ITER (hh, cell->approval_queries, query, next)
  {
    const CellStage *stage = cell_stage_find (cell, &query->step);

    if (stage == NULL)
      continue;
    count_name (queues, stage->job->spec->queue.name);
    count_name (ranks, rank[stage->rank]);
  }
  cell_log (cell, "planner_load",
            "{s:i, s:i, s:o, s:o, s:I, s:I, s:I, s:I, s:i}", "askers",
            (int) cell_queriers_alive (cell), "asking",
            (int) HASH_COUNT (cell->approval_queries), "asking_for", queues,
            "ranks", ranks, "cores", (json_int_t) (room->all / MILLI), "booked",
            (json_int_t) (room->booked / MILLI), "held",
            (json_int_t) (room->held / MILLI), "kept_idle",
            (json_int_t) (room->kept_idle / MILLI), "kept", (int) room->kept);
}

void
cell_load_log_tick (MuxCell *cell)
{
  RoomUse room;

  if (cell->time.now_ms < cell->next_load_log_ms
      || !cell_is_active_planner (cell)
      || cell->plan_order.visited.root == NULL)
    return;
  cell->next_load_log_ms = cell->time.now_ms + LOG_INTERVAL_MS;
  room = room_use (cell);
  mux_count (cell->options.counters, MUX_COUNT_KEPT_IDLE,
             room.held + room.kept_idle);
  log_load (cell, &room);
}
