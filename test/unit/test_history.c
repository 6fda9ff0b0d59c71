#include "demo/support/history.h"
#include "support/test.h"

#define DONE "done"
#define NOT_RUN "not_run"

static const MuxSize capacity = { 4000, 1000, 1, 2 };

/* One worker "w1" and one "w2" of that capacity. */
static MuxHistory *
history_new (void)
{
  MuxHistory *history = mux_history_new ();

  assert_non_null (history);
  mux_history_worker (history, "w1", capacity);
  mux_history_worker (history, "w2", capacity);
  return history;
}

static void
start_sized (MuxHistory *history,
             int t_ms,
             const char *worker,
             int life,
             const char *task,
             const char *body,
             MuxSize size)
{
  char line[512];
  int n = snprintf (line, sizeof line,
                    "{\"t_ms\":1,\"mono_ms\":%d,\"worker\":\"%s\","
                    "\"incarnation\":%d,\"event\":\"start\",\"task\":\"%s\","
                    "\"class\":\"seat\",\"home\":\"d1\",\"epoch\":1,\"size\":"
                    "{\"cpu_milli\":%u,\"mem_mib\":%u,\"accels\":%u,"
                    "\"slots\":%u},\"state\":\"running\",\"body_hash\":\"%s\","
                    "\"answer_hash\":\"\"}\n",
                    t_ms, worker, life, task, size.cpu_milli, size.mem_mib,
                    size.accels, size.slots, body);

  mux_history_work (history, line, (size_t) n);
}

static void
start (MuxHistory *history,
       int t_ms,
       const char *worker,
       const char *task,
       const char *body)
{
  start_sized (history, t_ms, worker, 1, task, body,
               (MuxSize){ 1000, 100, 0, 1 });
}

static void
end_as (MuxHistory *history,
        int t_ms,
        const char *worker,
        const char *task,
        const char *state)
{
  char line[512];
  int n = snprintf (line, sizeof line,
                    "{\"mono_ms\":%d,\"worker\":\"%s\",\"incarnation\":1,"
                    "\"event\":\"end\",\"task\":\"%s\",\"state\":\"%s\","
                    "\"answer_hash\":\"a-%s\"}\n",
                    t_ms, worker, task, state, task);

  mux_history_work (history, line, (size_t) n);
}

static void
end (MuxHistory *history, int t_ms, const char *worker, const char *task)
{
  end_as (history, t_ms, worker, task, "done");
}

static void
told (MuxHistory *history,
      const char *key,
      const char *outcome,
      const char *task,
      const char *body,
      const char *answer)
{
  char line[512];
  int n = snprintf (line, sizeof line,
                    "{\"event\":\"request\",\"call\":7,\"class\":\"seat\","
                    "\"key\":\"%s\",\"idempotent\":false,\"submit_ms\":1,"
                    "\"answer_ms\":2,\"outcome\":\"%s\",\"task\":\"%s\","
                    "\"reason\":\"\",\"body_hash\":\"%s\","
                    "\"answer_hash\":\"%s\",\"expect_hash\":\"a-%s\"}\n",
                    key, outcome, task, body, answer, task);

  mux_history_calls (history, line, (size_t) n);
}

static void
line_of_calls (MuxHistory *history, const char *line)
{
  mux_history_calls (history, line, strlen (line));
}

static void
accept_history (MuxHistory *history)
{
  MuxHistoryReport report;

  if (!mux_history_check (history, &report))
    fail_msg ("%s", report.finding[0]);
  mux_history_free (history);
}

/* Broken @rule @times times and no other rule. */
static void
reject_history (MuxHistory *history, MuxRule rule, uint32_t times)
{
  MuxHistoryReport report;

  assert_false (mux_history_check (history, &report));
  for (uint32_t i = 0; i < MUX_RULE_COUNT; i++)
    if (report.broken[i] != (i == rule ? times : 0))
      fail_msg ("%s broken %u times", mux_rule_name ((MuxRule) i),
                report.broken[i]);
  mux_history_free (history);
}

static void
test_good (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  end (history, 20, "w1", "t1");
  told (history, "k1", DONE, "t1", "b1", "a-t1");
  told (history, "k2", NOT_RUN, "", "b2", "");
  told (history, "k3", "unknown", "t3", "b3", "");
  start (history, 20, "w1", "t3", "b3");
  accept_history (history);
}

