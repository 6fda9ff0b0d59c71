#include "cell/throttle.h"
#include "support/test.h"

/* A planner that serves one job after the other, and callers that submit
 * many times what it can serve. */

#define SERVED_PER_S 100
#define MS_PER_S 1000
#define STEP_MS 10
#define TRIES_MAX 4
#define IN_TIME_MS 1000
#define WARM_UP_MS 4000
#define PLAY_MS 20000
#define JOBS_MAX 65536

typedef struct
{
  int64_t sent_ms;
  int64_t next_ms; /* next try; 0: none */
  int64_t begins_ms;
  uint64_t spread;
  uint32_t tries;
  bool is_accepted;
} Job;

typedef struct
{
  MuxThrottle throttle;
  int64_t now_ms;
  int64_t busy_until_us; /* when all accepted jobs have begun */
  int64_t counted_until_us;
  uint32_t count;
  Job job[JOBS_MAX];
} Play;

typedef struct
{
  uint32_t sent;
  uint32_t accepted;
  uint32_t in_time; /* of those accepted */
  uint32_t refused; /* at each try */
} Sum;

static int64_t
delay_ms (const Play *play)
{
  int64_t left_us = play->busy_until_us - play->now_ms * 1000;

  return left_us > 0 ? left_us / 1000 : 0;
}

static void
accept (Play *play, Job *job)
{
  if (play->busy_until_us < play->now_ms * 1000)
    play->busy_until_us = play->now_ms * 1000;
  play->busy_until_us += 1000000 / SERVED_PER_S;
  job->begins_ms = play->busy_until_us / 1000;
  job->is_accepted = true;
  play->throttle.accepted++;
}

static void
try_job (Play *play, Job *job)
{
  uint32_t share = mux_throttle_share_now (&play->throttle, delay_ms (play));
  uint32_t retry_ms = mux_throttle_retry_ms (share, job->spread);

  job->tries++;
  job->next_ms = 0;
  if (retry_ms == 0)
    accept (play, job);
  else if (job->tries < TRIES_MAX)
    job->next_ms = play->now_ms + retry_ms;
}

static void
count_begun (Play *play)
{
  for (uint32_t i = 0; i < play->count; i++)
    play->throttle.started += play->job[i].is_accepted
                              && play->job[i].begins_ms > play->now_ms - STEP_MS
                              && play->job[i].begins_ms <= play->now_ms;
}

static void
send_new (Play *play)
{
  Job *job = &play->job[play->count];

  assert_true (play->count < JOBS_MAX);
  *job = (Job){ .sent_ms = play->now_ms,
                .spread = play->count * UINT64_C (0x9e3779b97f4a7c15) >> 32 };
  play->count++;
  try_job (play, job);
}

/* Submits @times as many jobs as are served. */
static void
play_for (Play *play, int64_t ms, int64_t times)
{
  int64_t until_ms = play->now_ms + ms;
  int64_t sent = 0;

  for (int64_t passed_ms = 0; play->now_ms < until_ms; passed_ms += STEP_MS)
    {
      for (; sent < passed_ms * SERVED_PER_S * times / MS_PER_S; sent++)
        send_new (play);
      for (uint32_t i = 0; i < play->count; i++)
        if (play->job[i].next_ms != 0 && play->now_ms >= play->job[i].next_ms)
          try_job (play, &play->job[i]);
      count_begun (play);
      mux_throttle_update (&play->throttle, play->now_ms, delay_ms (play));
      play->now_ms += STEP_MS;
    }
}

static Sum
sum_of (const Play *play, int64_t from_ms, int64_t to_ms)
{
  Sum sum = { 0 };

  for (uint32_t i = 0; i < play->count; i++)
    {
      const Job *job = &play->job[i];

      if (job->sent_ms < from_ms || job->sent_ms >= to_ms)
        continue;
      sum.sent++;
      sum.accepted += job->is_accepted;
      sum.in_time
          += job->is_accepted && job->begins_ms <= job->sent_ms + IN_TIME_MS;
      sum.refused += !job->is_accepted;
    }
  return sum;
}

