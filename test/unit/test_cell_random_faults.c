#include "support/chaos_variants.h"
#include "support/test.h"

/* The same as test_cell_random, with further faults. */

/* The same, and half of the workers crash at once at times. */
static void
test_nor_with_outages (void **state)
{
  ChaosVariant outages = { .crashes = true, .outages = true };

  (void) state;
  chaos_play_seeds (&outages);
}

/* The same, and workers' room shrinks and grows. */
static void
test_nor_with_room_that_changes (void **state)
{
  ChaosVariant rooms = { .rooms = true };

  (void) state;
  chaos_play_seeds (&rooms);
}

/* The same with workers that crash, and start again under their ids. */
static void
test_nor_with_workers_that_keep_their_ids (void **state)
{
  ChaosVariant same_ids = { .crashes = true, .same_ids = true };

  (void) state;
  chaos_play_seeds (&same_ids);
}

/* The same with bursts of callers: the usual service is back soon after, and
 * what was refused in them does not run. */
static void
test_nor_with_bursts_of_callers (void **state)
{
  ChaosVariant bursts = { .bursts = true };

  (void) state;
  chaos_play_seeds (&bursts);
}

/* The same with workers gone, and planners lost one after the other. */
static void
test_nor_with_workers_gone_and_planners_lost_in_a_row (void **state)
{
  ChaosVariant gone = { .gone = true };

  (void) state;
  chaos_play_seeds (&gone);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nor_with_outages),
    cmocka_unit_test (test_nor_with_room_that_changes),
    cmocka_unit_test (test_nor_with_workers_that_keep_their_ids),
    cmocka_unit_test (test_nor_with_bursts_of_callers),
    cmocka_unit_test (test_nor_with_workers_gone_and_planners_lost_in_a_row),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
