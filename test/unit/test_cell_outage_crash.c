#include "support/outages.h"
#include "support/test.h"

/* A task that crashes its workers, among outages that no task causes. */

/* One step of tasks that crash their workers, or of one that does. */
static MuxJobSpec *
crashing_job (OutageKind kind)
{
  MuxJobSpec *job = kind == OUTAGE_GANG
                        ? world_crashing_job (OUTAGE_TASKS, 4000, 1)
                        : world_crashing_job (1, 2000, 0);

  job->step[0].gang = kind == OUTAGE_GANG;
  job->step[0].long_running = kind == OUTAGE_LASTING;
  return job;
}

static void
play_with_crashing_job (uint32_t cells,
                        OutageWaves outages,
                        OutageKind kind,
                        bool silent)
{
  World *world = outage_world (cells, OUTAGE_SHORT, silent);

  print_message ("crashing job of kind %u, silent %d\n", kind, silent);
  (void) world_submit (world, 0, crashing_job (kind), "crash");
  outages (world);
  world_run (world, OUTAGE_SETTLE_MS);
  assert_false (world_over_crash_budget (world));
  assert_int_equal (world_state (world, world_planner (world), "crash"),
                    MUX_JOB_FAILED);
  assert_int_equal (outage_failed_jobs (world, OUTAGE_JOBS), 0);
  world_free (world);
}

/* A task must not pass for a victim of outages and go on crashing its workers
 * among them. */
static void
test_crashing_task_among_outages_is_given_up (void **state)
{
  static const OutageWaves outages[]
      = { outage_halves, outage_same_half, outage_racks,
          outage_singly_in_a_rack };

  (void) state;
  for (uint32_t i = 0; i < sizeof outages / sizeof outages[0]; i++)
    for (uint32_t kind = 0; kind < OUTAGE_COUNT; kind++)
      play_with_crashing_job (1, outages[i], (OutageKind) kind,
                              (i + kind) % 2 == 1);
}

/* The same, and the planner fails with each outage. */
static void
test_crashing_task_among_lost_planners_is_given_up (void **state)
{
  (void) state;
  for (uint32_t kind = 0; kind < OUTAGE_COUNT; kind++)
    for (uint32_t silent = 0; silent < 2; silent++)
      play_with_crashing_job (OUTAGE_CELLS, outage_halves_and_planners,
                              (OutageKind) kind, silent == 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_crashing_task_among_outages_is_given_up),
    cmocka_unit_test (test_crashing_task_among_lost_planners_is_given_up),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
