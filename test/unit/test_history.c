#include "demo/support/history.h"
#include "support/test.h"

#define LINES_MAX 12

/*
 * A case: the lines of a history, and the only rule that they violate, with the
 * number of violations; 0 times: they violate none.  "-" is an empty field; a
 * time with a plus has MUX_LEAVING_GRACE_MS added.
 *
 * start TIME WORKER INCARNATION TASK BODY [CPU/MEM/ACCELS/SLOTS]
 * end TIME WORKER TASK STATE
 * told KEY OUTCOME TASK BODY ANSWER
 * change WHO OUTCOME REVISION (of a change that expects revision 4)
 * kept DAEMON WHO REVISION (of the change by WHO)
 * shown DAEMON INCARNATION REVISION
 * work TEXT: a line of the workers' logs without its newline
 * Any other line is one of the callers' logs as it stands.
 */
typedef struct
{
  const char *name;
  const char *line[LINES_MAX];
  MuxRule rule;
  uint32_t times;
} Case;

static const MuxSize capacity = { 4000, 1000, 1, 2 };

#define JOB(tasks)                                        \
  "{\"event\":\"job\",\"job\":\"j1\",\"class\":\"seat\"," \
  "\"tasks\":" tasks ",\"body_hash\":\"bj\"}"
#define JOB_END "{\"event\":\"job_end\",\"job\":\"j1\",\"state\":\"done\"}"
#define DIED(t_ms) "{\"event\":\"died\",\"worker\":\"w1\",\"t_ms\":" t_ms "}"
#define LEAVING "{\"event\":\"leaving\",\"worker\":\"w1\",\"t_ms\":10}"

