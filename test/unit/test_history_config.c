#include "demo/support/history.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define DONE "done"
#define NOT_RUN "not_run"

static void
line_of_calls (MuxHistory *history, const char *line)
{
  mux_history_calls (history, line, strlen (line));
}

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
change (MuxHistory *history, const char *who, const char *outcome, int revision)
{
  char line[256];

  snprintf (line, sizeof line,
            "{\"event\":\"change\",\"who\":\"%s\",\"expect\":%d,"
            "\"outcome\":\"%s\",\"revision\":%d}\n",
            who, 4, outcome, revision);
  line_of_calls (history, line);
}

static void
kept (MuxHistory *history, const char *daemon, const char *who, int revision)
{
  char line[256];

  snprintf (line, sizeof line,
            "{\"event\":\"kept\",\"daemon\":\"%s\",\"revision\":%d,"
            "\"object\":\"class/seat\",\"who\":\"%s\"}\n",
            daemon, revision, who);
  line_of_calls (history, line);
}

static void
shown (MuxHistory *history, const char *daemon, int life, int revision)
{
  char line[256];

  snprintf (line, sizeof line,
            "{\"event\":\"shown\",\"daemon\":\"%s\",\"life\":%d,"
            "\"revision\":%d}\n",
            daemon, life, revision);
  line_of_calls (history, line);
}

static void
test_good_config (void **state)
{
  MuxHistory *history = mux_history_new ();
  MuxHistoryReport report;

  (void) state;
  change (history, "op-1", "none", 0);
  change (history, "op-1", DONE, 5);
  change (history, "op-2", NOT_RUN, 0);
  change (history, "op-3", "unknown", 0);
  kept (history, "d1", "setup", 4);
  kept (history, "d1", "op-1", 5);
  shown (history, "d1", 1, 5);
  shown (history, "d1", 2, 4);
  shown (history, "d1", 2, 5);
  assert_true (mux_history_check (history, &report));
  mux_history_free (history);
}

/* An operator is told that a change was accepted, and it is not there. */
static void
test_config_lost (void **state)
{
  MuxHistory *history = mux_history_new ();

  (void) state;
  change (history, "op-1", DONE, 5);
  kept (history, "d1", "setup", 4);
  reject_history (history, MUX_RULE_CONFIG_LOST, 1);
}

static void
test_config_twice (void **state)
{
  MuxHistory *history = mux_history_new ();

  (void) state;
  change (history, "op-1", "unknown", 0);
  kept (history, "d1", "setup", 4);
  kept (history, "d1", "op-1", 5);
  kept (history, "d1", "op-1", 6);
  /* Twice there, and the second one follows the first, unseen. */
  reject_history (history, MUX_RULE_CONFIG_LOST, 2);
}

static void
test_config_refused_is_there (void **state)
{
  MuxHistory *history = mux_history_new ();

  (void) state;
  change (history, "op-1", NOT_RUN, 0);
  kept (history, "d1", "setup", 4);
  kept (history, "d1", "op-1", 5);
  reject_history (history, MUX_RULE_CONFIG_LOST, 1);
}

/* Two operators saw revision 4 and both were accepted: one is overwritten. */
static void
test_config_overwritten (void **state)
{
  MuxHistory *history = mux_history_new ();

  (void) state;
  change (history, "op-1", DONE, 5);
  change (history, "op-2", DONE, 6);
  kept (history, "d1", "setup", 4);
  kept (history, "d1", "op-1", 5);
  kept (history, "d1", "op-2", 6);
  reject_history (history, MUX_RULE_CONFIG_LOST, 1);
}

static void
test_config_back (void **state)
{
  MuxHistory *history = mux_history_new ();

  (void) state;
  shown (history, "d1", 1, 5);
  shown (history, "d2", 1, 4);
  shown (history, "d1", 1, 4);
  reject_history (history, MUX_RULE_CONFIG_BACK, 1);
}

static void
test_config_behind (void **state)
{
  MuxHistory *history = mux_history_new ();

  (void) state;
  change (history, "op-1", DONE, 5);
  kept (history, "d1", "setup", 4);
  kept (history, "d1", "op-1", 5);
  shown (history, "d2", 1, 4);
  reject_history (history, MUX_RULE_CONFIG_BACK, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_good_config),
    cmocka_unit_test (test_config_lost),
    cmocka_unit_test (test_config_twice),
    cmocka_unit_test (test_config_refused_is_there),
    cmocka_unit_test (test_config_overwritten),
    cmocka_unit_test (test_config_back),
    cmocka_unit_test (test_config_behind),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
