#include "cell/admission.h"

#include "support/test.h"

/* Which new jobs a cell accepts, by its backlog and its rate of placing. */

#define QUEUE 7
#define OTHER 8
#define POOL 1
#define COUNT_MS 250
/* Core-milliseconds per second of a pool of 100 processors. */
#define POOL_MILLI 100000
#define SLACK_MS 2000

typedef struct
{
  MuxAdmission admission;
  int64_t now_ms;
  int64_t free_milli;
  int64_t lower_priority_milli; /* processor that its running tasks use */
} Play;

static Play
begin (void)
{
  return (Play){ .now_ms = 1000, .admission = { .counted_ms = 1000 } };
}

/* Counts @steps of one core-second each, waiting for @waited_ms, after
 * @placed of them were placed. */
static void
count (Play *play, uint32_t steps, int64_t waited_ms, uint32_t placed)
{
  MuxAdmission *admission = &play->admission;
  MuxAdmissionStep step = { .service = POOL,
                            .work = mux_admission_work (1, 1000, 1000),
                            .waited_ms = waited_ms,
                            .slack_ms = SLACK_MS };

  play->now_ms += COUNT_MS;
  for (uint32_t i = 0; i < placed; i++)
    mux_admission_placed (admission, QUEUE, mux_admission_work (1, 1000, 1000),
                          waited_ms);
  mux_admission_count_begin (admission);
  for (uint32_t i = 0; i < steps; i++)
    mux_admission_add_waiting (admission, QUEUE, &step);
  step = (MuxAdmissionStep){ .priority = 1, .service = POOL, .slack_ms = 1 };
  mux_admission_add_waiting (admission, OTHER, &step);
  mux_admission_add_running (admission, OTHER, play->lower_priority_milli);
  mux_admission_count_end (admission, play->now_ms);
  mux_admission_update_pool (admission, POOL, POOL_MILLI, play->free_milli);
}

static void
count_for (Play *play,
           int64_t ms,
           uint32_t steps,
           int64_t waited_ms,
           uint32_t placed)
{
  for (int64_t i = 0; i < ms; i += COUNT_MS)
    count (play, steps, waited_ms, placed);
}

static MuxAdmissionJob
job (int64_t slack_ms)
{
  return (MuxAdmissionJob){ .queue = QUEUE,
                            .slack_ms = slack_ms,
                            .chain_length = 1 };
}

static uint32_t
retry_ms (const Play *play, MuxAdmissionJob new_job)
{
  return mux_admission_retry_ms (&play->admission, &new_job);
}

/* Guards against accepting a job that can't begin in time: work for 10 s is
 * ahead of it. */
static void
test_job_behind_a_long_backlog_is_refused (void **state)
{
  Play play = begin ();

  (void) state;
  count_for (&play, 5000, 400, 5000, 10);
  assert_in_range (mux_admission_wait_ms (&play.admission, QUEUE), 9000, 11000);
  assert_int_not_equal (retry_ms (&play, job (5000)), 0);
  assert_int_equal (retry_ms (&play, job (60000)), 0);
}

/* Guards against refusing callers of a queue without a backlog because of
 * another queue's backlog. */
static void
test_other_queue_is_not_refused (void **state)
{
  Play play = begin ();
  MuxAdmissionJob other = job (1000);

  (void) state;
  other.queue = OTHER;
  count_for (&play, 5000, 400, 5000, 10);
  assert_int_equal (retry_ms (&play, other), 0);
}

/* Guards against refusals by a cell that has room, because of the pause
 * between two jobs. */
static void
test_idle_time_is_no_low_rate (void **state)
{
  Play play = begin ();

  (void) state;
  count_for (&play, 5000, 6, 300, 10);
  count_for (&play, 60000, 0, 0, 0);
  count (&play, 10, 300, 0);
  assert_in_range (mux_admission_wait_ms (&play.admission, QUEUE), 1, 500);
  assert_int_equal (retry_ms (&play, job (1000)), 0);
}

/* Guards against refusing a burst of half a second that the pool can hold
 * whole. */
