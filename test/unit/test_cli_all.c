#include "support/cli_session.h"
#include "support/test.h"

#include <unistd.h>

#include <zmq.h>

#define KEY_LEN 40

/* Two calls to the stand-in and, at the end of the list, a port that
 * refuses connections. */
static void
use_three_servers (CliSession *session, int *fd)
{
  unsigned gone = cli_port_refusing (fd);
  unsigned port = session->door.port;

  assert_true (*fd >= 0);
  snprintf (session->server, sizeof session->server,
            "http://127.0.0.1:%u,http://127.0.0.1:%u,http://127.0.0.1:%u", port,
            port, gone);
}

/* Runs a verb with the readable output and with JSON. */
static void
run_twice (CliSession *session,
           const char *verb,
           const char *first,
           const char *second,
           int code)
{
  static const char *const forms[] = { "%s --all", "%s --all --json" };
  char line[64];

  for (size_t i = 0; i < 2; i++)
    {
      cli_session_will (session, 200, first);
      cli_session_will (session, 200, second);
      snprintf (line, sizeof line, forms[i], verb);
      cli_session_expect (session, line, code);
    }
}

static void
use_two_servers (CliSession *session)
{
  unsigned port = session->door.port;

  snprintf (session->server, sizeof session->server,
            "http://127.0.0.1:%u,http://127.0.0.1:%u", port, port);
}

/* Each daemon holds its own workers and shows free room 0 for those of
 * others; one alone would look like a cell that is nearly full.  Worker w-2
 * has just changed owners and both still report that they hold it: the
 * higher epoch is right. */
static void
test_workers_of_all (void **state)
{
  CliSession *session = *state;

  use_two_servers (session);
  run_twice (session, "worker list",
             "{\"workers\":[{\"worker\":\"w-1\",\"held\":true,\"epoch\":3,"
             "\"owner\":\"entry-1\",\"free\":{\"slots\":4}},"
             "{\"worker\":\"w-2\",\"held\":true,\"epoch\":7,\"owner\":"
             "\"entry-1\",\"free\":{\"slots\":8}},"
             "{\"worker\":\"w-3\",\"held\":false,\"epoch\":1,\"owner\":"
             "\"entry-2\",\"free\":{\"slots\":0}}]}",
             "{\"workers\":[{\"worker\":\"w-1\",\"held\":false,\"epoch\":3,"
             "\"owner\":\"entry-1\",\"free\":{\"slots\":0}},"
             "{\"worker\":\"w-2\",\"held\":true,\"epoch\":8,\"owner\":"
             "\"entry-2\",\"free\":{\"slots\":2}},"
             "{\"worker\":\"w-3\",\"held\":true,\"epoch\":1,\"owner\":"
             "\"entry-2\",\"free\":{\"slots\":6}},"
             "{\"worker\":\"w-4\",\"held\":false,\"epoch\":0}]}",
             MUX_EXIT_OK);
  cli_session_assert_golden (session, "all_workers");
}

/* Callers of one data centre wait while those of the other don't.  An
 * operator who queries only the idle one would see no problem. */
static void
test_risk_of_all (void **state)
{
  CliSession *session = *state;

  use_two_servers (session);
  run_twice (session, "risk",
             "{\"classes\":[{\"class\":\"seats\",\"target_ppm\":990000,"
             "\"forecast_ppm\":1000000,\"at_risk\":false,\"cause\":\"none\","
             "\"queued\":2,\"p99_wait_ms\":900},{\"class\":\"nightly\","
             "\"forecast_ppm\":700000,\"at_risk\":true,\"cause\":\"no room\","
             "\"queued\":5,\"p99_wait_ms\":40}]}",
             "{\"classes\":[{\"class\":\"seats\",\"target_ppm\":990000,"
             "\"forecast_ppm\":950000,\"at_risk\":true,\"cause\":\"no room\","
             "\"queued\":12,\"p99_wait_ms\":300},{\"class\":\"nightly\","
             "\"forecast_ppm\":990000,\"at_risk\":false,\"cause\":\"none\","
             "\"queued\":1,\"p99_wait_ms\":70}]}",
             MUX_EXIT_OK);
  cli_session_assert_golden (session, "all_risk");
}

static void
test_status_of_all (void **state)
{
  CliSession *session = *state;

  use_two_servers (session);
  run_twice (session, "status",
             "{\"instance\":\"entry-1\",\"data_centre\":\"nizwa-hall\","
             "\"revision\":9,\"ready\":true,\"stopping\":false,"
             "\"store_down\":true,\"workers_held\":6,\"queued\":1,\"booked\":3,"
             "\"members\":[{\"instance\":\"entry-2\",\"state\":\"dead\"},"
             "{\"instance\":\"entry-3\",\"state\":\"live\"}]}",
             "{\"instance\":\"entry-2\",\"data_centre\":\"bahla-hall\","
             "\"revision\":8,\"ready\":true,\"stopping\":false,"
             "\"store_down\":false,\"members\":["
             "{\"instance\":\"entry-1\",\"state\":\"live\"}]}",
             MUX_EXIT_OK);
  cli_session_assert_golden (session, "all_status");
}

/* One daemon is gone, one refuses.  What the others answer is shown, but
 * must be marked as incomplete, for people and for scripts. */
