#include "support/cell_world.h"
#include "support/test.h"

/* Random schedules of two workspaces whose quotas change, under faults of
 * daemons, workers and the store. */

#define CELLS 3
#define WORKERS 10
#define CPU_MILLI 4000
#define SEEDS 12
#define PLAY_MS 25000
#define SETTLE_MS 60000
#define STEP_MS 50
#define JOBS_MAX 400
#define TASKS_MAX 6
#define QUOTA_MIN_TASKS 8
#define QUOTA_SPREAD_TASKS 24
#define GANG_PERCENT 30
#define PERCENT 100

static const char *const names[] = { "desk", "night" };

typedef struct
{
  World *world;
  uint64_t random;
  uint32_t jobs;
  uint64_t call[JOBS_MAX];
  uint32_t frozen; /* index of the frozen daemon; CELLS: none */
  uint32_t cut;    /* index of the worker cut off; WORKERS: none */
} Play;

static uint32_t
below (Play *play, uint32_t n)
{
  play->random = play->random * UINT64_C (6364136223846793005)
                 + UINT64_C (1442695040888963407);
  return (uint32_t) (play->random >> 33) % n;
}

static bool
chance (Play *play, uint32_t percent)
{
  return below (play, PERCENT) < percent;
}

static void
change_quotas (Play *play)
{
  MuxQuota quota = { 0 };

  quota.cpu_milli = (uint64_t) CPU_MILLI
                    * (QUOTA_MIN_TASKS + below (play, QUOTA_SPREAD_TASKS));
  world_set_workspaces (play->world, world_workspaces (names, 2, quota));
}

static void
submit (Play *play)
{
  uint32_t tasks = 1 + below (play, TASKS_MAX);
  MuxJobSpec *job = world_job (1 + below (play, 2), tasks, CPU_MILLI);
  char id[MUX_JOB_ID_LEN];

  if (play->jobs == JOBS_MAX)
    {
      mux_job_free (job);
      return;
    }
  job->step[0].gang = tasks > 1 && chance (play, GANG_PERCENT);
  snprintf (id, sizeof id, "job-%u", play->jobs);
  world_set_key (play->world, names[below (play, 2)]);
  play->call[play->jobs++]
      = world_submit (play->world, below (play, CELLS), job, id);
}

static void
disturb_daemons (Play *play)
{
  World *world = play->world;
  uint32_t cell = below (play, CELLS);

  if (play->frozen < CELLS)
    {
      world->cell[play->frozen].frozen = false;
      play->frozen = CELLS;
    }
  else if (chance (play, 50))
    {
      play->frozen = cell;
      world->cell[cell].frozen = true;
    }
  else
    world_cell_start (world, cell);
}

static void
disturb_workers (Play *play)
{
  World *world = play->world;

  if (play->cut < WORKERS)
    {
      world->worker[play->cut].unreachable = false;
      world->worker[play->cut].fault = WORLD_SERVES;
      play->cut = WORKERS;
      return;
    }
  play->cut = below (play, WORKERS);
  if (chance (play, 50))
    world->worker[play->cut].unreachable = true;
  else
    world->worker[play->cut].fault = WORLD_LATE;
}

static void
disturb_store (Play *play)
{
  static const WorldFault faults[]
      = { WORLD_SERVES, WORLD_SERVES, WORLD_REFUSES, WORLD_LOSES_ANSWER };

  play->world->cell[below (play, CELLS)].store = faults[below (play, 4)];
}

static void
step (Play *play)
{
  if (chance (play, 45))
    submit (play);
  if (chance (play, 2))
    change_quotas (play);
  if (chance (play, 3))
    disturb_daemons (play);
  if (chance (play, 4))
    disturb_workers (play);
  if (chance (play, 3))
    disturb_store (play);
  world_run (play->world, STEP_MS);
}

static void
end_disturbances (Play *play)
{
  for (uint32_t i = 0; i < CELLS; i++)
    {
      play->world->cell[i].frozen = false;
      play->world->cell[i].store = WORLD_SERVES;
    }
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      play->world->worker[i].unreachable = false;
      play->world->worker[i].fault = WORLD_SERVES;
    }
  world_set_workspaces (
      play->world,
      world_workspaces (
          names, 2,
          (MuxQuota){ .cpu_milli = (uint64_t) CPU_MILLI * QUOTA_MIN_TASKS }));
}

static uint32_t
not_ended (Play *play)
{
  uint32_t left = 0;

  world_set_key (play->world, names[0]);
  for (uint32_t i = 0; i < play->jobs; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      left += play->world->answered[play->call[i]]
              && play->world->response[play->call[i]].outcome
                     == MUX_RESPONSE_ACCEPTED
              && world_row (play->world, MUX_TABLE_JOBS, id) != NULL;
    }
  return left;
}

static void
test_no_workspace_exceeds_its_quota (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      Play play = { .world = world_new (CELLS, WORKERS),
                    .random = seed,
                    .frozen = CELLS,
                    .cut = WORKERS };

      play.world->late_ms = 1500;
      play.world->task_ms = 900;
      change_quotas (&play);
      world_run (play.world, 3000);
      while (play.world->now_ms < PLAY_MS)
        step (&play);
      end_disturbances (&play);
      world_run (play.world, SETTLE_MS);
      print_message ("seed %u: %u jobs, %u starts, %u over quota, %u left\n",
                     (unsigned) seed, play.jobs, play.world->start_count,
                     play.world->over_quota, not_ended (&play));
      assert_int_equal (play.world->over_quota, 0);
      assert_int_equal (play.world->over_capacity, 0);
      assert_false (world_double_run_acked (play.world));
      assert_int_equal (not_ended (&play), 0);
      world_free (play.world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_workspace_exceeds_its_quota),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
