#include "support/cli_session.h"
#include "support/test.h"

#include <unistd.h>

#define JOB "0123456789abcdef0123456789abcdef"
#define CLASS_SET                                                     \
  "class set seats --product booking --kind service --idempotent no " \
  "--start-within-ms 200 --cpu-milli 1500 --mem-mib 2048 --run-ms 800"

#define STATUS                                                             \
  "{\"instance\":\"entry-1\",\"data_centre\":\"nizwa-hall\","              \
  "\"revision\":9,\"ready\":true,\"stopping\":false,\"members\":["         \
  "{\"instance\":\"entry-1\",\"data_centre\":\"nizwa-hall\","              \
  "\"state\":\"alive\",\"revision\":9,\"incarnation\":77,\"silent_ms\":0," \
  "\"free\":{\"cpu_milli\":32000,\"mem_mib\":65536,\"accels\":0,"          \
  "\"slots\":40}},{\"instance\":\"entry-2\",\"state\":\"suspect\","        \
  "\"revision\":8}],\"not_confirmed\":[\"entry-2\"]}"

static void
test_views (void **state)
{
  static const char workers[]
      = "{\"workers\":[{\"worker\":\"w-01\",\"data_centre\":\"nizwa-hall\","
        "\"rack\":\"r1\",\"state\":\"live\",\"owner\":\"entry-1\","
        "\"epoch\":3,\"incarnation\":5,\"capacity\":{\"cpu_milli\":32000,"
        "\"mem_mib\":131072,\"accels\":0,\"slots\":8},\"free\":{"
        "\"cpu_milli\":16000,\"mem_mib\":65536,\"accels\":0,\"slots\":4},"
        "\"held\":true,\"drained\":false},{\"worker\":\"w\\u001b[2J\"}]}";
  static const char risk[]
      = "{\"classes\":[{\"class\":\"seats\",\"target_ppm\":990000,"
        "\"forecast_ppm\":950000,\"at_risk\":true,\"cause\":\"no room\","
        "\"queued\":12,\"p99_wait_ms\":900,\"cure\":{\"cpu_milli\":4000}}]}";
  static const char history[]
      = "{\"changes\":[{\"revision\":7,\"sort\":\"cell\",\"name\":\"cell\","
        "\"who\":\"hajar\",\"when_ms\":1700000000000,"
        "\"value\":{\"idle_ppm\":50000}},{\"revision\":8,\"sort\":\"class\","
        "\"name\":\"seats\",\"who\":\"derby\",\"when_ms\":1700000060000,"
        "\"value\":null}]}";
  static const char metrics[]
      = "# HELP cuminmux_requests_total requests accepted\n"
        "cuminmux_requests_total 12\n"
        "cuminmux_refused_total{reason=\"queue_full\"} 3\n";
  static const struct
  {
    const char *line;
    const char *body;
  } views[] = { { "status", STATUS },
                { "worker list", workers },
                { "risk", risk },
                { "history", history },
                { "history --after 6", history },
                { "counters", metrics } };
  CliSession *session = *state;
  char line[64];

  for (size_t i = 0; i < sizeof views / sizeof views[0]; i++)
    {
      cli_session_will (session, 200, views[i].body);
      cli_session_expect (session, views[i].line, MUX_EXIT_OK);
      snprintf (line, sizeof line, "%s --json", views[i].line);
      cli_session_will (session, 200, views[i].body);
      cli_session_expect (session, line, MUX_EXIT_OK);
    }
  cli_session_assert_golden (session, "views");
}