static Case cases[] = {
  { "test_good",
    { "start 10 w1 1 t1 b1", "end 20 w1 t1 done", "told k1 done t1 b1 a-t1",
      "told k2 not_run - b2 -", "told k3 unknown t3 b3 -",
      "start 20 w1 1 t3 b3" },
    MUX_RULE_COUNT,
    0 },
  /* The first submission was not run; the next is an attempt of its own. */
  { "test_good_second_attempt",
    { "told k1 not_run t1 b1 -", "start 10 w2 1 t2 b1", "end 20 w2 t2 done",
      "told k1 done t2 b1 a-t2" },
    MUX_RULE_COUNT,
    0 },
  /* A slot freed and taken again in the same millisecond, a worker filled
   * to capacity, and a line truncated when its writer was killed. */
  { "test_good_full_worker",
    { "start 10 w1 1 t1 b1 2000/500/0/1", "start 10 w1 1 t2 b2 2000/500/0/1",
      "end 10 w1 t1 done", "start 10 w1 1 t3 b3 2000/500/0/1",
      "work {\"event\":\"st" },
    MUX_RULE_COUNT,
    0 },
  /* A new incarnation starts empty: what the previous one ran has ended. */
  { "test_good_restart",
    { "start 10 w1 1 t1 b1 4000/1000/1/2", "start 30 w1 2 t2 b2 4000/1000/1/2",
      "start 40 w2 1 t1 b9" },
    MUX_RULE_COUNT,
    0 },
  { "test_good_job",
    { JOB ("2"), "start 10 w1 1 t1 bj", "start 10 w2 1 t2 bj",
      "end 20 w1 t1 done", "end 20 w2 t2 done", JOB_END },
    MUX_RULE_COUNT,
    0 },
  { "test_ran_twice",
    { "start 10 w1 1 t1 b1", "end 15 w1 t1 failed", "start 20 w2 1 t2 b1",
      "end 25 w2 t2 done", "told k1 done t2 b1 a-t2" },
    MUX_RULE_RAN_TWICE,
    1 },
  { "test_two_places",
    { "start 10 w1 1 t1 b1", "start 15 w2 1 t1 b1", "end 20 w1 t1 done",
      "end 25 w2 t1 done" },
    MUX_RULE_TWO_PLACES,
    1 },
  /* Still running on a worker that was never killed. */
  { "test_two_places_open",
    { "start 10 w1 1 t1 b1", "start 15 w2 1 t1 b1" },
    MUX_RULE_TWO_PLACES,
    1 },
  { "test_killed_is_not_two_places",
    { "start 10 w1 1 t1 b1", "start 15 w2 1 t1 b1", DIED ("12") },
    MUX_RULE_COUNT,
    0 },
  { "test_overcommit_cpu",
    { "start 10 w1 1 t1 b1 2500/100/0/1", "start 10 w1 1 t2 b2 2500/100/0/1",
      "end 10 w1 t1 done" },
    MUX_RULE_OVERCOMMIT,
    1 },
  { "test_overcommit_mem",
    { "start 10 w1 1 t1 b1 1000/600/0/1", "start 10 w1 1 t2 b2 1000/600/0/1",
      "end 10 w1 t1 done" },
    MUX_RULE_OVERCOMMIT,
    1 },
  { "test_overcommit_accels",
    { "start 10 w1 1 t1 b1 1000/100/1/1", "start 10 w1 1 t2 b2 1000/100/1/1",
      "end 10 w1 t1 done" },
    MUX_RULE_OVERCOMMIT,
    1 },
  { "test_overcommit_slots",
    { "start 10 w1 1 t1 b1", "start 11 w1 1 t2 b2", "start 12 w1 1 t3 b3" },
    MUX_RULE_OVERCOMMIT,
    1 },
  /* Within the grace period it may still start; after it, it may not. */
  { "test_leaving",
    { LEAVING, "start +10 w1 1 t1 b1", "start +11 w1 1 t2 b2",
      "start +11 w2 1 t3 b3" },
    MUX_RULE_LEAVING,
    1 },
  { "test_wrong_answer_cut",
    { "start 10 w1 1 t1 b1", "end 20 w1 t1 done", "told k1 done t1 b1 a-t" },
    MUX_RULE_WRONG_ANSWER,
    1 },
  { "test_wrong_answer_of_task",
    { "start 10 w1 1 t1 b1", "end 20 w1 t1 done", "told k1 done t1 b1 a-t2" },
    MUX_RULE_WRONG_ANSWER,
    1 },
  { "test_wrong_answer_of_body",
    { "start 10 w1 1 t1 b1", "end 20 w1 t1 done", "told k1 done t1 b2 a-t1" },
    MUX_RULE_WRONG_ANSWER,
    1 },
  { "test_not_run_ran",
    { "told k1 not_run t1 b1 -", "told k1 unknown - b1 -",
      "start 500 w1 1 t1 b1" },
    MUX_RULE_NOT_RUN_RAN,
    1 },
  /* The answer named no task, and no other answer was given for this key. */
  { "test_not_run_ran_unnamed",
    { "start 10 w1 1 t1 b1", "end 20 w1 t1 done", "told k1 not_run - b1 -" },
    MUX_RULE_NOT_RUN_RAN,
    1 },
  { "test_done_never_ran",
    { "start 10 w1 1 t1 b1", "end 20 w1 t1 stopped",
      "told k1 done t1 b1 a-t1" },
    MUX_RULE_DONE_NEVER_RAN,
    1 },
  { "test_job_open", { JOB ("1") }, MUX_RULE_JOB_OPEN, 1 },
  { "test_job_done_never_ran",
    { JOB ("2"), "start 10 w1 1 t1 bj", "end 20 w1 t1 done", JOB_END },
    MUX_RULE_DONE_NEVER_RAN,
    1 },
  { "test_bad_line_cut", { "{" }, MUX_RULE_LOG, 1 },
  { "test_bad_line_array", { "[]" }, MUX_RULE_LOG, 1 },
  { "test_bad_line_unknown", { "{\"event\":\"nonsense\"}" }, MUX_RULE_LOG, 1 },
  /* A submission that can't be read is reported, too. */
  { "test_bad_line_request",
    { "{\"event\":\"request\",\"call\":1}" },
    MUX_RULE_LOG,
    1 },
  { "test_bad_line_job_end",
    { "{\"event\":\"job_end\",\"job\":\"j9\",\"state\":\"done\"}" },
    MUX_RULE_LOG,
    1 },
  /* A worker dies twice; the task of its first incarnation ended at the
   * first death. */
  { "test_two_places_after_second_death",
    { "start 10 w1 1 t1 b1", DIED ("90"), DIED ("20"), "start 15 w2 1 t1 b2" },
    MUX_RULE_TWO_PLACES,
    1 },
  { "test_good_config",
    { "change op-1 none 0", "change op-1 done 5", "change op-2 not_run 0",
      "change op-3 unknown 0", "kept d1 setup 4", "kept d1 op-1 5",
      "shown d1 1 5", "shown d1 2 4", "shown d1 2 5" },
    MUX_RULE_COUNT,
    0 },
  /* An operator is told that a change was accepted, and it is absent. */
  { "test_config_lost",
    { "change op-1 done 5", "kept d1 setup 4" },
    MUX_RULE_CONFIG_LOST,
    1 },
  /* Present twice, the second one based on the first, which its operator
   * never read. */
  { "test_config_twice",
    { "change op-1 unknown 0", "kept d1 setup 4", "kept d1 op-1 5",
      "kept d1 op-1 6" },
    MUX_RULE_CONFIG_LOST,
    2 },
  { "test_config_refused_is_there",
    { "change op-1 not_run 0", "kept d1 setup 4", "kept d1 op-1 5" },
    MUX_RULE_CONFIG_LOST,
    1 },
  /* Two operators read revision 4 and both were accepted: one change is
   * overwritten. */
  { "test_config_overwritten",
    { "change op-1 done 5", "change op-2 done 6", "kept d1 setup 4",
      "kept d1 op-1 5", "kept d1 op-2 6" },
    MUX_RULE_CONFIG_LOST,
    1 },
  { "test_config_back",
    { "shown d1 1 5", "shown d2 1 4", "shown d1 1 4" },
    MUX_RULE_CONFIG_BACK,
    1 },
  { "test_config_behind",
    { "change op-1 done 5", "kept d1 setup 4", "kept d1 op-1 5",
      "shown d2 1 4" },
    MUX_RULE_CONFIG_BACK,
    1 },
};