static void
test_short_burst_is_accepted (void **state)
{
  Play play = begin ();

  (void) state;
  count_for (&play, 5000, 6, 50, 2);
  count (&play, 60, 100, 2);
  count (&play, 90, 200, 8);
  assert_int_equal (retry_ms (&play, job (2000)), 0);
}

/* Guards against accepting more than the whole pool can begin in time,
 * because it has not waited long yet. */
static void
test_burst_beyond_the_pool_is_refused (void **state)
{
  Play play = begin ();

  (void) state;
  count_for (&play, 5000, 6, 50, 2);
  count (&play, 1000, 100, 2);
  assert_int_not_equal (retry_ms (&play, job (2000)), 0);
}

/* Guards against refusals while workers are idle, or busy with work of lower
 * priority: the backlog does not wait for room. */
static void
test_queue_with_room_is_accepted_for_longer (void **state)
{
  Play play = begin ();

  (void) state;
  play.free_milli = POOL_MILLI / 4;
  count_for (&play, 5000, 400, 1500, 10);
  assert_int_equal (retry_ms (&play, job (5000)), 0);
  play.free_milli = 0;
  count (&play, 400, 1500, 10);
  assert_int_not_equal (retry_ms (&play, job (5000)), 0);
  play.lower_priority_milli = POOL_MILLI / 4;
  count (&play, 400, 1500, 10);
  assert_int_equal (retry_ms (&play, job (5000)), 0);
}

/* Guards against refusals beside idle workers because of jobs that no worker
 * can hold. */
static void
test_jobs_too_large_for_any_worker_refuse_no_others (void **state)
{
  Play play = begin ();

  (void) state;
  play.free_milli = POOL_MILLI / 2;
  for (uint32_t i = 0; i < 240; i++)
    {
      mux_admission_placed (&play.admission, QUEUE,
                            mux_admission_work (1, 1000, 1000), 5);
      count (&play, 100, 1900, 0);
      assert_int_equal (retry_ms (&play, job (1000)), 0);
    }
}

/* Guards against a queue of lower priority taking the room that one of
 * higher priority waits for. */
static void
test_lower_priority_queue_is_refused_behind_a_higher_one (void **state)
{
  MuxAdmissionStep late = { .priority = 1, .service = POOL, .slack_ms = 2000 };
  Play play = begin ();
  MuxAdmission *admission = &play.admission;
  MuxAdmissionJob other = job (5000);

  (void) state;
  other.queue = OTHER;
  late.work = mux_admission_work (1, 1000, 1000);
  count_for (&play, 5000, 400, 1500, 10);
  assert_int_equal (retry_ms (&play, other), 0);
  for (uint32_t i = 0; i < 10; i++)
    mux_admission_add_waiting (admission, OTHER, &late);
  mux_admission_update_pool (admission, POOL, POOL_MILLI, 0);
  assert_int_not_equal (retry_ms (&play, other), 0);
  mux_admission_update_pool (admission, POOL, POOL_MILLI, POOL_MILLI / 4);
  assert_int_equal (retry_ms (&play, other), 0);
}

/* Guards against refusing gangs beside idle workers because few of them are
 * placed, while all else is placed as it arrives. */
static void
test_queue_that_alone_waits_beside_idle_workers_is_accepted (void **state)
{
  Play play = begin ();

  (void) state;
  play.free_milli = POOL_MILLI / 4;
  for (uint32_t i = 0; i < 20; i++)
    {
      mux_admission_placed (&play.admission, OTHER,
                            mux_admission_work (20, 1000, 1000), 50);
      count (&play, 400, 1500, 1);
    }
  assert_int_equal (retry_ms (&play, job (500)), 0);
}

/* Guards against giving an overloaded planner more jobs because workers are
 * idle. */
