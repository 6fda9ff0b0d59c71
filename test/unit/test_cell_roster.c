#include "support/cell_world.h"
#include "support/test.h"

#define CELLS 3
#define WORKERS 4
/* The worker that is out of reach. */
#define LOST 0

static WorldFault *
roster_commits (World *world)
{
  return &world->cell[world_planner (world)].commits[MUX_TABLE_ROSTER];
}

/*
 * A worker is out of reach for longer than its lease.  The store does not take
 * the removal from the roster for a while, and meanwhile the last renewal is
 * given up.  Then all is well again, but the planner never asks this worker any
 * more: its room stays empty, and a gang that needs it does not start until
 * another daemon plans.  The answer of the renewal was dropped, and with it the
 * note that one is on its way.
 */
static void
test_worker_is_used_again_after_its_lease (void **state)
{
  (void) state;
  for (int64_t refused_ms = 1000; refused_ms < 3000; refused_ms += 100)
    {
      World *world = world_new (CELLS, WORKERS);
      MuxJobSpec *gang = world_job (1, WORKERS, 30000);

      gang->step[0].gang = true;
      world_run (world, 1000);
      world->worker[LOST].cut = true;
      world_run (world, 3500);
      *roster_commits (world) = WORLD_REFUSES;
      world_run (world, refused_ms);
      *roster_commits (world) = WORLD_SERVES;
      world->worker[LOST].cut = false;
      world_run (world, 2000);
      (void) world_submit (world, world_planner (world), gang, "job-a");
      world_run (world, 2000);
      assert_int_equal (world_starts (world, "job-a"), WORKERS);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_worker_is_used_again_after_its_lease),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
