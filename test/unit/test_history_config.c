#include "demo/support/history.h"
#include "support/test.h"

#define DONE "done"
#define NOT_RUN "not_run"

/* Writes a line of the history; what @text and @revision are, it says. */
typedef int (*Write) (char line[256],
                      const char *who,
                      const char *text,
                      int revision);

/* An operator is told @text of a change of revision 4. */
static int
change (char line[256], const char *who, const char *text, int revision)
{
  return snprintf (line, 256,
                   "{\"event\":\"change\",\"who\":\"%s\",\"expect\":4,"
                   "\"outcome\":\"%s\",\"revision\":%d}\n",
                   who, text, revision);
}

/* A daemon's history has a change by @text. */
static int
kept (char line[256], const char *who, const char *text, int revision)
{
  return snprintf (line, 256,
                   "{\"event\":\"kept\",\"daemon\":\"%s\",\"revision\":%d,"
                   "\"object\":\"class/seat\",\"who\":\"%s\"}\n",
                   who, revision, text);
}

/* A daemon shows it, in its life number @text. */
static int
shown (char line[256], const char *who, const char *text, int revision)
{
  return snprintf (line, 256,
                   "{\"event\":\"shown\",\"daemon\":\"%s\",\"life\":%s,"
                   "\"revision\":%d}\n",
                   who, text, revision);
}

typedef struct
{
  const char *name;
  struct
  {
    Write write;
    const char *who;
    const char *text;
    int revision;
  } line[9];
  MuxRule rule; /* broken, or MUX_RULE_COUNT */
  uint32_t times;
} Case;

static Case cases[] = {
  { "test_good_config",
    { { change, "op-1", "none", 0 },
      { change, "op-1", DONE, 5 },
      { change, "op-2", NOT_RUN, 0 },
      { change, "op-3", "unknown", 0 },
      { kept, "d1", "setup", 4 },
      { kept, "d1", "op-1", 5 },
      { shown, "d1", "1", 5 },
      { shown, "d1", "2", 4 },
      { shown, "d1", "2", 5 } },
    MUX_RULE_COUNT,
    0 },
  /* An operator is told that a change was accepted, and it is not there. */
  { "test_config_lost",
    { { change, "op-1", DONE, 5 }, { kept, "d1", "setup", 4 } },
    MUX_RULE_CONFIG_LOST,
    1 },
  /* Twice there, and the second one follows the first, unseen. */
  { "test_config_twice",
    { { change, "op-1", "unknown", 0 },
      { kept, "d1", "setup", 4 },
      { kept, "d1", "op-1", 5 },
      { kept, "d1", "op-1", 6 } },
    MUX_RULE_CONFIG_LOST,
    2 },
  { "test_config_refused_is_there",
    { { change, "op-1", NOT_RUN, 0 },
      { kept, "d1", "setup", 4 },
      { kept, "d1", "op-1", 5 } },
    MUX_RULE_CONFIG_LOST,
    1 },
  /* Two operators saw revision 4 and both were accepted: one is overwritten. */
  { "test_config_overwritten",
    { { change, "op-1", DONE, 5 },
      { change, "op-2", DONE, 6 },
      { kept, "d1", "setup", 4 },
      { kept, "d1", "op-1", 5 },
      { kept, "d1", "op-2", 6 } },
    MUX_RULE_CONFIG_LOST,
    1 },
  { "test_config_back",
    { { shown, "d1", "1", 5 },
      { shown, "d2", "1", 4 },
      { shown, "d1", "1", 4 } },
    MUX_RULE_CONFIG_BACK,
    1 },
  { "test_config_behind",
    { { change, "op-1", DONE, 5 },
      { kept, "d1", "setup", 4 },
      { kept, "d1", "op-1", 5 },
      { shown, "d2", "1", 4 } },
    MUX_RULE_CONFIG_BACK,
    1 },
};

#define CASES (sizeof cases / sizeof cases[0])

/* Breaks the case's rule so many times and no other rule. */
static void
test_case (void **state)
{
  const Case *it = *state;
  MuxHistory *history = mux_history_new ();
  MuxHistoryReport report;
  char line[256];

  for (size_t i = 0; i < 9 && it->line[i].write != NULL; i++)
    mux_history_calls (history, line,
                       (size_t) it->line[i].write (line, it->line[i].who,
                                                   it->line[i].text,
                                                   it->line[i].revision));
  assert_int_equal (mux_history_check (history, &report), it->times == 0);
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
