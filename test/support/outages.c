#include "support/outages.h"

#include <stdio.h>

#define WAVES 5
#define WAVE_MS 4000
#define RACK_WAVES 8
#define RACK_MS 2000
#define SINGLES 20
#define SINGLE_MS 1000
#define SHORT_MS 1000
#define MEDIUM_MS 4000
#define PLANNER_DOWN_MS 2000

World *
outage_world (uint32_t cells, OutageKind kind, bool silent)
{
  static const int64_t task_ms[] = { SHORT_MS, MEDIUM_MS, OUTAGE_FOREVER_MS };
  World *world = world_new (cells, OUTAGE_WORKERS);
  char id[MUX_JOB_ID_LEN];

  world->task_ms = task_ms[kind];
  world->silent_crashes = silent;
  for (uint32_t i = 0; i < OUTAGE_JOBS; i++)
    {
      MuxJobSpec *job
          = world_job (kind == OUTAGE_LASTING ? 1 : 4, OUTAGE_TASKS, 4000);

      for (uint32_t j = 0; j < job->step_count; j++)
        {
          job->step[j].gang = kind == OUTAGE_GANG;
          job->step[j].long_running = kind == OUTAGE_LASTING;
        }
      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, 0, job, id);
    }
  world_run (world, 1000);
  return world;
}

void
outage_halves (World *world)
{
  for (uint32_t i = 0; i < WAVES; i++)
    {
      for (uint32_t j = 0; j < OUTAGE_WORKERS; j++)
        if ((j * 7 + j / 3 + i) % 2 == 0)
          world_worker_crash (world, j);
      world_run (world, WAVE_MS);
    }
}

void
outage_same_half (World *world)
{
  for (uint32_t i = 0; i < WAVES; i++)
    {
      for (uint32_t j = 0; j < OUTAGE_WORKERS; j += 2)
        world_worker_crash (world, j);
      world_run (world, WAVE_MS);
    }
}

void
outage_halves_and_planners (World *world)
{
  for (uint32_t i = 0; i < WAVES; i++)
    {
      uint32_t planner = world_planner (world);

      for (uint32_t j = i % 2; j < OUTAGE_WORKERS; j += 2)
        world_worker_crash (world, j);
      if (planner < OUTAGE_CELLS)
        world_cell_kill (world, planner);
      world_run (world, PLANNER_DOWN_MS);
      if (planner < OUTAGE_CELLS)
        world_cell_start (world, planner);
      world_run (world, WAVE_MS - PLANNER_DOWN_MS);
    }
}

void
outage_racks (World *world)
{
  for (uint32_t i = 0; i < RACK_WAVES; i++)
    {
      for (uint32_t j = 0; j < OUTAGE_RACK; j++)
        world_worker_crash (world, i % 2 * OUTAGE_RACK + j);
      world_run (world, RACK_MS);
    }
}

void
outage_singly_in_a_rack (World *world)
{
  for (uint32_t i = 0; i < SINGLES; i++)
    {
      world_worker_crash (world, i * 3 % OUTAGE_RACK);
      world_run (world, SINGLE_MS);
    }
}

uint32_t
outage_failed_jobs (World *world, uint32_t jobs)
{
  char id[MUX_JOB_ID_LEN];
  uint32_t n = 0;

  for (uint32_t i = 0; i < jobs; i++)
    {
      snprintf (id, sizeof id, "job-%u", i);
      n += world_state (world, world_planner (world), id) == MUX_JOB_FAILED;
    }
  return n;
}