static void
test_config (void **state)
{
  static const char class_value[]
      = "{\"product\":\"booking\",\"kind\":\"service\",\"idempotent\":false,"
        "\"start_within_ms\":200,\"start_share_ppm\":990000,\"size\":"
        "{\"cpu_milli\":1500,\"mem_mib\":2048,\"accels\":0},\"run_ms\":800}";
  static const char *const changes[]
      = { CLASS_SET,
          CLASS_SET " --share-ppm 999000 --accels 2 --expect 0 --json",
          "class rm seats --expect 7",
          "class revert seats --to 7",
          "product set booking --cpu-milli 9000000 --mem-mib 1 --accels 0 "
          "--slots 400",
          "product rm booking",
          "product revert booking --to 3",
          "cell set --idle-ppm 50000 --expect 4 --who derby",
          "worker drain w-01",
          "worker undrain w-01" };
  CliSession *session = *state;
  char body[1024];

  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      cli_session_will (session, 200, "{\"revision\":8}");
      cli_session_expect (session, changes[i], MUX_EXIT_OK);
    }
  snprintf (body, sizeof body,
            "{\"name\":\"seats\",\"revision\":8,\"value\":%s}", class_value);
  cli_session_will (session, 200, body);
  cli_session_expect (session, "class get seats", MUX_EXIT_OK);
  cli_session_will (session, 200, body);
  cli_session_expect (session, "class get seats --json", MUX_EXIT_OK);
  snprintf (body, sizeof body,
            "{\"items\":[{\"name\":\"seats\",\"revision\":8,\"value\":%s}]}",
            class_value);
  cli_session_will (session, 200, body);
  cli_session_expect (session, "class list", MUX_EXIT_OK);
  cli_session_will (
      session, 200,
      "{\"items\":[{\"name\":\"booking\",\"revision\":2,\"value\":"
      "{\"quota\":{\"cpu_milli\":9000000,\"mem_mib\":1,\"accels\":0,"
      "\"slots\":400}}}]}");
  cli_session_expect (session, "product list", MUX_EXIT_OK);
  cli_session_will (
      session, 200,
      "{\"name\":\"cell\",\"revision\":4,\"value\":{\"idle_ppm\":1}}");
  cli_session_expect (session, "cell get", MUX_EXIT_OK);
  cli_session_assert_golden (session, "config");
}

static void
test_work (void **state)
{
  static const char job[]
      = "{\"id\":\"" JOB "\",\"class\":\"nightly\",\"state\":\"running\","
        "\"home\":\"entry-1\",\"revision\":4,\"tasks\":["
        "{\"index\":0,\"state\":\"done\",\"worker\":\"w-01\",\"attempt\":1},"
        "{\"index\":1,\"state\":\"queued\"}]}";
  CliSession *session = *state;

  cli_session_will (session, 202, "{\"id\":\"" JOB "\"}");
  cli_session_expect (session,
                      "job submit nightly --tasks 3 --key k-1 --body night",
                      MUX_EXIT_OK);
  cli_session_will (session, 200, job);
  cli_session_expect (session, "job show " JOB, MUX_EXIT_OK);
  cli_session_will (session, 200, job);
  cli_session_expect (session, "job wait " JOB " --wait-ms 9 --json",
                      MUX_EXIT_OK);
  cli_session_will_refuse (session, 504, "info", NULL, "{}");
  cli_session_expect (session, "job wait " JOB, MUX_EXIT_LATER);
  cli_session_will (session, 200, job);
  cli_session_expect (session, "job cancel " JOB, MUX_EXIT_OK);
  cli_session_will (session, 200,
                    "{\"jobs\":[{\"id\":\"" JOB "\",\"class\":\"nightly\","
                    "\"state\":\"running\"}]}");
  cli_session_expect (session, "job list", MUX_EXIT_OK);
  cli_session_will (session, 200, "seat 4 is yours\n");
  cli_session_expect (session, "request seats --give-up-ms 700", MUX_EXIT_OK);
  cli_session_will (session, 200, "seat 4 is yours");
  cli_session_expect (session, "request seats --json --body x", MUX_EXIT_OK);
  cli_server_will_respond (&session->door,
                           (CliServerResponse){ .status = 200,
                                                .body = "\xff\x00\x01",
                                                .body_len = 3 });
  cli_session_expect (session, "request seats --json --body x", MUX_EXIT_OK);
  cli_session_assert_golden (session, "work");
}

static void
test_refusals (void **state)
{
  static const char conflict[]
      = "{\"outcome\":\"not_run\",\"reason\":\"revision\",\"text\":"
        "\"changed by somebody else meanwhile\",\"findings\":[],"
        "\"now\":{\"revision\":9,\"who\":\"derby\"}}";
  static const char bad[]
      = "{\"outcome\":\"not_run\",\"reason\":\"bad_field\",\"text\":\"bad\","
        "\"findings\":[{\"place\":\"product\",\"text\":\"no such product\"}]}";
  CliSession *session = *state;

  cli_session_will_refuse (session, 409, "not_run", "revision", conflict);
  cli_session_expect (session, CLASS_SET " --expect 8", MUX_EXIT_REFUSED);
  cli_session_will_refuse (session, 400, "not_run", "bad_field", bad);
  cli_session_expect (session, CLASS_SET, MUX_EXIT_REFUSED);
  cli_session_will_refuse (session, 400, "not_run", "bad_field", bad);
  cli_session_expect (session, CLASS_SET " --json", MUX_EXIT_REFUSED);
  cli_session_will_refuse (session, 404, "not_run", "unknown_class", "{}");
  cli_session_expect (session, "class get nobody", MUX_EXIT_REFUSED);
  cli_session_will_refuse (session, 429, "not_run", "queue_full", "{}");
  cli_session_expect (session, "request seats", MUX_EXIT_LATER);
  cli_session_will_refuse (session, 503, "not_run", "store_down", "{}");
  cli_session_expect (session, CLASS_SET, MUX_EXIT_LATER);
  cli_session_will_refuse (session, 502, "failed", "task_failed", "{}");
  cli_session_expect (session, "request seats", MUX_EXIT_REFUSED);
  cli_session_will (session, 200, "no JSON");
  cli_session_expect (session, "status", MUX_EXIT_UNREACHED);
  cli_session_assert_golden (session, "refusals");
}

