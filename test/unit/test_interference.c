#include "cell/interference.h"

#include "support/random.h"
#include "support/test.h"

#include <math.h>

/* Verdicts on pairs of kinds, over random runs. */

#define SEEDS 100
#define KINDS 8
/* Seeds without an effect in which some pair may be reported. */
#define FALSE_SEEDS_MAX 5
#define RUNS_WITHOUT_EFFECT 40000
/* An effect of 1.3 is found within so many runs of the kind that it slows, in
 * all but MISSED_SEEDS_MAX seeds. */
#define RUNS_TO_FIND 2000
#define MISSED_SEEDS_MAX 3
/* After the effect has vanished it is dropped within so many of these runs, of
 * which 4 of 10 have the other kind beside them: about 2.7 times the runs that
 * the statistics cover. */
#define RUNS_TO_DROP 10000
#define SLOW UINT64_C (1)
#define OTHER UINT64_C (2)
#define STRAGGLER_FACTOR 7.0

static double
unit (MuxRandom *random)
{
  return (double) (mux_random_next (random) >> 11)
         / (double) (UINT64_C (1) << 53);
}

static double
normal (MuxRandom *random)
{
  return sqrt (-2 * log (1 - unit (random)))
         * cos (2 * acos (-1) * unit (random));
}

/* Deviation of a run: 0.2 for the declared time and 0.25 for the task, and 3%
 * that take seven times as long. */
static double
residual (MuxRandom *random, double declared_error)
{
  return declared_error + 0.25 * normal (random)
         + (mux_random_below (random, 100) < 3 ? log (STRAGGLER_FACTOR) : 0);
}

/* Each other kind runs beside it in 4 of 10 runs, for a part of it. */
static void
draw_beside (MuxRandom *random, MuxInterferenceRun *run, uint32_t kinds)
{
  run->beside_count = 0;
  for (uint32_t kind = 1; kind <= kinds; kind++)
    if (mux_random_below (random, 10) < 4)
      mux_interference_add_beside (run, kind, unit (random));
}

static double
share_of (const MuxInterferenceRun *run, uint64_t kind)
{
  for (uint32_t i = 0; i < run->beside_count; i++)
    if (run->beside[i].kind == kind)
      return run->beside[i].share;
  return 0;
}

/* Records a run of SLOW that OTHER slows by @effect. */
static void
record_slowed (MuxInterference *all, MuxRandom *random, double effect)
{
  MuxInterferenceRun run = { .kind = SLOW, .weight = 1 };

  draw_beside (random, &run, KINDS);
  run.residual = residual (random, 0.2 * normal (random))
                 + log (effect) * share_of (&run, OTHER);
  (void) mux_interference_record (all, &run);
}

/* Guards against verdicts by chance: 64 pairs are tested after each run. */
static void
test_no_pair_is_found_without_an_effect (void **state)
{
  uint32_t reported = 0;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      MuxRandom random = { seed };
      MuxInterference all = { 0 };
      uint32_t ever = 0;

      for (uint32_t i = 0; i < RUNS_WITHOUT_EFFECT; i++)
        {
          MuxInterferenceRun run
              = { .kind = 1 + mux_random_below (&random, KINDS), .weight = 1 };

          draw_beside (&random, &run, KINDS);
          run.residual = residual (&random, 0.2 * normal (&random));
          (void) mux_interference_record (&all, &run);
          ever += all.found_count;
        }
      assert_int_equal (all.count, MUX_INTERFERENCE_PAIRS_MAX);
      reported += ever > 0;
    }
  print_message ("reported in %u of %u seeds\n", reported, SEEDS);
  assert_true (reported <= FALSE_SEEDS_MAX);
}

/* Guards against counting the tasks of a step as independent: they share the
 * error of their declared time and mostly the neighbours, too. */
static void
test_no_pair_is_found_by_common_errors_of_steps (void **state)
{
  enum
  {
    TASKS = 25
  };
  uint32_t reported = 0;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      MuxRandom random = { seed };
      MuxInterference all = { 0 };
      uint32_t ever = 0;

      for (uint32_t i = 0; i < RUNS_WITHOUT_EFFECT / TASKS; i++)
        {
          MuxInterferenceRun run = { .kind = 1 + mux_random_below (&random, 2),
                                     .weight = 1.0 / TASKS };
          double error = 0.2 * normal (&random);

          draw_beside (&random, &run, KINDS);
          for (uint32_t j = 0; j < TASKS; j++)
            {
              run.residual = residual (&random, error);
              (void) mux_interference_record (&all, &run);
              ever += all.found_count;
            }
        }
      reported += ever > 0;
    }
  print_message ("reported in %u of %u seeds\n", reported, SEEDS);
  assert_true (reported <= FALSE_SEEDS_MAX);
}

/* Guards against an effect that is not found, or one that is found for another
 * kind that often runs at the same time. */
static void
test_effect_is_found (void **state)
{
  uint32_t missed = 0;
  uint32_t wrong = 0;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      MuxRandom random = { seed };
      MuxInterference all = { 0 };
      uint32_t found_at = 0;

      for (uint32_t i = 1; i <= RUNS_TO_FIND; i++)
        {
          record_slowed (&all, &random, 1.3);
          if (found_at == 0 && mux_interference_is_found (&all, SLOW, OTHER))
            found_at = i;
        }
      missed += found_at == 0;
      wrong += all.found_count
               > (mux_interference_is_found (&all, OTHER, SLOW) ? 1 : 0);
    }
  print_message ("missed in %u, wrong in %u of %u seeds\n", missed, wrong,
                 SEEDS);
  assert_true (missed <= MISSED_SEEDS_MAX);
  assert_true (wrong <= FALSE_SEEDS_MAX);
}

