#include "support/cli_session.h"
#include "support/test.h"

static const char log_lines[]
    = "{\"wall_ms\":1000,\"event\":\"accepted\",\"job\":\"fine\","
      "\"queue\":\"seats\",\"why\":\"planner\"}\n"
      "not JSON at all\n"
      "  3.2 entry-1 {\"wall_ms\":1040,\"event\":\"placed\",\"job\":"
      "\"fine\",\"step\":0,\"tasks\":1,\"late_ms\":-400}\n"
      "{\"wall_ms\":1900,\"event\":\"job_ended\",\"job\":\"fine\","
      "\"state\":\"completed\",\"took_ms\":900,\"due_ms\":1500}\n"
      /* The end of the next is read before its acceptance. */
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

/*
 * Many callers complain at once.  The lines of all daemons lie in one file in
 * no order; the table has a row for each queue and span, a late job counts
 * once, under its cause, and each refused try of a caller counts.
 */
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CLI_SESSION (test_table_by_queue_and_span),
  };

  return cmocka_run_group_tests (tests, cli_session_begin, cli_session_end);
}
