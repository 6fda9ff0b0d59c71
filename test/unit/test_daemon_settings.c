#include "src/daemon/settings_table.h"
#include "support/test.h"

/* Limits of the instance in the daemon's settings. */

static MuxFindings findings;

static bool
read_limits (MuxDaemonOptions *options, const char *memory, const char *link)
{
  char *argv[] = { (char *) (uintptr_t) "cuminmuxd",
                   (char *) (uintptr_t) "--name=a",
                   (char *) (uintptr_t) "--data-centre=b",
                   (char *) (uintptr_t) "--listen=127.0.0.1:0",
                   (char *) (uintptr_t) "--peer-listen=127.0.0.1:0",
                   NULL };

  memset (&findings, 0, sizeof findings);
  setenv ("CUMINMUX_MEMORY_MB", memory, 1);
  setenv ("CUMINMUX_LINK_MBPS", link, 1);
  return mux_daemon_options_read (5, argv, options, &findings);
}

static void
expect_limits (const char *memory,
               const char *link,
               uint32_t memory_mib,
               uint32_t link_kbps)
{
  MuxDaemonOptions options;

  assert_true (read_limits (&options, memory, link));
  assert_int_equal (options.memory_mib, memory_mib);
  assert_int_equal (options.link_kbps, link_kbps);
  mux_daemon_options_free (&options);
}

/* A template of the platform may give decimals, or nothing for a limit that
 * it does not know: a daemon that refuses these would not start. */
static void
test_limits_are_read (void **state)
{
  (void) state;
  expect_limits ("512", "200", 512, 200000);
  expect_limits ("120.5", "0.5", 120, 500);
  expect_limits ("0", "0", 0, 0);
  expect_limits ("", "", 0, 0);
}

static void
expect_finding (const char *memory, const char *link, const char *place)
{
  MuxDaemonOptions options;

  assert_false (read_limits (&options, memory, link));
  assert_int_equal (findings.count, 1);
  assert_string_equal (findings.item[0].place, place);
}

static uint64_t
request_memory (const char *memory, const char *given)
{
  MuxDaemonOptions options;
  uint64_t bytes;

  setenv ("CUMINMUX_REQUEST_MEMORY_MB", given, 1);
  assert_true (read_limits (&options, memory, ""));
  bytes = options.request_memory_bytes;
  mux_daemon_options_free (&options);
  return bytes;
}

/* Guards against callers that may hold more memory than the instance has, and
 * against so little that the largest body is always refused. */
static void
test_request_memory_follows_the_instance (void **state)
{
  MuxDaemonOptions options;

  (void) state;
  assert_int_equal (request_memory ("160", ""), 80 << 20);
  assert_int_equal (request_memory ("", ""), 256 << 20);
  assert_int_equal (request_memory ("160", "48"), 48 << 20);
  assert_int_equal (request_memory ("20", ""), 32 << 20);
  setenv ("CUMINMUX_REQUEST_MEMORY_MB", "31", 1);
  assert_false (read_limits (&options, "160", ""));
  assert_string_equal (findings.item[0].place, "--request-memory-mb");
  setenv ("CUMINMUX_REQUEST_MEMORY_MB", "much", 1);
  assert_false (read_limits (&options, "160", ""));
  setenv ("CUMINMUX_REQUEST_MEMORY_MB", "", 1);
}

/* A limit that is silently wrong would move the planner to a wrong
 * instance. */
static void
test_limits_out_of_range_are_refused (void **state)
{
  (void) state;
  expect_finding ("-1", "200", "--memory-mb");
  expect_finding ("16777217", "200", "--memory-mb");
  expect_finding ("512M", "200", "--memory-mb");
  expect_finding ("512", "1000001", "--link-mbps");
  expect_finding ("512", "nan", "--link-mbps");
  expect_finding ("512", "fast", "--link-mbps");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limits_are_read),
    cmocka_unit_test (test_request_memory_follows_the_instance),
    cmocka_unit_test (test_limits_out_of_range_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
