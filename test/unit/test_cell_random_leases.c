#include "support/chaos_variants.h"
#include "support/test.h"

/*
 * Runs last longer than a lease, and workers' clocks are slow. Guards against a
 * task that is started elsewhere while its worker, which is out of reach, still
 * has a lease.
 */

static void
test_no_task_runs_elsewhere_during_its_lease (void **state)
{
  (void) state;
  chaos_play_seeds (&(ChaosVariant){ .gone = true, .long_tasks = true });
}

static void
test_no_task_runs_elsewhere_with_late_planners (void **state)
{
  (void) state;
  chaos_play_seeds (&(ChaosVariant){
      .gone = true, .late = true, .long_tasks = true, .same_ids = true });
}

static void
test_no_task_runs_elsewhere_with_a_slow_store (void **state)
{
  (void) state;
  chaos_play_seeds (
      &(ChaosVariant){ .late = true, .slow = true, .long_tasks = true });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_task_runs_elsewhere_during_its_lease),
    cmocka_unit_test (test_no_task_runs_elsewhere_with_late_planners),
    cmocka_unit_test (test_no_task_runs_elsewhere_with_a_slow_store),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