/* Its first submission was not run; the next is an attempt of its own. */
static void
test_good_second_attempt (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  told (history, "k1", NOT_RUN, "t1", "b1", "");
  start (history, 10, "w2", "t2", "b1");
  end (history, 20, "w2", "t2");
  told (history, "k1", DONE, "t2", "b1", "a-t2");
  accept_history (history);
}

/* A slot freed and taken again in the same millisecond, a worker filled to the
 * brim, and a line cut by a kill. */
static void
test_good_full_worker (void **state)
{
  MuxHistory *history = history_new ();
  MuxSize half = { 2000, 500, 0, 1 };

  (void) state;
  start_sized (history, 10, "w1", 1, "t1", "b1", half);
  start_sized (history, 10, "w1", 1, "t2", "b2", half);
  end (history, 10, "w1", "t1");
  start_sized (history, 10, "w1", 1, "t3", "b3", half);
  mux_history_work (history, "{\"event\":\"st", 12);
  accept_history (history);
}

/* A new life starts empty: what the old one ran is over. */
static void
test_good_restart (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start_sized (history, 10, "w1", 1, "t1", "b1", capacity);
  start_sized (history, 30, "w1", 2, "t2", "b2", capacity);
  start (history, 40, "w2", "t1", "b9");
  accept_history (history);
}

static void
test_good_job (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  line_of_calls (history, "{\"event\":\"job\",\"job\":\"j1\",\"class\":"
                          "\"seat\",\"tasks\":2,\"body_hash\":\"bj\"}\n");
  start (history, 10, "w1", "t1", "bj");
  start (history, 10, "w2", "t2", "bj");
  end (history, 20, "w1", "t1");
  end (history, 20, "w2", "t2");
  line_of_calls (history,
                 "{\"event\":\"job_end\",\"job\":\"j1\",\"state\":\"done\"}\n");
  accept_history (history);
}

static void
test_ran_twice (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  end_as (history, 15, "w1", "t1", "failed");
  start (history, 20, "w2", "t2", "b1");
  end (history, 25, "w2", "t2");
  told (history, "k1", DONE, "t2", "b1", "a-t2");
  reject_history (history, MUX_RULE_RAN_TWICE, 1);
}

static void
test_two_places (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  start (history, 15, "w2", "t1", "b1");
  end (history, 20, "w1", "t1");
  end (history, 25, "w2", "t1");
  reject_history (history, MUX_RULE_TWO_PLACES, 1);
}

/* Still running on a worker that nobody killed. */
static void
test_two_places_open (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  start (history, 15, "w2", "t1", "b1");
  reject_history (history, MUX_RULE_TWO_PLACES, 1);
}

static void
test_killed_is_not_two_places (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  start (history, 15, "w2", "t1", "b1");
  line_of_calls (history,
                 "{\"event\":\"died\",\"worker\":\"w1\",\"t_ms\":12}\n");
  accept_history (history);
}

static void
test_overcommit (void **state)
{
  static const MuxSize over[] = {
    { 2500, 100, 0, 1 },
    { 1000, 600, 0, 1 },
    { 1000, 100, 1, 1 },
  };

  (void) state;
  for (uint32_t i = 0; i < 3; i++)
    {
      MuxHistory *history = history_new ();

      start_sized (history, 10, "w1", 1, "t1", "b1", over[i]);
      start_sized (history, 10, "w1", 1, "t2", "b2", over[i]);
      end (history, 10, "w1", "t1");
      reject_history (history, MUX_RULE_OVERCOMMIT, 1);
    }
}

static void
test_overcommit_slots (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  start (history, 11, "w1", "t2", "b2");
  start (history, 12, "w1", "t3", "b3");
  reject_history (history, MUX_RULE_OVERCOMMIT, 1);
}

/* Within the grace it may still start; after it, it may not. */
static void
test_leaving (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  line_of_calls (history,
                 "{\"event\":\"leaving\",\"worker\":\"w1\",\"t_ms\":10}\n");
  start (history, 10 + MUX_LEAVING_GRACE_MS, "w1", "t1", "b1");
  start (history, 11 + MUX_LEAVING_GRACE_MS, "w1", "t2", "b2");
  start (history, 11 + MUX_LEAVING_GRACE_MS, "w2", "t3", "b3");
  reject_history (history, MUX_RULE_LEAVING, 1);
}

