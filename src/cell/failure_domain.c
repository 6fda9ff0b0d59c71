#include "cell_private.h"

/*
 * In which data centre the tasks of a step run.
 *
 * Nothing is heard of a task on the far side of a cut until the cut ends, and
 * its job waits for it.  With tasks spread over all data centres a cut of any
 * one delays nearly every job under way; with all of them in one it delays the
 * jobs of that one.  The instance that accepted the job is cut off together
 * with the tasks, so that its data centre is the first choice: callers of the
 * others are served as before.
 *
 * Where it lacks room, the data centre with most room that holds the whole step
 * is taken; where none does, tasks go to any.  Tasks that last go to any, too:
 * a service outlives the loss of a part of them, not that of all.
 */

/* Data centres that are told apart; those beyond are chosen by no step. */
#define DATA_CENTRES_MAX 16

typedef struct
{
  uint64_t data_centre;
  uint32_t tasks; /* of the step that have room there now */
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

/* Of a large cell no further than until the first choice is known to do. */
static void
sum_up (MuxCell *cell, const CellStage *stage, uint64_t first, Rooms *rooms)
{
  CellWorkerScan sample = cell_worker_scan_begin (cell, stage);
  uint32_t most = cell_stage_waiting_tasks (stage);
  CellWorker *worker;

  while ((worker = cell_worker_scan_next (cell, &sample)) != NULL)
    {
      uint32_t tasks = cell_worker_startable_tasks (cell, stage, worker);

      if (tasks > 0)
        add_room (rooms, worker->data_centre, tasks < most ? tasks : most);
      if (sample.is_partial && worker->data_centre == first
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
  sum_up (cell, stage, first, &rooms);
  stage->data_centre = choose (&rooms, first, cell_stage_waiting_tasks (stage));
}

bool
cell_is_outside_data_centre (const CellStage *stage, const CellWorker *worker)
{
  return stage->data_centre != CELL_ANY_DATA_CENTRE
         && worker->data_centre != stage->data_centre;
}