/* Guards against a verdict that outlasts its reason. */
static void
test_effect_that_vanishes_is_dropped (void **state)
{
  uint32_t kept = 0;

  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      MuxRandom random = { seed };
      MuxInterference all = { 0 };

      for (uint32_t i = 0; i < 2 * RUNS_TO_FIND; i++)
        record_slowed (&all, &random, 1.3);
      for (uint32_t i = 0; i < RUNS_TO_DROP; i++)
        record_slowed (&all, &random, 1);
      kept += all.found_count > 0;
    }
  print_message ("kept in %u of %u seeds\n", kept, SEEDS);
  assert_true (kept <= FALSE_SEEDS_MAX);
}

/* Guards against a verdict that comes and goes with each change of placement:
 * once the pair is kept apart no run shows the effect. */
static void
test_pair_kept_apart_stays_found (void **state)
{
  MuxRandom random = { 1 };
  MuxInterference all = { 0 };

  (void) state;
  for (uint32_t i = 0; i < 2 * RUNS_TO_FIND; i++)
    record_slowed (&all, &random, 1.3);
  assert_true (mux_interference_is_found (&all, SLOW, OTHER));
  for (uint32_t i = 0; i < RUNS_TO_DROP; i++)
    {
      MuxInterferenceRun run = { .kind = SLOW, .weight = 1 };

      run.residual = residual (&random, 0.2 * normal (&random));
      (void) mux_interference_record (&all, &run);
    }
  assert_true (mux_interference_is_found (&all, SLOW, OTHER));
}

/* Guards against a declared time that is off for all runs of a kind and counts
 * as the effect of whatever always runs beside it. */
static void
test_common_error_is_no_effect (void **state)
{
  MuxRandom random = { 1 };
  MuxInterference all = { 0 };

  (void) state;
  for (uint32_t i = 0; i < 4 * RUNS_TO_FIND; i++)
    {
      MuxInterferenceRun run = { .kind = SLOW, .weight = 1 };

      mux_interference_add_beside (&run, OTHER, 1);
      run.residual = residual (&random, log (3));
      (void) mux_interference_record (&all, &run);
    }
  assert_int_equal (all.found_count, 0);
}

/* Guards against an outage of a worker that counts as an effect of what was
 * there: all that ran in it took many times as long. */
static void
test_implausible_effect_is_not_found (void **state)
{
  MuxInterference all = { 0 };

  (void) state;
  for (uint32_t i = 0; i < RUNS_TO_FIND; i++)
    {
      MuxInterferenceRun run = { .kind = SLOW, .weight = 1 };

      if (i % 2 == 0)
        mux_interference_add_beside (&run, OTHER, 0.2);
      run.residual = i % 2 == 0 ? 0.5 : 0;
      (void) mux_interference_record (&all, &run);
      assert_int_equal (all.found_count, 0);
    }
}

static void
test_table_is_bounded_and_forgets_unused_pairs (void **state)
{
  MuxInterference all = { 0 };

  (void) state;
  for (uint64_t kind = 1; kind <= 100; kind++)
    {
      MuxInterferenceRun run = { .kind = kind, .weight = 1 };

      mux_interference_add_beside (&run, OTHER, 0.5);
      (void) mux_interference_record (&all, &run);
    }
  assert_int_equal (all.count, MUX_INTERFERENCE_PAIRS_MAX);
  assert_null (mux_interference_find (&all, 100, OTHER));
  for (uint32_t i = 0; i < 30000; i++)
    (void) mux_interference_record (
        &all, &(MuxInterferenceRun){ .kind = 1, .weight = 1 });
  {
    MuxInterferenceRun run = { .kind = 100, .weight = 1 };

    mux_interference_add_beside (&run, OTHER, 0.5);
    (void) mux_interference_record (&all, &run);
  }
  assert_int_equal (all.count, MUX_INTERFERENCE_PAIRS_MAX);
  assert_non_null (mux_interference_find (&all, 100, OTHER));
}

static void
test_pairs_of_another_daemon_are_checked (void **state)
{
  MuxInterference all = { 0 };
  MuxInterferencePair pair = { .kind = SLOW,
                               .other = OTHER,
                               .found = true,
                               .weight = 300,
                               .share_mean = 0.3,
                               .share_square = 40,
                               .product = 10,
                               .residual_square = 30 };

  (void) state;
  assert_true (mux_interference_set (&all, &pair));
  assert_true (mux_interference_set (&all, &pair));
  assert_int_equal (all.count, 1);
  assert_int_equal (all.found_count, 1);
  assert_true (mux_interference_is_found (&all, OTHER, SLOW));
  pair.share_square = -1;
  assert_false (mux_interference_set (&all, &pair));
  pair.share_square = NAN;
  assert_false (mux_interference_set (&all, &pair));
  pair.share_square = 40;
  pair.kind = 0;
  assert_false (mux_interference_set (&all, &pair));
  assert_int_equal (all.found_count, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_pair_is_found_without_an_effect),
    cmocka_unit_test (test_no_pair_is_found_by_common_errors_of_steps),
    cmocka_unit_test (test_effect_is_found),
    cmocka_unit_test (test_effect_that_vanishes_is_dropped),
    cmocka_unit_test (test_pair_kept_apart_stays_found),
    cmocka_unit_test (test_common_error_is_no_effect),
    cmocka_unit_test (test_implausible_effect_is_not_found),
    cmocka_unit_test (test_table_is_bounded_and_forgets_unused_pairs),
    cmocka_unit_test (test_pairs_of_another_daemon_are_checked),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