static void
test_bad_use (void **state)
{
  CliSession *session = *state;

  cli_session_expect (session, "", MUX_EXIT_USAGE);
  cli_session_expect (session, "klass list", MUX_EXIT_USAGE);
  cli_session_expect (session, "class", MUX_EXIT_USAGE);
  cli_session_expect (session, "class get", MUX_EXIT_USAGE);
  cli_session_expect (session, "class get a b --frob", MUX_EXIT_USAGE);
  cli_session_expect (session, "class get ../product --json --json",
                      MUX_EXIT_USAGE);
  cli_session_expect (session,
                      "class set seats --idempotent maybe "
                      "--run-ms 1x --expect -1 --change ab",
                      MUX_EXIT_USAGE);
  cli_session_expect (session,
                      "class set seats --product p! --kind cron "
                      "--idempotent yes --start-within-ms 0 "
                      "--share-ppm 1000001 --cpu-milli -1 "
                      "--mem-mib 16777217 --accels 65 "
                      "--run-ms 604800001",
                      MUX_EXIT_USAGE);
  cli_session_expect (session, "cell set --idle-ppm 1000001", MUX_EXIT_USAGE);
  cli_session_expect (session, "request seats --body a --file b",
                      MUX_EXIT_USAGE);
  cli_session_expect (session, "job show 12", MUX_EXIT_USAGE);
  cli_session_expect (session, "status --server http://door:80",
                      MUX_EXIT_USAGE);
  session->server[0] = 0;
  cli_session_expect (session, "status --timeout-ms 0", MUX_EXIT_USAGE);
  cli_session_assert_golden (session, "bad_use");
}

static void
test_help (void **state)
{
  CliSession *session = *state;

  session->server[0] = 0;
  cli_session_expect (session, "--help", MUX_EXIT_OK);
  cli_session_expect (session, "class --help", MUX_EXIT_OK);
  cli_session_expect (session, "class set --help", MUX_EXIT_OK);
  cli_session_expect (session, "request --help", MUX_EXIT_OK);
  cli_session_assert_golden (session, "help");
}

/* An operator sets a class and the write takes effect, but the connection
 * breaks before the response is complete.  The program retries with the
 * same change id, and the daemon answers with the revision already in
 * force.  A new id would change the class a second time. */
static void
test_lost_answer_repeats_the_same_change (void **state)
{
  CliSession *session = *state;

  cli_session_will_break_off (session);
  cli_session_will (session, 200, "{\"revision\":8}");
  cli_session_expect (session, CLASS_SET, MUX_EXIT_OK);
  cli_session_assert_golden (session, "lost_answer");
}

/* A write's response is lost, and the retry meets a daemon without its
 * store: "not run" is true of the retry alone, as the first request may
 * have taken effect.  The operator must not be told that nothing happened,
 * and gets the change id to find out later. */
static void
test_not_run_after_a_lost_answer_is_unknown (void **state)
{
  CliSession *session = *state;

  cli_session_will_break_off (session);
  cli_session_will_refuse (session, 503, "not_run", "store_down", "{}");
  cli_session_expect (session, CLASS_SET, MUX_EXIT_UNKNOWN);
  cli_session_will_break_off (session);
  cli_session_will_refuse (session, 409, "not_run", "revision", "{}");
  cli_session_expect (session, CLASS_SET " --expect 7", MUX_EXIT_REFUSED);
  cli_session_will_refuse (session, 504, "unknown", "unknown_fate", "{}");
  cli_session_will_refuse (session, 504, "unknown", "unknown_fate", "{}");
  cli_session_expect (session, "request seats", MUX_EXIT_UNKNOWN);
  cli_session_will_break_off (session);
  cli_session_will_break_off (session);
  cli_session_expect (session, "request seats --key desk-7 --json",
                      MUX_EXIT_UNKNOWN);
  cli_session_will (session, 200, "{\"revision\":8}");
  cli_session_expect (session, CLASS_SET " --change " JOB, MUX_EXIT_OK);
  cli_session_will (session, 200, "cut by a party in between");
  cli_session_expect (session, CLASS_SET " --json", MUX_EXIT_UNKNOWN);
  cli_session_assert_golden (session, "unknown");
}

