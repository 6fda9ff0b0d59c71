#include "support/cli_session.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

#define SIZED_JOBS 20

static const char log_lines[]
    = "{\"wall_ms\":1000,\"event\":\"accepted\",\"job\":\"fine\","
      "\"queue\":\"seats\",\"why\":\"planner\"}\n"
      "not JSON at all\n"
      "  3.2 entry-1 {\"wall_ms\":1040,\"event\":\"placed\",\"job\":"
      "\"fine\",\"step\":0,\"tasks\":1,\"late_ms\":-400}\n"
      "{\"wall_ms\":1900,\"event\":\"job_ended\",\"job\":\"fine\","
      "\"state\":\"completed\",\"took_ms\":900,\"due_ms\":1500}\n"
      /* The end of the next job is read before its acceptance. */
      "{\"wall_ms\":9000,\"event\":\"job_ended\",\"job\":\"moved\","
      "\"state\":\"completed\",\"took_ms\":7000,\"due_ms\":1500}\n"
      "{\"wall_ms\":2000,\"event\":\"accepted\",\"job\":\"moved\","
      "\"queue\":\"seats\",\"why\":\"planner\"}\n"
      "{\"wall_ms\":5000,\"event\":\"planner_began\",\"term\":7}\n"
      "{\"wall_ms\":2500,\"event\":\"refused\",\"job\":\"again\","
      "\"queue\":\"seats\",\"why\":\"behind\"}\n"
      "{\"wall_ms\":2600,\"event\":\"refused\",\"job\":\"again\","
      "\"queue\":\"seats\",\"why\":\"behind\"}\n"
      "{\"wall_ms\":12500,\"event\":\"accepted\",\"job\":\"again\","
      "\"queue\":\"seats\",\"why\":\"planner\"}\n"
      "{\"wall_ms\":12000,\"event\":\"accepted\",\"job\":\"full\","
      "\"queue\":\"batch\",\"why\":\"planner\"}\n"
      "{\"wall_ms\":12300,\"event\":\"approvals\",\"job\":\"full\","
      "\"step\":0,\"took_ms\":250}\n"
      "{\"wall_ms\":19000,\"event\":\"placed\",\"job\":\"full\","
      "\"step\":0,\"tasks\":9,\"late_ms\":3000}\n"
      "{\"wall_ms\":22000,\"event\":\"job_ended\",\"job\":\"full\","
      "\"state\":\"completed\",\"took_ms\":10000,\"due_ms\":7000}\n";

/* An operator looks into many complaints.  The lines of all daemons are in
 * one file in no order; the table has a row for each queue and span, a late
 * job counts once, under its cause, and each refused attempt of a caller
 * counts. */
static void
test_table_by_queue_and_span (void **state)
{
  CliSession *session = *state;

  assert_int_equal (cli_session_run_with (session, "report", log_lines),
                    MUX_EXIT_OK);
  assert_int_equal (
      cli_session_run_with (session, "report --span-s 60 --json", log_lines),
      MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "report", "nothing\n"),
                    MUX_EXIT_OK);
  cli_session_expect (session, "report --span-s 0", MUX_EXIT_USAGE);
  cli_session_expect (session, "report --file /nowhere/at/all", MUX_EXIT_USAGE);
  cli_session_assert_golden (session, "report");
}

/* Of twenty jobs of a queue the two largest are late and refused for good,
 * one of the next four is late, and one of the rest. */
static void
write_jobs_by_size (char *lines, size_t cap)
{
  size_t len = 0;

  for (uint32_t i = 0; i < SIZED_JOBS; i++)
    {
      bool late = i == 0 || i == 2 || i == 10;

      len += (size_t) snprintf (
          lines + len, cap - len,
          "{\"wall_ms\":1000,\"event\":\"%s\",\"job\":\"job-%u\","
          "\"queue\":\"seats\",\"why\":\"planner\",\"work_ms\":%u}\n",
          i == 1 ? "refused" : "accepted", i, (SIZED_JOBS - i) * 100);
      if (i != 1)
        len += (size_t) snprintf (
            lines + len, cap - len,
            "{\"wall_ms\":3000,\"event\":\"job_ended\",\"job\":\"job-%u\","
            "\"state\":\"completed\",\"took_ms\":%d,\"due_ms\":1500}\n",
            i, late ? 2000 : 900);
    }
}

/* Wide jobs are late far more often than the rest while the queue as a
 * whole looks well served. */
static void
test_shares_of_the_largest_jobs (void **state)
{
  static char lines[SIZED_JOBS * 400];
  CliSession *session = *state;

  write_jobs_by_size (lines, sizeof lines);
  assert_int_equal (cli_session_run_with (session, "report", lines),
                    MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session, "report --json", lines),
                    MUX_EXIT_OK);
  cli_session_assert_golden (session, "report_sizes");
}