#define CASES (sizeof cases / sizeof cases[0])

typedef struct
{
  char f[5][24];
  int t_ms;
} Fields;

/* Reads up to five fields after the line's first word. */
static bool
is_line (const char *line, const char *word, Fields *of)
{
  size_t len = strlen (word);
  const char *t;

  if (strncmp (line, word, len) != 0 || line[len] != ' ')
    return false;
  sscanf (line + len, "%23s %23s %23s %23s %23s", of->f[0], of->f[1], of->f[2],
          of->f[3], of->f[4]);
  for (int i = 0; i < 5; i++)
    if (strcmp (of->f[i], "-") == 0)
      of->f[i][0] = 0;
  t = of->f[0];
  of->t_ms = atoi (t) + (t[0] == '+' ? MUX_LEAVING_GRACE_MS : 0);
  return true;
}

static int
start (char out[512], const Fields *of, const char *line)
{
  MuxSize size = { 1000, 100, 0, 1 };

  sscanf (line, "start %*s %*s %*s %*s %*s %u/%u/%u/%u", &size.cpu_milli,
          &size.mem_mib, &size.accels, &size.slots);
  return snprintf (
      out, 512,
      "{\"t_ms\":1,\"mono_ms\":%d,\"worker\":\"%s\",\"incarnation\":%s,"
      "\"event\":\"start\",\"task\":\"%s\",\"class\":\"seat\","
      "\"home\":\"d1\",\"epoch\":1,\"size\":{\"cpu_milli\":%u,"
      "\"mem_mib\":%u,\"accels\":%u,\"slots\":%u},\"state\":\"running\","
      "\"body_hash\":\"%s\",\"answer_hash\":\"\"}\n",
      of->t_ms, of->f[1], of->f[2], of->f[3], size.cpu_milli, size.mem_mib,
      size.accels, size.slots, of->f[4]);
}

