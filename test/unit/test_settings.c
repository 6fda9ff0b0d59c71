#include "base/settings.h"
#include "support/test.h"

enum
{
  NAME,
  LISTEN,
  COUNT_MAX,
  PEERS,
  VERBOSE,
  SECRET,
  URL,
  SPEC_COUNT
};

static const MuxSettingSpec specs[SPEC_COUNT] = {
  { "name", "CUMINMUX_NAME", MUX_SETTING_NAME, "", 0, 0, NULL, "a name" },
  { "listen", "CUMINMUX_LISTEN", MUX_SETTING_ADDRESS, "", 0, 0, "127.0.0.1:0",
    "an address" },
  { "count-max", "CUMINMUX_COUNT_MAX", MUX_SETTING_INTEGER, "", 10, 20, "15",
    "a number" },
  { "peers", "CUMINMUX_PEERS", MUX_SETTING_ADDRESSES, "", 0, 0, "",
    "addresses" },
  { "verbose", "CUMINMUX_VERBOSE", MUX_SETTING_SWITCH, "", 0, 0, "0",
    "a switch" },
  { NULL, "CUMINMUX_SECRET", MUX_SETTING_TEXT, "", 0, 0, "", "a secret" },
  { "url", "CUMINMUX_URL", MUX_SETTING_URL, "", 0, 0, "", "a URL" },
};

/* Findings of the last READ. */
static MuxFindings findings;

static MuxSettings *
read_argv (const char *const *argv)
{
  char *copy[16] = { (char *) (uintptr_t) "prog" };
  int argc = 1;

  memset (&findings, 0, sizeof findings);
  for (; argv[argc - 1] != NULL; argc++)
    copy[argc] = (char *) (uintptr_t) argv[argc - 1];
  return mux_settings_read (specs, SPEC_COUNT, argc, copy, &findings);
}

#define READ(...) read_argv ((const char *const[]){ __VA_ARGS__, NULL })

static int
clear_environment (void **state)
{
  (void) state;
  for (uint32_t i = 0; i < SPEC_COUNT; i++)
    unsetenv (specs[i].env);
  unsetenv ("CUMINMUX_NONSENSE");
  return 0;
}

static bool
has_place (const char *place)
{
  for (uint32_t i = 0; i < findings.count; i++)
    if (strcmp (findings.item[i].place, place) == 0)
      return true;
  return false;
}

static void
expect_one (const char *place)
{
  assert_int_equal (findings.count, 1);
  assert_string_equal (findings.item[0].place, place);
}

static void
test_defaults (void **state)
{
  MuxSettings *settings = READ ("--name=a");
  uint32_t count;

  (void) state;
  assert_non_null (settings);
  assert_string_equal (mux_settings_text (settings, NAME), "a");
  assert_string_equal (mux_settings_text (settings, LISTEN), "127.0.0.1:0");
  assert_int_equal (mux_settings_integer (settings, COUNT_MAX), 15);
  assert_false (mux_settings_switch (settings, VERBOSE));
  assert_string_equal (mux_settings_text (settings, SECRET), "");
  mux_settings_addresses (settings, PEERS, &count);
  assert_int_equal (count, 0);
  mux_settings_free (settings);
}

static void
test_flag_goes_before_environment (void **state)
{
  MuxSettings *settings;

  (void) state;
  setenv ("CUMINMUX_NAME", "of-env", 1);
  setenv ("CUMINMUX_COUNT_MAX", "11", 1);
  setenv ("CUMINMUX_VERBOSE", "1", 1);
  setenv ("CUMINMUX_SECRET", "hush", 1);
  settings = READ ("--name", "of-flag");
  assert_non_null (settings);
  assert_string_equal (mux_settings_text (settings, NAME), "of-flag");
  assert_int_equal (mux_settings_integer (settings, COUNT_MAX), 11);
  assert_true (mux_settings_switch (settings, VERBOSE));
  assert_string_equal (mux_settings_text (settings, SECRET), "hush");
  mux_settings_free (settings);
}

static void
test_addresses (void **state)
{
  MuxSettings *settings = READ ("--name=a", "--peers=10.0.0.1:1,[::1]:2");
  const char *const *address;
  uint32_t count;

  (void) state;
  assert_non_null (settings);
  address = mux_settings_addresses (settings, PEERS, &count);
  assert_int_equal (count, 2);
  assert_string_equal (address[0], "10.0.0.1:1");
  assert_string_equal (address[1], "[::1]:2");
  mux_settings_free (settings);
}

/* An operator mistypes several settings.  If only the first error is
 * reported, the daemon is restarted once for each of them. */
static void
test_all_findings_at_once (void **state)
{
  static const char *const places[] = { "--name",
                                        "--listen",
                                        "CUMINMUX_COUNT_MAX",
                                        "--peers",
                                        "CUMINMUX_VERBOSE",
                                        "--url",
                                        "CUMINMUX_NONSENSE",
                                        "--bogus",
                                        "stray" };

  (void) state;
  setenv ("CUMINMUX_NONSENSE", "1", 1);
  setenv ("CUMINMUX_COUNT_MAX", "21", 1);
  setenv ("CUMINMUX_VERBOSE", "yes", 1);
  assert_null (READ ("--listen=localhost:80", "--peers=1.2.3.4:x,",
                     "--url=ftp://1.2.3.4:5", "--bogus=1", "stray"));
  for (size_t i = 0; i < sizeof places / sizeof places[0]; i++)
    assert_true (has_place (places[i]));
  /* Two entries of --peers are wrong. */
  assert_int_equal (findings.count, 10);
}

static void
test_given_twice (void **state)
{
  (void) state;
  assert_null (READ ("--name=a", "--name=b"));
  expect_one ("--name");
}

static void
test_integer_ranges (void **state)
{
  static const char *const bad[] = { "--count-max=9",
                                     "--count-max=21",
                                     "--count-max=",
                                     "--count-max=1e1",
                                     "--count-max= 12",
                                     "--count-max=12x",
                                     "--count-max=99999999999999999999",
                                     "--count-max=-12" };
  MuxSettings *settings;

  (void) state;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      assert_null (READ ("--name=a", bad[i]));
      expect_one ("--count-max");
    }
  settings = READ ("--name=a", "--count-max=10");
  assert_non_null (settings);
  mux_settings_free (settings);
  settings = READ ("--name=a", "--count-max=20");
  assert_non_null (settings);
  mux_settings_free (settings);
}

/* A secret on the command line is visible to whoever lists the processes of
 * the instance; no flag may take one. */
static void
test_secret_has_no_flag (void **state)
{
  (void) state;
  assert_null (READ ("--name=a", "--secret=hush"));
  expect_one ("--secret");
  assert_null (strstr (findings.item[0].text, "hush"));
}

int
main (void)
{
#define SETTINGS(test) cmocka_unit_test_setup (test, clear_environment)
  const struct CMUnitTest tests[] = {
    SETTINGS (test_defaults),
    SETTINGS (test_flag_goes_before_environment),
    SETTINGS (test_addresses),
    SETTINGS (test_all_findings_at_once),
    SETTINGS (test_given_twice),
    SETTINGS (test_integer_ranges),
    SETTINGS (test_secret_has_no_flag),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
