#include "cell/cancel_age.h"
#include "support/test.h"

/* When a planner's knowledge of cancels is recent enough to start tasks. */

/* A feed that waits for changes for a second, and the store's replies. */
#define QUIET_AGE_MS 1050
#define STEP_MS 10

static bool
allows (int64_t age_ms, int64_t feed_ms, int64_t order_ms)
{
  MuxCancelAge known
      = { .age_ms = age_ms, .feed_ms = feed_ms, .order_ms = order_ms };

  return mux_cancel_allows_start (&known);
}

/* Guards against a normal day that is slowed: a feed that waits, slow stores,
 * workers behind proxies. */
static void
test_waiting_feed_allows_starts (void **state)
{
  (void) state;
  assert_true (allows (0, 0, 0));
  for (int64_t store_ms = 0; store_ms <= 500; store_ms += STEP_MS)
    assert_true (allows (QUIET_AGE_MS + 2 * store_ms, store_ms, 300));
}

/* Guards against a start 3.78 s after its job's cancel, as observed behind a
 * saturated link, whatever part of that is which delay. */
static void
test_sum_beyond_the_bound_allows_none (void **state)
{
  (void) state;
  for (int64_t order_ms = 0; order_ms <= 3780; order_ms += STEP_MS)
    assert_false (allows (3780 - order_ms, 0, order_ms));
  assert_false (allows (QUIET_AGE_MS, 600, 2100));
  assert_false (allows (3000, 600, 200));
}

/* Guards against a limit that closes sooner than the planner stops for want of
 * the list of workers, 3 s after its last reply. */
static void
test_silent_store_allows_starts_for_three_seconds (void **state)
{
  (void) state;
  assert_true (allows (3000, 600, 50));
  assert_false (allows (3100, 600, 50));
}

static void
test_delay_follows_a_saturated_link (void **state)
{
  MuxDelay delay = { .count = 0 };
  int64_t now_ms = 0;

  (void) state;
  assert_int_equal (mux_delay_ms (&delay), 0);
  for (uint32_t i = 0; i < 1000; i++)
    mux_delay_add (&delay, now_ms += STEP_MS, 20, 20);
  assert_int_equal (mux_delay_ms (&delay), 20);
  for (uint32_t i = 0; i < 16; i++)
    mux_delay_add (&delay, now_ms += STEP_MS, 1500, 1500);
  assert_true (mux_delay_ms (&delay) > 1500);
  for (uint32_t i = 0; i < 200; i++)
    mux_delay_add (&delay, now_ms += STEP_MS, 20, 20);
  assert_true (mux_delay_ms (&delay) < 40);
}

/* Guards against one slow worker in a hundred that holds all starts back. */
static void
test_single_slow_worker_is_no_delay (void **state)
{
  MuxDelay delay = { .count = 0 };
  int64_t now_ms = 0;
  uint32_t held = 0;

  (void) state;
  for (uint32_t i = 0; i < 10000; i++)
    {
      int64_t took_ms = i % 100 == 0 ? 700 : 20;

      mux_delay_add (&delay, now_ms += STEP_MS, took_ms, took_ms);
      held += !allows (QUIET_AGE_MS, 100, mux_delay_ms (&delay));
    }
  assert_int_equal (held, 0);
}

/* Guards against a reply that waited for a change and counts as late. */
static void
test_wait_for_a_change_is_no_delay (void **state)
{
  MuxDelay delay = { .count = 0 };
  int64_t now_ms = 0;

  (void) state;
  for (int64_t took_ms = 0; took_ms < 1000; took_ms += STEP_MS)
    mux_delay_add (&delay, now_ms += STEP_MS, took_ms - 1000, took_ms);
  assert_int_equal (mux_delay_ms (&delay), 0);
  mux_delay_add (&delay, now_ms + STEP_MS, 300, 1300);
  assert_true (mux_delay_ms (&delay) > 0);
}

/* Guards against a single worker's slow reply of long ago. */
static void
test_old_delays_are_forgotten (void **state)
{
  MuxDelay delay = { .count = 0 };

  (void) state;
  for (int64_t i = 0; i < 20; i++)
    mux_delay_add (&delay, i * STEP_MS, 2000, 2000);
  mux_delay_add (&delay, 10000, 5, 5);
  assert_int_equal (mux_delay_ms (&delay), 5);
}

/* Guards against a ranged value that takes up an expired mean: where all
 * replies are held back, a hiccup would count for ever. */
static void
test_wait_for_a_change_does_not_keep_old_delays (void **state)
{
  MuxDelay delay = { .count = 0 };

  (void) state;
  for (int64_t i = 0; i < 20; i++)
    mux_delay_add (&delay, i * STEP_MS, 900, 900);
  mux_delay_add (&delay, 10000, -1000, 2000);
  assert_int_equal (mux_delay_ms (&delay), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_feed_allows_starts),
    cmocka_unit_test (test_sum_beyond_the_bound_allows_none),
    cmocka_unit_test (test_silent_store_allows_starts_for_three_seconds),
    cmocka_unit_test (test_delay_follows_a_saturated_link),
    cmocka_unit_test (test_single_slow_worker_is_no_delay),
    cmocka_unit_test (test_wait_for_a_change_is_no_delay),
    cmocka_unit_test (test_old_delays_are_forgotten),
    cmocka_unit_test (test_wait_for_a_change_does_not_keep_old_delays),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
