#include "base/memory_account.h"
#include "support/test.h"

/* Guards against reservations that exceed the limit in sum, or by overflow. */
static void
test_limit_holds_for_the_sum (void **state)
{
  MuxMemoryAccount account = { .limit_bytes = 100 };

  (void) state;
  assert_true (mux_memory_reserve (&account, 60));
  assert_false (mux_memory_reserve (&account, 41));
  assert_int_equal (account.held_bytes, 60);
  assert_true (mux_memory_reserve (&account, 40));
  assert_false (mux_memory_reserve (&account, 1));
  assert_false (mux_memory_reserve (&account, UINT64_MAX));
  mux_memory_release (&account, 100);
  assert_int_equal (account.held_bytes, 0);
  assert_int_equal (account.peak_bytes, 100);
  assert_true (mux_memory_reserve (&account, 100));
}

/* Guards against connections that leave no memory for bodies. */
static void
test_plan_divides_the_memory (void **state)
{
  MuxMemoryPlan plan = mux_memory_plan (4000, 10, 100);

  (void) state;
  assert_int_equal (plan.connections_max, 10);
  assert_int_equal (plan.body_bytes, 3000);
  plan = mux_memory_plan (4000, 100, 100);
  assert_int_equal (plan.connections_max, 30);
  assert_int_equal (plan.body_bytes, 1000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_holds_for_the_sum),
    cmocka_unit_test (test_plan_divides_the_memory),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
