#include "cell/speed_choice.h"

#include "support/test.h"

/* Choice between workers of different speeds, by the time that is left. */

/* Two thirds of the workers are 2.4 times slower than the rest. */
#define FAST 1650
#define SLOW 680
#define FAST_COUNT 117
#define SLOW_COUNT 233
#define CORES 64000
#define RUN_MS 1000

static MuxSpeedNeed
need_of (int64_t left_ms)
{
  return (MuxSpeedNeed){ .left_ms = left_ms,
                         .expected_ms = RUN_MS,
                         .slowest_milli = SLOW,
                         .fastest_milli = FAST };
}

static MuxSpeedPool
pool_of (uint32_t slow, uint32_t fast, uint32_t ones)
{
  MuxSpeedPool pool = { 0 };

  for (uint32_t i = 0; i < slow; i++)
    mux_speed_pool_add (&pool, SLOW, CORES);
  for (uint32_t i = 0; i < fast; i++)
    mux_speed_pool_add (&pool, FAST, CORES);
  for (uint32_t i = 0; i < ones; i++)
    mux_speed_pool_add (&pool, MUX_SPEED_ONE_MILLI, CORES);
  mux_speed_pool_finish (&pool);
  return pool;
}

/* Guards against choosing by speed where workers are alike, and against a pool
 * whose ends are set by single workers. */
static void
test_pool_tells_slow_and_fast_workers (void **state)
{
  MuxSpeedPool pool = pool_of (SLOW_COUNT, FAST_COUNT, 0);

  (void) state;
  assert_true (mux_speed_pool_is_uneven (&pool));
  assert_int_equal (pool.slowest_milli, SLOW);
  assert_int_equal (pool.fastest_milli, FAST);

  pool = pool_of (0, 0, 48);
  assert_false (mux_speed_pool_is_uneven (&pool));
  assert_int_equal (pool.slowest_milli, MUX_SPEED_ONE_MILLI);
  assert_int_equal (pool.fastest_milli, MUX_SPEED_ONE_MILLI);

  pool = pool_of (0, 0, 0);
  assert_false (mux_speed_pool_is_uneven (&pool));
  assert_int_equal (pool.fastest_milli, MUX_SPEED_ONE_MILLI);

  /* One worker has turned slow: it is told apart, and the pool's slow workers
   * are still the usual ones. */
  pool = pool_of (1, 0, 99);
  assert_true (mux_speed_pool_is_uneven (&pool));
  assert_int_equal (pool.fastest_milli, MUX_SPEED_ONE_MILLI);
  assert_true (pool.slowest_milli > 900);
}

/* Guards against ranking workers wrongly at each time that is left. */
static void
test_fit_depends_on_the_time_left (void **state)
{
  MuxSpeedNeed ample = need_of (2000); /* 1471 ms on slow ones + a quarter */
  MuxSpeedNeed tight = need_of (1500);
  MuxSpeedNeed urgent = need_of (1000);
  MuxSpeedNeed hopeless = need_of (500); /* 606 ms on fast ones */

  (void) state;
  assert_int_equal (mux_speed_fit (&ample, SLOW), MUX_SPEED_ENOUGH);
  assert_int_equal (mux_speed_fit (&ample, FAST), MUX_SPEED_ENOUGH);
  assert_int_equal (mux_speed_fit (&tight, SLOW), MUX_SPEED_TIGHT);
  assert_int_equal (mux_speed_fit (&tight, FAST), MUX_SPEED_NEEDED);
  assert_int_equal (mux_speed_fit (&urgent, SLOW), MUX_SPEED_TOO_SLOW);
  assert_int_equal (mux_speed_fit (&urgent, FAST), MUX_SPEED_NEEDED);
  assert_int_equal (mux_speed_fit (&hopeless, SLOW), MUX_SPEED_ENOUGH);
  assert_int_equal (mux_speed_fit (&hopeless, FAST), MUX_SPEED_ENOUGH);
}

