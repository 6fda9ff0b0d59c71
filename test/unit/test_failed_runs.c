#include "cell/failed_runs.h"
#include "support/random.h"
#include "support/test.h"

#include <stdlib.h>

/* Failed runs of a task, each of which counts once. */

#define RUNS_MAX 600
#define HISTORIES 3000
#define STEPS 400

static bool
add (MuxFailedRuns *failed, uint32_t run)
{
  assert_true (mux_failed_runs_reserve (failed));
  return mux_failed_runs_add (failed, run);
}

/* An end that is told again, in any order, counts once; what fails one after
 * the other takes one range. */
static void
test_each_run_counts_once (void **state)
{
  static const uint32_t runs[] = { 5, 1, 3, 2, 4, 9, 7, 8, 4, 1, 9 };
  MuxFailedRuns failed = { .count = 0 };

  (void) state;
  for (size_t i = 0; i < sizeof runs / sizeof runs[0]; i++)
    assert_int_equal (add (&failed, runs[i]), i < 8);
  assert_int_equal (failed.count, 8);
  assert_int_equal (failed.range_count, 2);
  assert_int_equal (failed.range[0].first, 1);
  assert_int_equal (failed.range[0].last, 5);
  assert_int_equal (failed.range[1].first, 7);
  assert_int_equal (failed.range[1].last, 9);
  mux_failed_runs_clear (&failed);
}

/* Run numbers up to the highest one must neither wrap around nor join. */
static void
test_highest_run_numbers (void **state)
{
  MuxFailedRuns failed = { .count = 0 };

  (void) state;
  assert_true (add (&failed, UINT32_MAX));
  assert_true (add (&failed, UINT32_MAX - 1));
  assert_true (add (&failed, 1));
  assert_false (add (&failed, UINT32_MAX));
  assert_int_equal (failed.range_count, 2);
  assert_int_equal (failed.count, 3);
  mux_failed_runs_clear (&failed);
}

/* A count that wraps around gives a task all its attempts again. */
static void
test_count_does_not_wrap (void **state)
{
  MuxFailedRuns failed = { .count = UINT32_MAX - 1 };

  (void) state;
  for (uint32_t run = 1; run <= 3; run++)
    {
      assert_true (add (&failed, run));
      assert_int_equal (failed.count, UINT32_MAX);
    }
  mux_failed_runs_clear (&failed);
}

/* Memory must not grow with the number of attempts. */
static void
test_many_attempts_take_no_memory (void **state)
{
  MuxFailedRuns failed = { .count = 0 };

  (void) state;
  for (uint32_t run = 1; run < 200000; run += 2)
    {
      mux_failed_runs_close (&failed, run - 1, MUX_FAILED_RUNS_LISTED);
      assert_true (add (&failed, run));
      assert_false (add (&failed, run));
    }
  assert_int_equal (failed.count, 100000);
  assert_true (failed.range_count <= MUX_FAILED_RUNS_LISTED + 1);
  assert_true (mux_failed_runs_bytes (&failed) < 512);
  mux_failed_runs_clear (&failed);
}

/* Runs that an earlier version can read are not forgotten. */
static void
test_few_failed_runs_are_kept (void **state)
{
  MuxFailedRuns failed = { .count = 0 };

  (void) state;
  for (uint32_t run = 2; run < 2 * MUX_FAILED_RUNS_LISTED; run += 2)
    {
      mux_failed_runs_close (&failed, run - 1, MUX_FAILED_RUNS_LISTED);
      assert_true (add (&failed, run));
    }
  assert_int_equal (failed.range_count, MUX_FAILED_RUNS_LISTED - 1);
  assert_int_equal (failed.closed_through, 0);
  mux_failed_runs_clear (&failed);
}

/* Closing within a range keeps what is above. */
static void
test_close_within_a_range (void **state)
{
  MuxFailedRuns failed = { .count = 0 };

  (void) state;
  for (uint32_t run = 1; run <= 30; run++)
    assert_true (add (&failed, run));
  mux_failed_runs_close (&failed, 20, MUX_FAILED_RUNS_LISTED);
  assert_int_equal (failed.count, 30);
  assert_int_equal (failed.range[0].first, 21);
  assert_false (add (&failed, 20));
  assert_false (add (&failed, 21));
  assert_true (add (&failed, 31));
  mux_failed_runs_close (&failed, 40, MUX_FAILED_RUNS_LISTED);
  assert_int_equal (failed.range_count, 0);
  assert_int_equal (mux_failed_runs_bytes (&failed), 0);
  assert_false (add (&failed, 35));
  assert_true (add (&failed, 41));
  assert_int_equal (failed.count, 32);
  mux_failed_runs_clear (&failed);
}