static void
test_all_but_some (void **state)
{
  CliSession *session = *state;
  int fd;

  use_three_servers (session, &fd);
  cli_session_will (session, 200, "{\"classes\":[{\"class\":\"seats\"}]}");
  cli_session_will_refuse (session, 503, "info", "ring_full", "{}");
  cli_session_expect (session, "risk --all", MUX_EXIT_LATER);
  fflush (session->log);
  assert_non_null (strstr (session->text, "seats"));
  assert_non_null (strstr (session->text, ": ring_full\n"));
  cli_session_will (session, 200, "{\"classes\":[]}");
  cli_session_will (session, 200, "not JSON");
  cli_session_expect (session, "risk --all --json", MUX_EXIT_LATER);
  fflush (session->log);
  assert_non_null (strstr (session->text, "\"unanswered\": [\n    \"127."));
  cli_session_will_refuse (session, 503, "info", "stopping", "{}");
  cli_session_will_refuse (session, 503, "info", "stopping", "{}");
  cli_session_expect (session, "status --all", MUX_EXIT_UNREACHED);
  close (fd);
}

static void
test_settings_before_the_verb (void **state)
{
  CliSession *session = *state;
  char line[256];

  snprintf (line, sizeof line, "--server %s --json class get seats",
            session->server);
  session->server[0] = 0;
  cli_session_will (session, 200, "{\"name\":\"seats\",\"revision\":8}");
  cli_session_expect (session, line, MUX_EXIT_OK);
  fflush (session->log);
  assert_non_null (strstr (session->text, "> GET /v1/config/class/seats\n{\n"));
  /* The line names this run's port, so it stays out of the golden file. */
  rewind (session->log);
  cli_session_run (session, "--json=1 --timeout-ms=700 status");
  cli_session_run (session, "--server http://127.0.0.1:1 --json klass list");
  cli_session_run (session, "--json status --json");
  cli_session_run (session, "--who derby");
  cli_session_run (session, "--server");
  cli_session_run (session, "--frob status");
  cli_session_run (session, "--timeout-ms 0 status");
  cli_session_expect (session, "--json --help", MUX_EXIT_OK);
  cli_session_expect (session, "--json ticket --help", MUX_EXIT_OK);
  cli_session_assert_golden (session, "before_verb");
}

static void
test_tickets (void **state)
{
  CliSession *session = *state;

  cli_session_will (session, 200, "{\"ticket\":\"1;ab;9f\",\"valid_ms\":3000}");
  cli_session_expect (session, "ticket seats", MUX_EXIT_OK);
  cli_session_will (session, 200, "{\"ticket\":\"1;ab;9f\",\"valid_ms\":3000}");
  cli_session_expect (session, "ticket seats --json", MUX_EXIT_OK);
  cli_session_will_refuse (session, 503, "not_run", "no_workers", "{}");
  cli_session_expect (session, "ticket seats", MUX_EXIT_LATER);
  cli_session_will (session, 200, "[]");
  cli_session_expect (session, "ticket seats", MUX_EXIT_UNREACHED);
  cli_session_will (session, 200, "seat 4 is yours\n");
  cli_session_expect (session, "request seats --ticket 1;ab;9f --body x",
                      MUX_EXIT_OK);
  cli_session_expect (session, "request seats --ticket 1;ab;9f --key k",
                      MUX_EXIT_USAGE);
  cli_session_will_break_off (session);
  cli_session_will_break_off (session);
  cli_session_expect (session, "request seats --ticket 1;ab;9f --body x",
                      MUX_EXIT_UNKNOWN);
  cli_session_assert_golden (session, "tickets");
}

/* A certificate and key that do not match keep every daemon out of the cell. */
static void
test_keygen (void **state)
{
  CliSession *session = *state;
  char secret[2][KEY_LEN + 1], public[2][KEY_LEN + 1], derived[KEY_LEN + 1];
  const char *at;

  session->server[0] = 0;
  cli_session_expect (session, "keygen", MUX_EXIT_OK);
  cli_session_expect (session, "keygen", MUX_EXIT_OK);
  fflush (session->log);
  at = session->text;
  for (int i = 0; i < 2; i++)
    {
      at = strstr (at, "CUMINMUX_CURVE_SECRET_KEY='");
      assert_non_null (at);
      assert_int_equal (sscanf (at,
                                "CUMINMUX_CURVE_SECRET_KEY='%40[^']'\n"
                                "CUMINMUX_CURVE_PUBLIC_KEY='%40[^']'\n",
                                secret[i], public[i]),
                        2);
      assert_int_equal (zmq_curve_public (derived, secret[i]), 0);
      assert_string_equal (derived, public[i]);
      at++;
    }
  assert_string_not_equal (secret[0], secret[1]);
  cli_session_expect (session, "keygen --json", MUX_EXIT_OK);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CLI_SESSION (test_workers_of_all),
    CLI_SESSION (test_risk_of_all),
    CLI_SESSION (test_status_of_all),
    CLI_SESSION (test_all_but_some),
    CLI_SESSION (test_settings_before_the_verb),
    CLI_SESSION (test_tickets),
    CLI_SESSION (test_keygen),
  };

  return cmocka_run_group_tests (tests, cli_session_begin, cli_session_end);
}
