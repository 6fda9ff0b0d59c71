#include "cell/traffic_limit.h"
#include "support/test.h"

/* What a planner with a full link or processor leaves out. */

#define UPDATE_MS 250
#define LATE_MS 800
#define IN_TIME_MS 30
#define WANTED 100
#define NEEDED 20

static int64_t
update (MuxTrafficLimit *limit,
        int64_t now_ms,
        uint32_t updates,
        int64_t late_ms,
        uint32_t capacity_milli)
{
  for (uint32_t i = 0; i < updates; i++)
    mux_traffic_limit_update (limit, now_ms += UPDATE_MS, late_ms,
                              capacity_milli);
  return now_ms;
}

/* Guards against a planner in time that leaves something out. */
static void
test_planner_in_time_is_not_limited (void **state)
{
  MuxTrafficLimit limit;

  (void) state;
  mux_traffic_limit_reset (&limit, 1000);
  (void) update (&limit, 1000, 100, IN_TIME_MS, MUX_TRAFFIC_FULL_MILLI);
  assert_int_equal (limit.level_milli, MUX_TRAFFIC_FULL_MILLI);
  assert_int_equal (mux_traffic_limit_count (&limit, WANTED, NEEDED), WANTED);
  assert_int_equal (mux_traffic_limit_pause_ms (&limit, 4000), 0);
}

/* Guards against a limit that leaves out what is needed, or never ends. */
static void
test_late_planner_is_limited_until_it_is_in_time (void **state)
{
  MuxTrafficLimit limit;
  int64_t now_ms = 1000;

  (void) state;
  mux_traffic_limit_reset (&limit, now_ms);
  now_ms = update (&limit, now_ms, 40, LATE_MS, MUX_TRAFFIC_FULL_MILLI);
  assert_true (limit.level_milli < MUX_TRAFFIC_FULL_MILLI / 4);
  assert_true (limit.level_milli > 0);
  assert_true (mux_traffic_limit_count (&limit, WANTED, NEEDED) < WANTED / 2);
  assert_true (mux_traffic_limit_count (&limit, WANTED, NEEDED) >= NEEDED);
  assert_int_equal (mux_traffic_limit_count (&limit, NEEDED, WANTED), NEEDED);
  assert_true (mux_traffic_limit_pause_ms (&limit, 4000) > 2000);
  (void) update (&limit, now_ms, 20, IN_TIME_MS, MUX_TRAFFIC_FULL_MILLI);
  assert_int_equal (limit.level_milli, MUX_TRAFFIC_FULL_MILLI);
}

/* Guards against a level that rises beyond what the instance can carry, as
 * replies are in time just because of the limit. */
static void
test_capacity_bounds_the_level (void **state)
{
  MuxTrafficLimit limit;

  (void) state;
  mux_traffic_limit_reset (&limit, 1000);
  (void) update (&limit, 1000, 20, IN_TIME_MS, 500);
  assert_int_equal (limit.level_milli, 500);
  (void) update (&limit, 100000, 20, IN_TIME_MS, 5000);
  assert_int_equal (limit.level_milli, MUX_TRAFFIC_FULL_MILLI);
}

/* Guards against a level that follows each single tick. */
static void
test_updates_in_quick_succession_count_once (void **state)
{
  MuxTrafficLimit limit;

  (void) state;
  mux_traffic_limit_reset (&limit, 1000);
  for (int64_t now_ms = 1000; now_ms <= 1000 + UPDATE_MS; now_ms++)
    mux_traffic_limit_update (&limit, now_ms, LATE_MS, MUX_TRAFFIC_FULL_MILLI);
  assert_int_equal (limit.level_milli, 700);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_planner_in_time_is_not_limited),
    cmocka_unit_test (test_late_planner_is_limited_until_it_is_in_time),
    cmocka_unit_test (test_capacity_bounds_the_level),
    cmocka_unit_test (test_updates_in_quick_succession_count_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
