#include "support/chaos_variants.h"
#include "support/test.h"

/* The randomized test of test_cell_random.c, with further faults. */

/* Half of the workers crash at once at times. */
static void
test_jobs_end_once_with_outages (void **state)
{
  ChaosVariant outages = { .crashes = true, .outages = true };

  (void) state;
  chaos_play_seeds (&outages);
}

/* Workers' room shrinks and grows. */
static void
test_jobs_end_once_with_room_that_changes (void **state)
{
  ChaosVariant rooms = { .rooms = true };

  (void) state;
  chaos_play_seeds (&rooms);
}

/* Workers crash and start again under their ids. */
static void
test_jobs_end_once_with_workers_that_keep_their_ids (void **state)
{
  ChaosVariant same_ids = { .crashes = true, .same_ids = true };

  (void) state;
  chaos_play_seeds (&same_ids);
}

/* Bursts of callers: the usual service is back soon after, and jobs refused
 * in them do not run. */
static void
test_jobs_end_once_with_bursts_of_callers (void **state)
{
  ChaosVariant bursts = { .bursts = true };

  (void) state;
  chaos_play_seeds (&bursts);
}

/* Workers are lost, and planners one after the other. */
static void
test_jobs_end_once_with_lost_workers_and_planner_failures (void **state)
{
  ChaosVariant gone = { .gone = true };

  (void) state;
  chaos_play_seeds (&gone);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_end_once_with_outages),
    cmocka_unit_test (test_jobs_end_once_with_room_that_changes),
    cmocka_unit_test (test_jobs_end_once_with_workers_that_keep_their_ids),
    cmocka_unit_test (test_jobs_end_once_with_bursts_of_callers),
    cmocka_unit_test (
        test_jobs_end_once_with_lost_workers_and_planner_failures),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
