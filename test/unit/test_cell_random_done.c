#include "support/chaos_variants.h"
#include "support/test.h"

/* Ends of runs at workers that were out of reach are heard while the next start
 * of their tasks is being refused: such a task must stay done, and count once.
 */
static void
test_tasks_stay_done_with_late_refusals (void **state)
{
  ChaosVariant cuts = { .cuts = true };

  (void) state;
  chaos_play_seeds (&cuts);
}

/* The same with runs that last longer than a lease, and lost planners. */
static void
test_tasks_stay_done_with_long_runs (void **state)
{
  ChaosVariant cuts = { .cuts = true, .long_tasks = true };

  (void) state;
  chaos_play_seeds (&cuts);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tasks_stay_done_with_late_refusals),
    cmocka_unit_test (test_tasks_stay_done_with_long_runs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