/* A gang's approval queries take the daemons' time, and no row showed how
 * many of them were approved. */
static const char wait_lines[]
    = "{\"wall_ms\":1000,\"event\":\"accepted\",\"job\":\"wide\","
      "\"queue\":\"runs\",\"work_ms\":9000}\n"
      "{\"wall_ms\":1900,\"event\":\"approvals\",\"job\":\"wide\",\"step\":0,"
      "\"renewal\":false,\"asked\":100,\"approved\":33,\"took_ms\":1080}\n"
      "{\"wall_ms\":3100,\"event\":\"approvals\",\"job\":\"wide\",\"step\":0,"
      "\"renewal\":true,\"asked\":20,\"approved\":20,\"took_ms\":570}\n"
      "{\"wall_ms\":3200,\"event\":\"placed\",\"job\":\"wide\",\"step\":0,"
      "\"tasks\":40,\"late_ms\":-400,\"lacked_ms\":{\"answer\":1080,"
      "\"proof\":570,\"room\":400,\"record\":90},\"used\":18}\n"
      "{\"wall_ms\":9000,\"event\":\"job_ended\",\"job\":\"wide\","
      "\"state\":\"completed\",\"took_ms\":8000,\"due_ms\":9000}\n";

static void
test_questions_and_waits_by_size (void **state)
{
  static char lines[sizeof wait_lines + SIZED_JOBS * 400];
  CliSession *session = *state;

  write_jobs_by_size (lines, sizeof lines);
  strcat (lines, wait_lines);
  assert_int_equal (cli_session_run_with (session, "report --by-size", lines),
                    MUX_EXIT_OK);
  assert_int_equal (
      cli_session_run_with (session, "report --by-size --json", wait_lines),
      MUX_EXIT_OK);
  assert_int_equal (
      cli_session_run_with (session, "report --by-size", "nothing\n"),
      MUX_EXIT_OK);
  cli_session_assert_golden (session, "report_by_size");
}

/* One workspace's jobs are held up by its quota; without a row for each
 * workspace nothing distinguishes it from the others. */
static const char workspace_lines[]
    = "{\"wall_ms\":1000,\"event\":\"accepted\",\"job\":\"a\",\"workspace\":"
      "\"desk\",\"queue\":\"seats\"}\n"
      "{\"wall_ms\":1010,\"event\":\"accepted\",\"job\":\"a\",\"workspace\":"
      "\"desk\",\"queue\":\"seats\"}\n"
      "{\"wall_ms\":1020,\"event\":\"accepted\",\"job\":\"b\",\"workspace\":"
      "\"desk\",\"queue\":\"seats\"}\n"
      "{\"wall_ms\":1030,\"event\":\"refused\",\"job\":\"c\",\"workspace\":"
      "\"night\",\"queue\":\"seats\",\"why\":\"backlog\"}\n"
      "{\"wall_ms\":1040,\"event\":\"accepted\",\"job\":\"c\",\"workspace\":"
      "\"night\",\"queue\":\"seats\"}\n"
      "{\"wall_ms\":1050,\"event\":\"accepted\",\"job\":\"d\",\"queue\":"
      "\"open\"}\n"
      "{\"wall_ms\":1900,\"event\":\"placed\",\"job\":\"a\",\"step\":0,"
      "\"lacked_ms\":{\"quota\":800,\"room\":20}}\n"
      "{\"wall_ms\":1950,\"event\":\"placed\",\"job\":\"b\",\"step\":0,"
      "\"lacked_ms\":{\"quota\":400}}\n"
      "{\"wall_ms\":2900,\"event\":\"job_ended\",\"job\":\"a\",\"state\":"
      "\"completed\",\"took_ms\":1900,\"due_ms\":1500}\n"
      "{\"wall_ms\":2900,\"event\":\"job_ended\",\"job\":\"c\",\"state\":"
      "\"completed\",\"took_ms\":900,\"due_ms\":1500}\n";

static void
test_what_callers_of_each_workspace_got (void **state)
{
  CliSession *session = *state;

  assert_int_equal (
      cli_session_run_with (session, "report --by-workspace", workspace_lines),
      MUX_EXIT_OK);
  assert_int_equal (cli_session_run_with (session,
                                          "report --by-workspace --json",
                                          workspace_lines),
                    MUX_EXIT_OK);
  cli_session_assert_golden (session, "report_by_workspace");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CLI_SESSION (test_table_by_queue_and_span),
    CLI_SESSION (test_shares_of_the_largest_jobs),
    CLI_SESSION (test_questions_and_waits_by_size),
    CLI_SESSION (test_what_callers_of_each_workspace_got),
  };

  return cmocka_run_group_tests (tests, cli_session_begin, cli_session_end);
}