static Play *
begin (void)
{
  Play *play = calloc (1, sizeof *play);

  assert_non_null (play);
  play->now_ms = 1000;
  mux_throttle_reset (&play->throttle, play->now_ms);
  return play;
}

static void
print (const char *what, const Sum *sum)
{
  print_message ("%s: %u sent, %u taken, %u of these begun in time\n", what,
                 sum->sent, sum->accepted, sum->in_time);
}

/* Guards against a planner that accepts all that arrives and begins none of
 * it in time. */
static void
test_tenfold_overload_leaves_jobs_in_time (void **state)
{
  Play *play = begin ();
  Sum sum;

  (void) state;
  play_for (play, WARM_UP_MS + PLAY_MS, 10);
  sum = sum_of (play, 1000 + WARM_UP_MS, 1000 + PLAY_MS);
  print ("ten times", &sum);
  assert_true (sum.in_time * 10 >= sum.accepted * 8);
  assert_true (sum.accepted * 10
               >= SERVED_PER_S * (PLAY_MS - WARM_UP_MS) / MS_PER_S * 7);
  free (play);
}

/* Guards against a share of accepted jobs that stays low after the load has
 * gone. */
static void
test_usual_load_is_accepted_after_an_overload (void **state)
{
  Play *play = begin ();
  Sum sum;
  int64_t overload_end_ms;

  (void) state;
  play_for (play, WARM_UP_MS, 10);
  overload_end_ms = play->now_ms;
  play_for (play, PLAY_MS, 0);
  play->busy_until_us = 0;
  overload_end_ms = play->now_ms;
  play_for (play, 2000, 1);
  sum = sum_of (play, overload_end_ms, overload_end_ms + 2000);
  print ("behind it", &sum);
  assert_int_equal (sum.accepted, sum.sent);
  free (play);
}

/* Guards against refusals by a planner that was late for a moment and has
 * nothing to do. */
static void
test_late_planner_without_jobs_keeps_its_share (void **state)
{
  MuxThrottle throttle;

  (void) state;
  mux_throttle_reset (&throttle, 1000);
  for (int64_t now_ms = 1000; now_ms < 6000; now_ms += 250)
    mux_throttle_update (&throttle, now_ms, 2500);
  assert_int_equal (throttle.share_milli, MUX_THROTTLE_FULL_MILLI);
}

/* Guards against callers that are refused together and retry together. */
static void
test_callers_retry_in_the_order_of_their_turns (void **state)
{
  uint32_t before = 0;

  (void) state;
  for (uint64_t spread = 0; spread < MUX_THROTTLE_FULL_MILLI; spread++)
    {
      uint32_t retry_ms = mux_throttle_retry_ms (250, spread);

      assert_int_equal (retry_ms == 0, spread < 250);
      assert_true (retry_ms >= before);
      before = retry_ms;
    }
  assert_int_equal (mux_throttle_retry_ms (MUX_THROTTLE_FULL_MILLI, 999), 0);
}

/* Guards against an idle planner that counts as late because of a few steps. */
static void
test_few_steps_are_no_backlog (void **state)
{
  MuxThrottle throttle;

  (void) state;
  mux_throttle_reset (&throttle, 1000);
  assert_int_equal (mux_throttle_scan_wait_ms (&throttle, 8), 0);
  assert_true (mux_throttle_scan_wait_ms (&throttle, 800) > 1000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_tenfold_overload_leaves_jobs_in_time),
    cmocka_unit_test (test_usual_load_is_accepted_after_an_overload),
    cmocka_unit_test (test_late_planner_without_jobs_keeps_its_share),
    cmocka_unit_test (test_callers_retry_in_the_order_of_their_turns),
    cmocka_unit_test (test_few_steps_are_no_backlog),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