static void
test_late_placing_beside_idle_workers_refuses (void **state)
{
  Play play = begin ();

  (void) state;
  play.free_milli = POOL_MILLI / 4;
  for (uint32_t i = 0; i < 20; i++)
    {
      mux_admission_placed (&play.admission, OTHER,
                            mux_admission_work (1, 1000, 1000), 6000);
      count (&play, 400, 6000, 1);
    }
  assert_int_not_equal (retry_ms (&play, job (2000)), 0);
  assert_int_equal (retry_ms (&play, job (10000)), 0);
}

/* Guards against a planner accepting jobs without bound after its takeover,
 * until it has measured its rate of placing. */
static void
test_planner_without_measured_rate_limits_jobs (void **state)
{
  Play play = begin ();

  (void) state;
  count (&play, 600, 0, 0);
  assert_int_not_equal (retry_ms (&play, job (20000)), 0);
  play = begin ();
  count (&play, 60, 0, 0);
  assert_int_equal (retry_ms (&play, job (5000)), 0);
}

/* Guards against callers being told to retry at once in a queue of which
 * nothing is placed. */
static void
test_queue_without_placements_refuses (void **state)
{
  Play play = begin ();

  (void) state;
  count_for (&play, 5000, 40, 200, 10);
  count_for (&play, 20000, 40, 5000, 0);
  assert_int_not_equal (retry_ms (&play, job (5000)), 0);
}

/* Guards against all refused callers retrying at the same moment. */
static void
test_retry_times_are_spread (void **state)
{
  Play play = begin ();
  uint32_t least = UINT32_MAX;
  uint32_t most = 0;

  (void) state;
  count_for (&play, 5000, 400, 5000, 10);
  for (uint64_t i = 0; i < 1000; i++)
    {
      MuxAdmissionJob new_job = job (4000);
      uint32_t ms;

      new_job.jitter_seed = i * 7919;
      ms = retry_ms (&play, new_job);
      least = ms < least ? ms : least;
      most = ms > most ? ms : most;
    }
  assert_true (least >= 500 && most <= 8000 && most >= least + 2000);
}

/* A job of several steps waits once for each of them. */
static void
test_steps_wait_one_after_the_other (void **state)
{
  Play play = begin ();
  MuxAdmissionJob new_job = job (30000);

  (void) state;
  count_for (&play, 5000, 400, 5000, 10);
  assert_int_equal (retry_ms (&play, new_job), 0);
  new_job.chain_length = 3;
  assert_int_not_equal (retry_ms (&play, new_job), 0);
}

/* Guards against a job of any size counting as none because its work
 * overflows. */
static void
test_huge_step_counts_as_much (void **state)
{
  (void) state;
  assert_true (mux_admission_work (4096, UINT32_MAX, UINT32_MAX)
               > mux_admission_work (1, 1000, 1000));
}

/* Guards against a write beyond the end of a full table of queues. */
static void
test_queues_beyond_the_table_are_not_refused (void **state)
{
  MuxAdmission admission = { .count = 0 };
  MuxAdmissionStep step = { .work = 1, .slack_ms = 1 };

  (void) state;
  for (uint64_t i = 0; i < MUX_ADMISSION_QUEUES_MAX; i++)
    assert_non_null (mux_admission_find (&admission, i + 1));
  assert_null (mux_admission_find (&admission, UINT64_MAX));
  mux_admission_add_waiting (&admission, UINT64_MAX, &step);
  mux_admission_placed (&admission, UINT64_MAX, step.work, 0);
  mux_admission_accepted (&admission, UINT64_MAX, step.work);
  assert_int_equal (mux_admission_wait_ms (&admission, UINT64_MAX), 0);
}

/* Guards against a table that fills up with queues of former configurations, so
 * that no new queue is ever refused. */