/**
 * struct History - runs of one task, its planners and their store
 * @failed: of the planner
 * @stored: as of its last commit
 * @run: the last one started
 * @ended: it has ended
 * @failures: runs that failed
 * @unacknowledged: ends that their workers tell again, by run
 * @told: of these, those that the planner has heard of
 * @in_store: of these, those whose failure is stored, so that they may be
 *   acknowledged
 */
typedef struct
{
  MuxRandom random;
  MuxFailedRuns failed;
  MuxFailedRuns stored;
  uint32_t run;
  bool ended;
  uint32_t failures;
  bool unacknowledged[RUNS_MAX];
  bool told[RUNS_MAX];
  bool in_store[RUNS_MAX];
} History;

static void
copy (MuxFailedRuns *to, const MuxFailedRuns *from)
{
  mux_failed_runs_clear (to);
  for (uint32_t i = 0; i < from->range_count; i++)
    assert_true (mux_failed_runs_append (to, from->range[i]));
  to->count = from->count;
  to->closed_through = from->closed_through;
}

static void
tell (History *h, uint32_t run)
{
  (void) add (&h->failed, run);
  h->told[run] = true;
}

static void
tell_some (History *h, uint32_t one_in)
{
  for (uint32_t n = 0; n <= h->run; n++)
    {
      uint32_t run = mux_random_below (&h->random, h->run + 1);

      if (h->unacknowledged[run] && mux_random_below (&h->random, one_in) == 0)
        tell (h, run);
    }
}

/* All workers have listed their ends. */
static void
tell_all (History *h)
{
  for (uint32_t run = h->run; run > 0; run--)
    if (h->unacknowledged[run])
      tell (h, run);
}

static void
commit (History *h)
{
  copy (&h->stored, &h->failed);
  for (uint32_t run = 0; run <= h->run; run++)
    h->in_store[run] = h->told[run];
}

static void
acknowledge_some (History *h)
{
  for (uint32_t run = 0; run <= h->run; run++)
    if (h->in_store[run] && mux_random_below (&h->random, 3) == 0)
      h->unacknowledged[run] = false;
}

static void
take_over (History *h)
{
  copy (&h->failed, &h->stored);
  for (uint32_t run = 0; run <= h->run; run++)
    h->told[run] = false;
  tell_some (h, 2);
  if (mux_random_below (&h->random, 2) == 0)
    commit (h);
}

/* A planner starts a run once all workers have been heard from.  Some numbers
 * are skipped, as those of a term have a range of their own.  At times there is
 * no memory to keep runs by number. */
static void
start (History *h)
{
  tell_all (h);
  assert_int_equal (h->failed.count, h->failures);
  h->run += 1 + mux_random_below (&h->random, 8) / 7 * 5;
  h->ended = false;
  mux_failed_runs_close (
      &h->failed, h->run - 1,
      mux_random_below (&h->random, 4) == 0 ? 0 : MUX_FAILED_RUNS_LISTED);
}

static void
end_run (History *h)
{
  h->ended = true;
  if (mux_random_below (&h->random, 4) == 0)
    return;
  h->failures++;
  h->unacknowledged[h->run] = true;
  if (mux_random_below (&h->random, 3) != 0)
    tell (h, h->run);
}

static void
play (uint64_t seed)
{
  History *h = calloc (1, sizeof *h);

  h->random.state = seed;
  h->ended = true;
  for (uint32_t i = 0; i < STEPS && h->run + 8 < RUNS_MAX; i++)
    switch (mux_random_below (&h->random, 6))
      {
      case 0:
        commit (h);
        break;
      case 1:
        acknowledge_some (h);
        break;
      case 2:
        take_over (h);
        break;
      case 3:
        tell_some (h, 3);
        break;
      default:
        if (h->ended)
          start (h);
        else
          end_run (h);
      }
  tell_all (h);
  assert_int_equal (h->failed.count, h->failures);
  mux_failed_runs_clear (&h->failed);
  mux_failed_runs_clear (&h->stored);
  free (h);
}

/* One too few and a task is tried more often than its queue allows, one too
 * many and a sound job is given up: over takeovers, with ends told twice, out
 * of order, and before or after the commit that counts them. */
static void
test_failures_count_exactly_once_over_takeovers (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= HISTORIES; seed++)
    play (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_each_run_counts_once),
    cmocka_unit_test (test_highest_run_numbers),
    cmocka_unit_test (test_count_does_not_wrap),
    cmocka_unit_test (test_many_attempts_take_no_memory),
    cmocka_unit_test (test_few_failed_runs_are_kept),
    cmocka_unit_test (test_close_within_a_range),
    cmocka_unit_test (test_failures_count_exactly_once_over_takeovers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