/* The first daemon of the list is gone and its port refuses connections,
 * the second is stopping and runs nothing, the third answers.  Nothing was
 * sent to the first and nothing run by the second, so trying the next one
 * is safe. */
static void
test_moves_on_to_the_next_server (void **state)
{
  CliSession *session = *state;
  uint16_t port = session->door.port;
  char list[128];
  int fd;
  uint16_t gone = cli_port_refusing (&fd);

  assert_true (fd >= 0);
  snprintf (session->server, sizeof session->server, "http://127.0.0.1:%u",
            gone);
  cli_session_expect (session, "status", MUX_EXIT_UNREACHED);
  cli_session_expect (session, CLASS_SET " --json", MUX_EXIT_UNREACHED);
  snprintf (list, sizeof list,
            "http://127.0.0.1:%u,http://127.0.0.1:%u,http://127.0.0.1:%u", gone,
            port, port);
  memcpy (session->server, list, sizeof list);
  cli_session_will_refuse (session, 503, "not_run", "stopping", "{}");
  cli_session_will (session, 200, "{\"revision\":8}");
  cli_session_expect (session, CLASS_SET, MUX_EXIT_OK);
  cli_session_will (session, 200, STATUS);
  cli_session_expect (session, "status --json", MUX_EXIT_OK);
  close (fd);
  cli_session_assert_golden (session, "servers");
}

/* The operator's environment names an HTTP proxy, which the HTTP client
 * uses by default.  Calls to daemons through it fail, or a proxy that
 * resends requests runs a write twice. */
static void
test_no_proxy_from_the_environment (void **state)
{
  CliSession *session = *state;
  char proxy[64];
  int fd;

  snprintf (proxy, sizeof proxy, "http://127.0.0.1:%u",
            cli_port_refusing (&fd));
  assert_int_equal (setenv ("http_proxy", proxy, 1), 0);
  cli_session_will (session, 200, STATUS);
  cli_session_expect (session, "status", MUX_EXIT_OK);
  close (fd);
}

/* A change is committed at revision 9 while one daemon is still at 8.  With
 * --wait the program returns only when that one has caught up, and else
 * names it when the time is over; a dead daemon delays nobody. */
static void
test_wait_until_in_force (void **state)
{
  static const char caught_up[]
      = "{\"instance\":\"entry-1\",\"revision\":9,\"members\":["
        "{\"instance\":\"entry-2\",\"state\":\"alive\",\"revision\":9},"
        "{\"instance\":\"entry-3\",\"state\":\"dead\",\"revision\":2}]}";
  CliSession *session = *state;

  cli_session_will (session, 200, "{\"revision\":9}");
  cli_session_will (session, 200, STATUS);
  cli_session_will (session, 200, caught_up);
  cli_session_expect (session, "worker drain w-01 --wait", MUX_EXIT_OK);
  assert_int_equal (session->now_ms, 100);
  cli_session_will (session, 200, "{\"revision\":9}");
  for (int i = 0; i < 3; i++)
    cli_session_will (session, 200, STATUS);
  cli_session_expect (session, "worker drain w-01 --wait --wait-ms 200",
                      MUX_EXIT_LATER);
  cli_session_will (session, 200, "{\"revision\":9}");
  cli_session_will (session, 200, STATUS);
  cli_session_expect (session, "worker drain w-01 --wait --wait-ms 0 --json",
                      MUX_EXIT_LATER);
  cli_session_assert_golden (session, "wait");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CLI_SESSION (test_views),
    CLI_SESSION (test_config),
    CLI_SESSION (test_work),
    CLI_SESSION (test_refusals),
    CLI_SESSION (test_bad_use),
    CLI_SESSION (test_help),
    CLI_SESSION (test_lost_answer_repeats_the_same_change),
    CLI_SESSION (test_not_run_after_a_lost_answer_is_unknown),
    CLI_SESSION (test_moves_on_to_the_next_server),
    CLI_SESSION (test_no_proxy_from_the_environment),
    CLI_SESSION (test_wait_until_in_force),
  };

  return cmocka_run_group_tests (tests, cli_session_begin, cli_session_end);
}