static void
test_unused_queue_makes_room_for_a_new_one (void **state)
{
  MuxAdmission admission = { .count = 0 };
  MuxAdmissionStep step = { .work = 1, .slack_ms = 1 };
  int64_t now_ms = 0;

  (void) state;
  for (uint64_t i = 0; i < MUX_ADMISSION_QUEUES_MAX; i++)
    assert_non_null (mux_admission_find (&admission, i + 1));
  for (int count = 0; count < 5; count++)
    {
      mux_admission_count_begin (&admission);
      for (uint64_t i = 1; i < MUX_ADMISSION_QUEUES_MAX; i++)
        mux_admission_add_waiting (&admission, i + 1, &step);
      mux_admission_count_end (&admission, now_ms += 100);
    }
  assert_non_null (mux_admission_find (&admission, UINT64_MAX));
  assert_int_equal (admission.untracked, 0);
  for (uint64_t i = 1; i < MUX_ADMISSION_QUEUES_MAX; i++)
    assert_int_equal (mux_admission_find (&admission, i + 1)->waiting, 1);
  assert_null (mux_admission_find (&admission, UINT64_MAX - 1));
  assert_int_equal (admission.untracked, 1);
}

/* Guards against queues in use that lose what is measured of them, as others
 * are counted before them. */
static void
test_queues_in_use_keep_their_place_while_all_are_counted (void **state)
{
  MuxAdmission admission = { .count = 0 };
  MuxAdmissionStep step = { .work = 1, .slack_ms = 1 };
  int64_t now_ms = 0;

  (void) state;
  for (int count = 0; count < 5; count++)
    {
      mux_admission_count_begin (&admission);
      for (uint64_t i = 0; i < MUX_ADMISSION_QUEUES_MAX; i++)
        mux_admission_add_waiting (&admission, i + 1, &step);
      mux_admission_count_end (&admission, now_ms += 100);
    }
  mux_admission_count_begin (&admission);
  assert_null (mux_admission_find (&admission, UINT64_MAX));
  for (uint64_t i = 0; i < MUX_ADMISSION_QUEUES_MAX; i++)
    assert_int_equal (mux_admission_find (&admission, i + 1)->busy_ms, 500);
}

/* Guards against waits of former queues that a follower keeps its table full
 * with. */
static void
test_cleared_waits_make_room (void **state)
{
  MuxAdmission admission = { .count = 0 };

  (void) state;
  for (uint64_t i = 0; i < MUX_ADMISSION_QUEUES_MAX; i++)
    mux_admission_find (&admission, i + 1)->wait_ms = 100;
  assert_null (mux_admission_find (&admission, UINT64_MAX));
  mux_admission_clear_waits (&admission);
  mux_admission_find (&admission, 1)->wait_ms = 100;
  mux_admission_find (&admission, UINT64_MAX)->wait_ms = 200;
  assert_int_equal (mux_admission_wait_ms (&admission, UINT64_MAX), 200);
  assert_int_equal (mux_admission_wait_ms (&admission, 1), 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_job_behind_a_long_backlog_is_refused),
    cmocka_unit_test (test_other_queue_is_not_refused),
    cmocka_unit_test (test_idle_time_is_no_low_rate),
    cmocka_unit_test (test_short_burst_is_accepted),
    cmocka_unit_test (test_burst_beyond_the_pool_is_refused),
    cmocka_unit_test (test_queue_with_room_is_accepted_for_longer),
    cmocka_unit_test (test_jobs_too_large_for_any_worker_refuse_no_others),
    cmocka_unit_test (test_lower_priority_queue_is_refused_behind_a_higher_one),
    cmocka_unit_test (
        test_queue_that_alone_waits_beside_idle_workers_is_accepted),
    cmocka_unit_test (test_late_placing_beside_idle_workers_refuses),
    cmocka_unit_test (test_planner_without_measured_rate_limits_jobs),
    cmocka_unit_test (test_queue_without_placements_refuses),
    cmocka_unit_test (test_retry_times_are_spread),
    cmocka_unit_test (test_steps_wait_one_after_the_other),
    cmocka_unit_test (test_huge_step_counts_as_much),
    cmocka_unit_test (test_queues_beyond_the_table_are_not_refused),
    cmocka_unit_test (test_unused_queue_makes_room_for_a_new_one),
    cmocka_unit_test (
        test_queues_in_use_keep_their_place_while_all_are_counted),
    cmocka_unit_test (test_cleared_waits_make_room),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