/* Guards against fast workers taken by work that does not need them, and
 * against slow ones taken by work that would be late there. */
static void
test_cost_prefers_the_slowest_that_is_in_time (void **state)
{
  MuxSpeedNeed need = need_of (4000);

  (void) state;
  assert_true (mux_speed_cost (&need, SLOW) < mux_speed_cost (&need, FAST));
  need = need_of (1000);
  assert_true (mux_speed_cost (&need, FAST) < mux_speed_cost (&need, SLOW));
  need = need_of (500);
  assert_true (mux_speed_cost (&need, SLOW) < mux_speed_cost (&need, FAST));
  need = need_of (-100);
  assert_true (mux_speed_cost (&need, SLOW) < mux_speed_cost (&need, FAST));
  /* A worker that has become far slower than the pool's slow ones. */
  need = need_of (4000);
  assert_true (mux_speed_cost (&need, FAST) < mux_speed_cost (&need, SLOW / 3));
}

/* Guards against a cost that leaves its range, by which it is ranked below the
 * rules of placement, or that falls as a worker gets slower than needed. */
static void
test_cost_stays_in_range (void **state)
{
  (void) state;
  for (int64_t left = -3000; left <= 6000; left += 50)
    for (uint32_t speed = 50; speed <= 5000; speed += 50)
      {
        MuxSpeedNeed need = need_of (left);
        uint32_t risk
            = mux_speed_risk_milli (mux_speed_run_ms (RUN_MS, speed), left);

        assert_true (mux_speed_cost (&need, speed) <= MUX_SPEED_COST_MAX);
        assert_true (risk <= 1000);
        assert_true (
            mux_speed_risk_milli (mux_speed_run_ms (RUN_MS, speed + 50), left)
            <= risk);
      }
}

/* Guards against any difference between workers of an even pool. */
static void
test_equal_speeds_have_equal_cost (void **state)
{
  (void) state;
  for (int64_t left = -3000; left <= 6000; left += 50)
    {
      MuxSpeedNeed need = { .left_ms = left,
                            .expected_ms = RUN_MS,
                            .slowest_milli = MUX_SPEED_ONE_MILLI,
                            .fastest_milli = MUX_SPEED_ONE_MILLI };

      assert_int_not_equal (mux_speed_fit (&need, MUX_SPEED_ONE_MILLI),
                            MUX_SPEED_TOO_SLOW);
    }
}

/* Guards against waiting that gains nothing, and against taking a slow worker
 * just before a fast one gets room. */
static void
test_waits_only_for_what_ends_sooner_and_in_time (void **state)
{
  MuxSpeedNeed need = need_of (1000);
  MuxSpeedWait wait
      = { .free_milli = SLOW, .fast_milli = FAST, .opens_ms = 300 };

  (void) state;
  assert_true (mux_speed_should_wait (&need, &wait));
  /* Too late there as well. */
  wait.opens_ms = 500;
  assert_false (mux_speed_should_wait (&need, &wait));
  /* In time on the free worker as often as not: the fast one is safer. */
  wait.opens_ms = 300;
  need.left_ms = 1480;
  assert_true (mux_speed_should_wait (&need, &wait));
  /* In time with margin on the free worker. */
  need.left_ms = 2200;
  assert_false (mux_speed_should_wait (&need, &wait));
  /* It would end sooner on the free worker. */
  need.left_ms = 1480;
  wait.opens_ms = 900;
  assert_false (mux_speed_should_wait (&need, &wait));
  wait.opens_ms = 300;
  /* The forecast was wrong for as long as waiting could gain. */
  need.left_ms = 1000;
  wait.waited_ms = 900;
  assert_false (mux_speed_should_wait (&need, &wait));
  /* Late anyway. */
  wait.waited_ms = 0;
  need.left_ms = 400;
  assert_false (mux_speed_should_wait (&need, &wait));
}

