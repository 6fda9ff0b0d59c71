#include "cell/run_time.h"

#include "support/test.h"

#include <math.h>

/* Expected run times, by what was declared and what was measured. */

#define QUEUE UINT64_C (7)
#define OTHER UINT64_C (8)
#define RUNS 100

/* Return: a value from -1 to 1, the same sequence in each run of the test. */
static double
chance (uint64_t *state)
{
  *state = *state * UINT64_C (6364136223846793005) + 1442695040888963407U;
  return (double) (*state >> 33) / (double) (UINT64_C (1) << 30) - 1;
}

typedef struct
{
  double usual_ms;
  double spread;         /* of the logarithm of run times */
  double declared_error; /* of the logarithm of declared over real time */
  double factor;         /* common to all declared times */
} Load;

static void
draw (const Load *load,
      uint64_t *state,
      uint32_t *declared_ms,
      int64_t *took_ms)
{
  double took = load->usual_ms * exp (load->spread * chance (state));

  *took_ms = (int64_t) took;
  *declared_ms = (uint32_t) (took * load->factor
                             * exp (load->declared_error * chance (state)));
}

/* Return: the mean error of an expectation, as a logarithm; of the declared
 * time where @times is NULL. */
static double
mean_error (const MuxRunTimes *times, const Load *load, uint64_t state)
{
  double sum = 0;

  for (uint32_t i = 0; i < RUNS; i++)
    {
      uint32_t declared_ms;
      uint32_t expected_ms;
      int64_t took_ms;

      draw (load, &state, &declared_ms, &took_ms);
      expected_ms = times != NULL
                        ? mux_run_time_expect (times, QUEUE, declared_ms)
                        : declared_ms;
      sum += fabs (log ((double) expected_ms) - log ((double) took_ms));
    }
  return sum / RUNS;
}

static MuxRunTimes
learn (const Load *load)
{
  MuxRunTimes times = { 0 };
  uint64_t state = 11;

  for (uint32_t i = 0; i < RUNS; i++)
    {
      uint32_t declared_ms;
      int64_t took_ms;

      draw (load, &state, &declared_ms, &took_ms);
      mux_run_time_record (&times, QUEUE, declared_ms, took_ms);
    }
  return times;
}

static void
test_declared_time_counts_until_enough_was_seen (void **state)
{
  MuxRunTimes times = { 0 };

  (void) state;
  assert_int_equal (mux_run_time_expect (&times, QUEUE, 700), 700);
  mux_run_time_record (&times, QUEUE, 700, 7000);
  assert_int_equal (mux_run_time_expect (&times, QUEUE, 700), 700);
}

/* Guards against steps that are given up as late, or put last, because their
 * callers declared far too little. */
static void
test_inaccurate_times_are_drawn_to_the_usual (void **state)
{
  Load load
      = { .usual_ms = 6000, .spread = 0.5, .declared_error = 1.4, .factor = 1 };
  MuxRunTimes times = learn (&load);

  (void) state;
  assert_true (mean_error (&times, &load, 3) < mean_error (NULL, &load, 3) / 2);
}

/* Guards against losing an accurate declared time among the others of its
 * queue. */
static void
test_accurate_times_are_kept (void **state)
{
  Load load = {
    .usual_ms = 3000, .spread = 1.5, .declared_error = 0.05, .factor = 1
  };
  MuxRunTimes times = learn (&load);

  (void) state;
  assert_true (mean_error (&times, &load, 3) < 0.06);
}

static void
test_common_error_of_all_times_is_corrected (void **state)
{
  Load load = {
    .usual_ms = 3000, .spread = 1.5, .declared_error = 0.05, .factor = 0.2
  };
  MuxRunTimes times = learn (&load);

  (void) state;
  assert_true (mean_error (NULL, &load, 3) > 1.5);
  assert_true (mean_error (&times, &load, 3) < 0.08);
}

static void
test_queues_are_estimated_separately (void **state)
{
  Load load
      = { .usual_ms = 3000, .spread = 0.1, .declared_error = 1, .factor = 5 };
  MuxRunTimes times = learn (&load);

  (void) state;
  assert_int_equal (mux_run_time_expect (&times, OTHER, 500), 500);
}

