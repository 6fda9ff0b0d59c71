#include "support/chaos_variants.h"
#include "support/test.h"

/* The randomized test of test_cell_random.c, where calls never get a reply. */

/* Guards against a job that stands still for a call that nobody ends. */
static void
test_jobs_end_once_with_calls_that_get_no_reply (void **state)
{
  ChaosVariant swallowed = { .swallowed = true };

  (void) state;
  chaos_play_seeds (&swallowed);
}

/* Guards against the same behind daemons that are late: a reply that waits
 * there is no lost one. */
static void
test_jobs_end_once_with_late_daemons_and_no_replies (void **state)
{
  ChaosVariant swallowed = { .swallowed = true, .late = true };

  (void) state;
  chaos_play_seeds (&swallowed);
}

/* Guards against the same with workers that crash and keep their ids. */
static void
test_jobs_end_once_with_crashes_and_no_replies (void **state)
{
  ChaosVariant swallowed
      = { .swallowed = true, .crashes = true, .same_ids = true };

  (void) state;
  chaos_play_seeds (&swallowed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_end_once_with_calls_that_get_no_reply),
    cmocka_unit_test (test_jobs_end_once_with_late_daemons_and_no_replies),
    cmocka_unit_test (test_jobs_end_once_with_crashes_and_no_replies),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