/* Guards against a gang spread over uneven workers, on fast workers without
 * need, or on slow ones that make it late. */
static void
test_gang_takes_the_cheapest_set_in_time (void **state)
{
  MuxSpeedOffer offer[] = {
    { SLOW, 8, 0 }, { FAST, 8, 0 }, { SLOW, 8, 0 },
    { FAST, 8, 0 }, { SLOW, 8, 0 },
  };
  MuxSpeedNeed need = need_of (4000);
  MuxSpeedSet set = mux_speed_choose_set (offer, 5, &need, 16);

  (void) state;
  assert_int_equal (set.speed_milli, SLOW);
  assert_true (set.in_time);
  need = need_of (1200);
  set = mux_speed_choose_set (offer, 5, &need, 16);
  assert_int_equal (set.speed_milli, FAST);
  assert_int_equal (set.start_ms, 0);
  assert_false (set.is_mixed);
  /* The fast ones alone don't hold it. */
  set = mux_speed_choose_set (offer, 5, &need, 17);
  assert_int_equal (set.speed_milli, SLOW);
  assert_false (set.in_time);
  /* The slow ones alone don't either. */
  need = need_of (4000);
  set = mux_speed_choose_set (offer, 5, &need, 25);
  assert_int_equal (set.speed_milli, SLOW);
  assert_true (set.is_mixed);
  set = mux_speed_choose_set (offer, 5, &need, 41);
  assert_int_equal (set.speed_milli, 0);
  set = mux_speed_choose_set (offer, 0, &need, 1);
  assert_int_equal (set.speed_milli, 0);
}

/* Guards against holding a gang back for fast workers that come too late, and
 * against starting it on slow ones where it can't be in time. */
static void
test_gang_weighs_slow_now_against_fast_later (void **state)
{
  MuxSpeedOffer offer[] = { { SLOW, 16, 0 }, { FAST, 16, 1000 } };
  MuxSpeedNeed need = need_of (2000);
  MuxSpeedSet set = mux_speed_choose_set (offer, 2, &need, 16);

  (void) state;
  /* 1471 ms now with margin, before 1606 ms. */
  assert_int_equal (set.speed_milli, SLOW);
  /* Only the fast ones end in time, at 300 + 606 ms. */
  offer[1].at_ms = 300;
  need = need_of (1300);
  set = mux_speed_choose_set (offer, 2, &need, 16);
  assert_int_equal (set.speed_milli, FAST);
  assert_int_equal (set.start_ms, 300);
  assert_true (set.in_time);
  /* Late on both: it starts where it can now. */
  need = need_of (500);
  set = mux_speed_choose_set (offer, 2, &need, 16);
  assert_int_equal (set.speed_milli, SLOW);
  assert_int_equal (set.start_ms, 0);
  assert_false (set.in_time);
}

/* Guards against a choice that depends on small differences of estimates. */
static void
test_even_speeds_are_one_step (void **state)
{
  (void) state;
  assert_int_equal (mux_speed_above (1000, 1000), 0);
  assert_int_equal (mux_speed_above (1290, 1000), 0);
  assert_int_equal (mux_speed_above (900, 1000), 0);
  assert_int_equal (mux_speed_above (1300, 1000), 1);
  assert_int_equal (mux_speed_above (FAST, SLOW), 3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pool_tells_slow_and_fast_workers),
    cmocka_unit_test (test_fit_depends_on_the_time_left),
    cmocka_unit_test (test_cost_prefers_the_slowest_that_is_in_time),
    cmocka_unit_test (test_cost_stays_in_range),
    cmocka_unit_test (test_equal_speeds_have_equal_cost),
    cmocka_unit_test (test_waits_only_for_what_ends_sooner_and_in_time),
    cmocka_unit_test (test_gang_takes_the_cheapest_set_in_time),
    cmocka_unit_test (test_gang_weighs_slow_now_against_fast_later),
    cmocka_unit_test (test_even_speeds_are_one_step),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
