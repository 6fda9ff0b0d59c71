#include "support/cell_world.h"
#include "support/test.h"

#include <time.h>

/*
 * What the planner's core spends on a cell of 350 workers under the load of
 * 150 jobs a second, with the store, workers and policy service in memory.
 * Prints "name value unit".  The world around it is not counted.
 */

#define WORKERS 350
#define SECONDS 4
#define URGENT_PER_S 138
#define BATCH_PER_S 10
#define GANG_PER_S 5

static uint32_t
submit (World *world, uint32_t number, uint32_t tasks, uint32_t cpu, bool gang)
{
  MuxJobSpec *job = world_job (1, tasks, cpu);
  char id[16];

  job->step[0].gang = gang;
  snprintf (id, sizeof id, "job-%u", number);
  (void) world_submit (world, 0, job, id);
  return number + 1;
}

int
main (void)
{
  World *world = world_new (1, WORKERS);
  uint32_t number = 0;
  clock_t spent;

  world->task_ms = 1500;
  world->core_clock = 0;
  for (uint32_t ms = 0; ms < SECONDS * 1000; ms++)
    {
      if (ms * URGENT_PER_S / 1000 != (ms + 1) * URGENT_PER_S / 1000)
        number = submit (world, number, 3, 5000, false);
      if (ms * BATCH_PER_S / 1000 != (ms + 1) * BATCH_PER_S / 1000)
        number = submit (world, number, 25, 3500, false);
      if (ms * GANG_PER_S / 1000 != (ms + 1) * GANG_PER_S / 1000)
        number = submit (world, number, 20, 9000, true);
      world_run (world, 1);
    }
  spent = world->core_clock;
  printf ("cell_jobs %u jobs\n", number);
  printf ("cell_starts %u starts\n", world->start_count);
  printf ("cell_core_share %.1f %%\n",
          100.0 * (double) spent / CLOCKS_PER_SEC / SECONDS);
  world_free (world);
  return 0;
}