/* Guards against expectations that do not follow work that changes. */
static void
test_later_runs_count_more (void **state)
{
  MuxRunTimes times = { 0 };

  (void) state;
  for (uint32_t i = 0; i < 1000; i++)
    mux_run_time_record (&times, QUEUE, 1000 + i % 900, 1000);
  for (uint32_t i = 0; i < 600; i++)
    mux_run_time_record (&times, QUEUE, 1000 + i % 900, 8000);
  assert_true (mux_run_time_expect (&times, QUEUE, 1400) > 6000);
}

static void
test_more_queues_than_are_kept_do_no_harm (void **state)
{
  MuxRunTimes times = { 0 };

  (void) state;
  for (uint32_t i = 0; i < 2 * MUX_RUN_TIMES_MAX; i++)
    mux_run_time_record (&times, i, 10, 20);
  assert_int_equal (times.count, MUX_RUN_TIMES_MAX);
  assert_int_equal (mux_run_time_expect (&times, 2 * MUX_RUN_TIMES_MAX - 1, 10),
                    10);
}

static void
test_statistics_of_another_daemon_are_checked (void **state)
{
  MuxRunTime time = { .count = 20, .mean = 8, .variance = 0.2 };

  (void) state;
  assert_true (mux_run_time_is_valid (&time));
  time.variance = -1;
  assert_false (mux_run_time_is_valid (&time));
  time = (MuxRunTime){ .count = 20, .mean = 1e9 };
  assert_false (mux_run_time_is_valid (&time));
  time = (MuxRunTime){ .count = UINT32_MAX };
  assert_false (mux_run_time_is_valid (&time));
}

/* Guards against a worker being taken for slow because a queue that had short
 * jobs has its first long one: the estimate says that it is uncertain. */
static void
test_estimate_of_an_unusual_job_is_uncertain (void **state)
{
  MuxRunTimes times = { 0 };
  double log_ms;

  (void) state;
  assert_true (mux_run_time_estimate (&times, QUEUE, 640, &log_ms) >= 1);
  for (uint32_t i = 0; i < RUNS; i++)
    mux_run_time_record (&times, QUEUE, 640, 640);
  assert_true (mux_run_time_estimate (&times, QUEUE, 640, &log_ms) < 0.01);
  assert_true (fabs (log_ms - log (640)) < 0.01);
  assert_true (mux_run_time_estimate (&times, QUEUE, 3400, &log_ms) > 0.5);
}

/* Guards against times that are learned anew only after hundreds of runs once
 * speeds differ. */
static void
test_times_are_soon_relearned (void **state)
{
  MuxRunTimes times = { 0 };
  uint32_t ms;

  (void) state;
  for (uint32_t i = 0; i < 3 * RUNS; i++)
    mux_run_time_record (&times, QUEUE, 1000, 2000);
  mux_run_times_relearn (&times);
  ms = mux_run_time_expect (&times, QUEUE, 1000);
  assert_true (ms > 1990 && ms < 2010);
  for (uint32_t i = 0; i < 50; i++)
    mux_run_time_record (&times, QUEUE, 1000, 1300);
  ms = mux_run_time_expect (&times, QUEUE, 1000);
  assert_true (ms > 1250 && ms < 1450);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_declared_time_counts_until_enough_was_seen),
    cmocka_unit_test (test_inaccurate_times_are_drawn_to_the_usual),
    cmocka_unit_test (test_accurate_times_are_kept),
    cmocka_unit_test (test_common_error_of_all_times_is_corrected),
    cmocka_unit_test (test_queues_are_estimated_separately),
    cmocka_unit_test (test_later_runs_count_more),
    cmocka_unit_test (test_more_queues_than_are_kept_do_no_harm),
    cmocka_unit_test (test_statistics_of_another_daemon_are_checked),
    cmocka_unit_test (test_estimate_of_an_unusual_job_is_uncertain),
    cmocka_unit_test (test_times_are_soon_relearned),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
