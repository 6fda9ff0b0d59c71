#include "support/chaos_variants.h"
#include "support/test.h"

/* Tasks that always fail, with daemons, store and workers that fail at random:
 * each is started as often as its queue allows, and no more. */

static void
play (uint32_t attempts)
{
  ChaosVariant variant = { .attempts = attempts };

  chaos_play_seeds (&variant);
}

/* Ends are told again to a successor, and count once. */
static void
test_few_attempts_are_used (void **state)
{
  (void) state;
  play (2);
}

/* More failures than an earlier version tells apart. */
static void
test_many_attempts_are_used (void **state)
{
  (void) state;
  play (17);
}

/* Planners and workers are lost on the way. */
static void
test_many_attempts_are_used_with_lost_planners (void **state)
{
  ChaosVariant variant = { .attempts = 24, .gone = true };

  (void) state;
  chaos_play_seeds (&variant);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_few_attempts_are_used),
    cmocka_unit_test (test_many_attempts_are_used),
    cmocka_unit_test (test_many_attempts_are_used_with_lost_planners),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