/* Cut; of another task; of another caller's body. */
static void
test_wrong_answer (void **state)
{
  static const char *const answer[] = { "a-t", "a-t2", "a-t1" };
  static const char *const body[] = { "b1", "b1", "b2" };

  (void) state;
  for (uint32_t i = 0; i < 3; i++)
    {
      MuxHistory *history = history_new ();

      start (history, 10, "w1", "t1", "b1");
      end (history, 20, "w1", "t1");
      told (history, "k1", DONE, "t1", body[i], answer[i]);
      reject_history (history, MUX_RULE_WRONG_ANSWER, 1);
    }
}

static void
test_not_run_ran (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  told (history, "k1", NOT_RUN, "t1", "b1", "");
  told (history, "k1", "unknown", "", "b1", "");
  start (history, 500, "w1", "t1", "b1");
  reject_history (history, MUX_RULE_NOT_RUN_RAN, 1);
}

/* The answer named no task, and nobody was told anything else of this key. */
static void
test_not_run_ran_unnamed (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  end (history, 20, "w1", "t1");
  told (history, "k1", NOT_RUN, "", "b1", "");
  reject_history (history, MUX_RULE_NOT_RUN_RAN, 1);
}

static void
test_done_never_ran (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  end_as (history, 20, "w1", "t1", "stopped");
  told (history, "k1", DONE, "t1", "b1", "a-t1");
  reject_history (history, MUX_RULE_DONE_NEVER_RAN, 1);
}

static void
test_job_open (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  line_of_calls (history, "{\"event\":\"job\",\"job\":\"j1\",\"class\":"
                          "\"seat\",\"tasks\":1,\"body_hash\":\"bj\"}\n");
  reject_history (history, MUX_RULE_JOB_OPEN, 1);
}

static void
test_job_done_never_ran (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  line_of_calls (history, "{\"event\":\"job\",\"job\":\"j1\",\"class\":"
                          "\"seat\",\"tasks\":2,\"body_hash\":\"bj\"}\n");
  start (history, 10, "w1", "t1", "bj");
  end (history, 20, "w1", "t1");
  line_of_calls (history,
                 "{\"event\":\"job_end\",\"job\":\"j1\",\"state\":\"done\"}\n");
  reject_history (history, MUX_RULE_DONE_NEVER_RAN, 1);
}

static void
test_bad_lines (void **state)
{
  static const char *const bad[]
      = { "{\n", "[]\n", "{\"event\":\"nonsense\"}\n",
          "{\"event\":\"request\",\"call\":1}\n",
          "{\"event\":\"job_end\",\"job\":\"j9\",\"state\":\"done\"}\n" };

  (void) state;
  for (uint32_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      MuxHistory *history = history_new ();

      line_of_calls (history, bad[i]);
      /* A submission that can't be read is not believed either. */
      reject_history (history, MUX_RULE_LOG, 1);
    }
}

/* A worker dies twice; its first life's task ended at the first death. */
static void
test_two_places_after_second_death (void **state)
{
  MuxHistory *history = history_new ();

  (void) state;
  start (history, 10, "w1", "t1", "b1");
  line_of_calls (history,
                 "{\"event\":\"died\",\"worker\":\"w1\",\"t_ms\":90}\n");
  line_of_calls (history,
                 "{\"event\":\"died\",\"worker\":\"w1\",\"t_ms\":20}\n");
  start (history, 15, "w2", "t1", "b2");
  reject_history (history, MUX_RULE_TWO_PLACES, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_places_after_second_death),
    cmocka_unit_test (test_good),
    cmocka_unit_test (test_good_second_attempt),
    cmocka_unit_test (test_good_full_worker),
    cmocka_unit_test (test_good_restart),
    cmocka_unit_test (test_good_job),
    cmocka_unit_test (test_ran_twice),
    cmocka_unit_test (test_two_places),
    cmocka_unit_test (test_two_places_open),
    cmocka_unit_test (test_killed_is_not_two_places),
    cmocka_unit_test (test_overcommit),
    cmocka_unit_test (test_overcommit_slots),
    cmocka_unit_test (test_leaving),
    cmocka_unit_test (test_wrong_answer),
    cmocka_unit_test (test_not_run_ran),
    cmocka_unit_test (test_not_run_ran_unnamed),
    cmocka_unit_test (test_done_never_ran),
    cmocka_unit_test (test_job_open),
    cmocka_unit_test (test_job_done_never_ran),
    cmocka_unit_test (test_bad_lines),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
