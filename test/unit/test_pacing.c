#include "cell/pacing.h"

#include "support/test.h"

/* The pace of best-effort tasks, against a worker whose tail follows it. */

#define STEP_MS 1000
#define ROUNDS 60

/* Return: tail in percent of its target. */
static uint32_t
tail_at (uint32_t base, uint32_t rise_milli, uint32_t percent)
{
  return base + rise_milli * percent / 1000;
}

/* Observes the worker each second.
 * Return: how often the tail was over its target after the first @settle
 *   seconds. */
static uint32_t
play (MuxPacing *pacing,
      int64_t *now_ms,
      uint32_t base,
      uint32_t rise_milli,
      uint32_t settle)
{
  uint32_t over = 0;

  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      uint32_t tail = tail_at (base, rise_milli, pacing->percent);

      over += i >= settle && tail > 100;
      (void) mux_pacing_observe (pacing, tail, *now_ms);
      *now_ms += STEP_MS;
    }
  return over;
}

/* Tasks that add far more than a serving task has left must be cut within two
 * observations, whatever they add. */
static void
test_tail_over_its_target_is_cut_at_once (void **state)
{
  (void) state;
  for (uint32_t rise = 1000; rise <= 100000; rise += 1000)
    {
      MuxPacing pacing;

      mux_pacing_init (&pacing);
      (void) mux_pacing_observe (&pacing, tail_at (20, rise, 100), 1000);
      (void) mux_pacing_observe (&pacing, tail_at (20, rise, pacing.percent),
                                 2000);
      assert_true (tail_at (20, rise, pacing.percent) <= 100);
    }
}

/* The pace is given back up to where the tail allows, and stays there: the
 * tail must not swing over its target once a minute. */
static void
test_pace_is_given_back_without_swinging (void **state)
{
  (void) state;
  for (uint32_t rise = 200; rise <= 20000; rise += 200)
    {
      MuxPacing pacing;
      int64_t now_ms = 1000;

      mux_pacing_init (&pacing);
      assert_true (play (&pacing, &now_ms, 20, rise, 3) <= 1);
      assert_int_equal (play (&pacing, &now_ms, 20, rise, 0), 0);
      /* All of it if the tail is far below its target then, else half of what
       * that allows at least, or one percent. */
      if (tail_at (20, rise, MUX_PACING_FULL) < 70)
        assert_int_equal (pacing.percent, MUX_PACING_FULL);
      else
        assert_true (pacing.percent + 1 >= 80000 / rise / 2
                     || pacing.percent > MUX_PACING_FULL / 2);
    }
}

/* The disturbance ends: the tasks must work at their full speed again. */
static void
test_pace_is_full_again_after_a_disturbance (void **state)
{
  MuxPacing pacing;
  int64_t now_ms = 1000;

  (void) state;
  mux_pacing_init (&pacing);
  (void) play (&pacing, &now_ms, 20, 3600, 0);
  assert_true (pacing.percent < 30);
  (void) play (&pacing, &now_ms, 20, 100, 0);
  assert_int_equal (pacing.percent, MUX_PACING_FULL);
}

/* A serving task that is over its target by its own load leaves its neighbours
 * nothing; once that is over they work again. */
static void
test_load_of_the_serving_task_itself (void **state)
{
  MuxPacing pacing;
  int64_t now_ms = 1000;

  (void) state;
  mux_pacing_init (&pacing);
  (void) play (&pacing, &now_ms, 150, 100, 0);
  assert_int_equal (pacing.percent, 0);
  (void) play (&pacing, &now_ms, 20, 100, 0);
  assert_int_equal (pacing.percent, MUX_PACING_FULL);
}

/* A successor does not know the paces: where the tail is near its target it
 * must not order a higher one, and where it is over it the lowest. */
static void
test_unknown_pace (void **state)
{
  MuxPacing pacing;

  (void) state;
  mux_pacing_forget (&pacing);
  assert_false (mux_pacing_observe (&pacing, 78, 1000));
  assert_false (pacing.is_known);
  assert_true (mux_pacing_observe (&pacing, 120, 2000));
  assert_true (pacing.is_known);
  assert_int_equal (pacing.percent, 0);
  mux_pacing_forget (&pacing);
  assert_true (mux_pacing_observe (&pacing, 10, 1000));
  assert_int_equal (pacing.percent, MUX_PACING_FULL);
}

/* Nothing may start at a pace of 0 while the tail is low and no task is there
 * to observe it with. */
static void
test_pace_for_the_first_task_after_a_cut (void **state)
{
  MuxPacing pacing;

  (void) state;
  mux_pacing_init (&pacing);
  (void) mux_pacing_observe (&pacing, 200, 1000);
  mux_pacing_idle (&pacing, 90);
  assert_int_equal (pacing.percent, 0);
  mux_pacing_idle (&pacing, 20);
  assert_true (pacing.percent > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tail_over_its_target_is_cut_at_once),
    cmocka_unit_test (test_pace_is_given_back_without_swinging),
    cmocka_unit_test (test_pace_is_full_again_after_a_disturbance),
    cmocka_unit_test (test_load_of_the_serving_task_itself),
    cmocka_unit_test (test_unknown_pace),
    cmocka_unit_test (test_pace_for_the_first_task_after_a_cut),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
