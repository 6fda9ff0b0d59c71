#include "support/cli_session.h"
#include "support/test.h"

static const char log_lines[]
    = "{\"wall_ms\":2100,\"instance\":\"entry-2\",\"event\":\"job_ended\","
      "\"job\":\"ab\",\"state\":\"completed\",\"took_ms\":1100,"
      "\"due_ms\":900}\n"
      "not JSON at all\n"
      "  12.5 entry-1 {\"wall_ms\":1000,\"instance\":\"entry-1\","
      "\"event\":\"accepted\",\"job\":\"ab\",\"queue\":\"q\","
      "\"why\":\"planner\"}\n"
      "{\"wall_ms\":1500,\"instance\":\"entry-2\",\"event\":"
      "\"planner_began\",\"term\":7}\n"
      "{\"wall_ms\":500,\"instance\":\"entry-2\",\"event\":"
      "\"planner_began\",\"term\":3}\n"
      "{\"wall_ms\":1200,\"instance\":\"entry-1\",\"event\":\"accepted\","
      "\"job\":\"other\",\"queue\":\"q\",\"why\":\"stored\"}\n";

/* A caller wants to know why its job was late.  The lines of two daemons
 * are in one file in no order, with lines of other jobs between; the output
 * has the job's own and those of the planner while the job was open, and
 * names the change of planner. */
static void
test_story_in_time_order (void **state)
{
  CliSession *session = *state;

  assert_int_equal (cli_session_run_with (session, "explain ab", log_lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "explain nobody", log_lines),
                    MUX_EXIT_REFUSED);
  cli_session_expect (session, "explain ab --file /nowhere/at/all",
                      MUX_EXIT_USAGE);
  cli_session_assert_golden (session, "explain");
}

static const char refused_lines[]
    = "{\"wall_ms\":1000,\"instance\":\"entry-1\",\"event\":\"refused\","
      "\"job\":\"ab\",\"queue\":\"q\",\"why\":\"store_failing\"}\n"
      "{\"wall_ms\":1100,\"instance\":\"entry-3\",\"event\":"
      "\"state_refused\",\"job\":\"\",\"outcome\":6}\n"
      "{\"wall_ms\":1200,\"instance\":\"entry-2\",\"event\":"
      "\"planner_began\",\"term\":7}\n"
      "{\"wall_ms\":2000,\"instance\":\"entry-1\",\"event\":\"accepted\","
      "\"job\":\"ab\",\"queue\":\"q\",\"why\":\"planner\"}\n"
      "{\"wall_ms\":2100,\"instance\":\"entry-2\",\"event\":"
      "\"store_failing\",\"status\":\"unknown\"}\n"
      "{\"wall_ms\":3100,\"instance\":\"entry-2\",\"event\":\"job_ended\","
      "\"job\":\"ab\",\"state\":\"completed\",\"took_ms\":1100,"
      "\"due_ms\":900}\n"
      "{\"wall_ms\":1000,\"instance\":\"entry-1\",\"event\":\"refused\","
      "\"job\":\"cd\",\"queue\":\"q\",\"why\":\"no_answer\"}\n"
      "{\"wall_ms\":1000,\"instance\":\"entry-1\",\"event\":\"refused\","
      "\"job\":\"ef\",\"queue\":\"q\",\"why\":\"behind\"}\n"
      "{\"wall_ms\":5000,\"instance\":\"entry-1\",\"event\":\"accepted\","
      "\"job\":\"gh\",\"queue\":\"q\",\"why\":\"stored\"}\n"
      "{\"wall_ms\":5030,\"instance\":\"entry-1\",\"event\":\"step_waits\","
      "\"job\":\"gh\",\"step\":0,\"tasks\":3,\"waited_ms\":20,"
      "\"lacks\":\"room\",\"approved_now\":2,\"approved_ever\":9}\n"
      "{\"wall_ms\":5050,\"instance\":\"entry-1\",\"event\":\"placed\","
      "\"job\":\"gh\",\"step\":0,\"tasks\":3,\"run\":1,\"waited_ms\":40,"
      "\"late_ms\":-300}\n"
      "{\"wall_ms\":5950,\"instance\":\"entry-1\",\"event\":\"job_ended\","
      "\"job\":\"gh\",\"state\":\"completed\",\"took_ms\":950,"
      "\"due_ms\":900}\n";

/* A caller was refused, retried and was late.  The planner had changed
 * before its job was accepted, which can't have delayed it; another
 * caller's query about a queue failed meanwhile, which does not concern
 * this job; its end was stored late.  If the change of planner were shown
 * as the cause, an operator would search for a dead daemon. */
