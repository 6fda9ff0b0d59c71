#include "cell_private.h"

/*
 * Chooses the data centre in which the tasks of a stage run.
 *
 * During a network partition nothing is known of tasks on the other side, and
 * their jobs wait until it ends.  With tasks spread over all data centres, a
 * partition of any one delays nearly every running job; with all tasks of a job
 * in one it delays only the jobs there.  The instance that accepted the job is
 * cut off together with its data centre, which is therefore the first choice:
 * callers of the other data centres are served as before.
 *
 * If that one lacks room, the data centre with most room that holds the whole
 * step is chosen; if none holds it, tasks go to any.  Long-running tasks go to
 * any as well: a service survives the loss of some of them, but not of all.
 */

/* Most data centres that are tracked; further ones are never chosen. */
#define DATA_CENTRES_MAX 16

typedef struct
{
  uint64_t data_centre;
  uint32_t tasks; /* tasks of the stage that have room there now */
} Room;

typedef struct
{
  uint32_t count;
  Room item[DATA_CENTRES_MAX];
} Rooms;

static void
add_room (Rooms *rooms, uint64_t data_centre, uint32_t tasks)
{
  for (uint32_t i = 0; i < rooms->count; i++)
    if (rooms->item[i].data_centre == data_centre)
      {
        rooms->item[i].tasks += tasks;
        return;
      }
  if (rooms->count < DATA_CENTRES_MAX)
    rooms->item[rooms->count++] = (Room){ data_centre, tasks };
}

static uint32_t
room_in (const Rooms *rooms, uint64_t data_centre)
{
  for (uint32_t i = 0; i < rooms->count; i++)
    if (rooms->item[i].data_centre == data_centre)
      return rooms->item[i].tasks;
  return 0;
}

/* In a large cell the scan ends once the first choice is known to have enough
 * room. */
static void
sum_rooms (MuxCell *cell, const CellStage *stage, uint64_t first, Rooms *rooms)
{
  CellWorkerScan scan = cell_worker_scan_begin (cell, stage);
  uint32_t most = cell_stage_waiting_tasks (stage);
  CellWorker *worker;

  while ((worker = cell_worker_scan_next (cell, &scan)) != NULL)
    {
      uint32_t tasks = cell_worker_startable_tasks (cell, stage, worker);

      if (tasks > 0)
        add_room (rooms, worker->data_centre, tasks < most ? tasks : most);
      if (scan.is_partial && worker->data_centre == first
          && room_in (rooms, first) >= most)
        return;
    }
}

static uint64_t
choose (const Rooms *rooms, uint64_t first, uint32_t needed)
{
  const Room *best = NULL;

  for (uint32_t i = 0; i < rooms->count; i++)
    {
      const Room *room = &rooms->item[i];

      if (room->tasks < needed)
        continue;
      if (room->data_centre == first)
        return first;
      if (best == NULL || room->tasks > best->tasks)
        best = room;
    }
  return best != NULL ? best->data_centre : CELL_ANY_DATA_CENTRE;
}

void
cell_choose_data_centre (MuxCell *cell, CellStage *stage)
{
  const MuxJobSpec *spec = stage->job->spec;
  uint64_t first = mux_hash_name (spec->data_centre, 0);
  Rooms rooms = { .count = 0 };

  if (stage->spec->long_running)
    return;
  sum_rooms (cell, stage, first, &rooms);
  stage->data_centre = choose (&rooms, first, cell_stage_waiting_tasks (stage));
}

bool
cell_is_outside_data_centre (const CellStage *stage, const CellWorker *worker)
{
  return stage->data_centre != CELL_ANY_DATA_CENTRE
         && worker->data_centre != stage->data_centre;
}