/* Writes a line of the workers' logs; returns 0 if it is none. */
static int
work_line (char out[512], const char *line)
{
  Fields of = { 0 };

  if (is_line (line, "start", &of))
    return start (out, &of, line);
  if (is_line (line, "end", &of))
    return snprintf (out, 512,
                     "{\"mono_ms\":%d,\"worker\":\"%s\",\"incarnation\":1,"
                     "\"event\":\"end\",\"task\":\"%s\",\"state\":\"%s\","
                     "\"answer_hash\":\"a-%s\"}\n",
                     of.t_ms, of.f[1], of.f[2], of.f[3], of.f[2]);
  if (is_line (line, "work", &of))
    return snprintf (out, 512, "%s", line + strlen ("work "));
  return 0;
}

static int
call_line (char out[512], const char *line)
{
  Fields of = { 0 };

  if (is_line (line, "told", &of))
    return snprintf (out, 512,
                     "{\"event\":\"request\",\"call\":7,\"class\":\"seat\","
                     "\"key\":\"%s\",\"idempotent\":false,\"submit_ms\":1,"
                     "\"answer_ms\":2,\"outcome\":\"%s\",\"task\":\"%s\","
                     "\"reason\":\"\",\"body_hash\":\"%s\","
                     "\"answer_hash\":\"%s\",\"expect_hash\":\"a-%s\"}\n",
                     of.f[0], of.f[1], of.f[2], of.f[3], of.f[4], of.f[2]);
  if (is_line (line, "change", &of))
    return snprintf (out, 512,
                     "{\"event\":\"change\",\"who\":\"%s\",\"expect\":4,"
                     "\"outcome\":\"%s\",\"revision\":%s}\n",
                     of.f[0], of.f[1], of.f[2]);
  if (is_line (line, "kept", &of))
    return snprintf (out, 512,
                     "{\"event\":\"kept\",\"daemon\":\"%s\",\"revision\":%s,"
                     "\"object\":\"class/seat\",\"who\":\"%s\"}\n",
                     of.f[0], of.f[2], of.f[1]);
  if (is_line (line, "shown", &of))
    return snprintf (out, 512,
                     "{\"event\":\"shown\",\"daemon\":\"%s\",\"life\":%s,"
                     "\"revision\":%s}\n",
                     of.f[0], of.f[1], of.f[2]);
  return snprintf (out, 512, "%s\n", line);
}

static void
test_case (void **state)
{
  const Case *it = *state;
  MuxHistory *history = mux_history_new ();
  MuxHistoryReport report;
  char out[512];

  mux_history_worker (history, "w1", capacity);
  mux_history_worker (history, "w2", capacity);
  for (size_t i = 0; i < LINES_MAX && it->line[i] != NULL; i++)
    {
      int len = work_line (out, it->line[i]);

      if (len > 0)
        mux_history_work (history, out, (size_t) len);
      else
        mux_history_calls (history, out, (size_t) call_line (out, it->line[i]));
    }
  if (mux_history_check (history, &report) != (it->times == 0))
    fail_msg ("%s", it->times == 0 ? report.finding[0] : "accepted");
  for (uint32_t i = 0; i < MUX_RULE_COUNT; i++)
    if (report.broken[i] != (i == it->rule ? it->times : 0))
      fail_msg ("%s broken %u times", mux_rule_name ((MuxRule) i),
                report.broken[i]);
  mux_history_free (history);
}

int
main (void)
{
  struct CMUnitTest tests[CASES];

  for (size_t i = 0; i < CASES; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].name,
                                    .test_func = test_case,
                                    .initial_state = &cases[i] };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