static void
test_cause_lies_between_acceptance_and_end (void **state)
{
  CliSession *session = *state;

  assert_int_equal (cli_session_run_with (session, "explain ab", refused_lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "explain cd", refused_lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "explain ef", refused_lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "explain gh", refused_lines),
                    MUX_EXIT_OK);
  cli_session_assert_golden (session, "explain-cause");
}

static const char crash_lines[]
    = "{\"wall_ms\":1000,\"instance\":\"entry-1\",\"event\":\"accepted\","
      "\"job\":\"ab\",\"queue\":\"q\",\"why\":\"planner\"}\n"
      "{\"wall_ms\":3100,\"instance\":\"entry-2\",\"event\":\"run_lost\","
      "\"job\":\"ab\",\"step\":0,\"task\":2,\"run\":3,\"worker\":\"w-9\","
      "\"worker_ended\":true,\"began\":true,\"crashed\":3,\"untold\":0,"
      "\"unreachable\":0}\n"
      "{\"wall_ms\":3100,\"instance\":\"entry-2\",\"event\":"
      "\"worker_crashed_under\",\"job\":\"ab\",\"step\":0,\"task\":2,"
      "\"run\":3,\"worker\":\"w-9\",\"addr\":\"10.1.0.9:8000\","
      "\"lost_wall_ms\":3100}\n"
      "{\"wall_ms\":3100,\"instance\":\"entry-2\",\"event\":\"job_failing\","
      "\"job\":\"ab\",\"why\":\"crashes_workers\"}\n"
      "{\"wall_ms\":3110,\"instance\":\"entry-2\",\"event\":\"job_ended\","
      "\"job\":\"ab\",\"state\":\"failed\",\"took_ms\":2110,"
      "\"due_ms\":900}\n";

/* Guards against a job that fails without its caller learning which workers
 * crashed under it. */
static void
test_failure_names_the_workers_that_crashed (void **state)
{
  CliSession *session = *state;

  assert_int_equal (cli_session_run_with (session, "explain ab", crash_lines),
                    MUX_EXIT_OK);
  cli_session_assert_golden (session, "explain-crashes");
}

static const char speed_lines[]
    = "{\"wall_ms\":1000,\"instance\":\"entry-1\",\"event\":\"accepted\","
      "\"job\":\"ab\",\"queue\":\"q\",\"why\":\"planner\"}\n"
      "{\"wall_ms\":1040,\"instance\":\"entry-1\",\"event\":"
      "\"placed_by_speed\",\"job\":\"ab\",\"step\":0,"
      "\"slowest_milli\":683,\"fastest_milli\":1640,"
      "\"expected_ms\":2780}\n"
      "{\"wall_ms\":900,\"instance\":\"entry-1\",\"event\":"
      "\"worker_speed\",\"worker\":\"i-2\",\"class\":\"fast\","
      "\"before\":\"usual\",\"speed_milli\":1640,\"uncertain_milli\":71,"
      "\"runs\":14}\n"
      "{\"wall_ms\":2900,\"instance\":\"entry-2\",\"event\":"
      "\"worker_speed\",\"worker\":\"i-1\",\"class\":\"slow\","
      "\"before\":\"usual\",\"speed_milli\":683,\"uncertain_milli\":60,"
      "\"runs\":22}\n"
      "{\"wall_ms\":2000,\"instance\":\"entry-1\",\"event\":"
      "\"worker_speed\",\"worker\":\"i-1\",\"class\":\"usual\","
      "\"before\":\"fast\",\"speed_milli\":1010,\"uncertain_milli\":90,"
      "\"runs\":9}\n"
      "{\"wall_ms\":2950,\"instance\":\"entry-1\",\"event\":"
      "\"worker_speed\",\"class\":\"slow\"}\n"
      "{\"wall_ms\":3100,\"instance\":\"entry-1\",\"event\":\"job_ended\","
      "\"job\":\"ab\",\"state\":\"completed\",\"took_ms\":2100,"
      "\"due_ms\":900}\n";

/* Guards against a decision whose assumed speeds can't be seen: the explanation
 * names them, and the list has the last line of each worker, whichever daemon
 * wrote it, without lines that name no worker. */
static void
test_speeds_that_were_assumed (void **state)
{
  CliSession *session = *state;

  assert_int_equal (cli_session_run_with (session, "speeds", speed_lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "explain ab", speed_lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "speeds", "no line\n"),
                    MUX_EXIT_OK);
  cli_session_assert_golden (session, "speeds");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CLI_SESSION (test_story_in_time_order),
    CLI_SESSION (test_cause_lies_between_acceptance_and_end),
    CLI_SESSION (test_failure_names_the_workers_that_crashed),
    CLI_SESSION (test_speeds_that_were_assumed),
  };

  return cmocka_run_group_tests (tests, cli_session_begin, cli_session_end);
}
