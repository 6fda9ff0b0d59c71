#include "support/config_cell.h"
#include "support/test.h"

#define SEED 11
#define NODES 1
#define START_MS 100

static void
expect_final (const ConfigCell *cell, MuxReason reason)
{
  assert_int_equal (cell->answer.outcome, MUX_OUTCOME_NOT_RUN);
  assert_string_equal (mux_reason_name (cell->answer.reason),
                       mux_reason_name (reason));
  assert_int_equal (cell->answer.retry_after_ms, 0);
}

static void
submit (ConfigCell *cell, const char *class, uint32_t tasks)
{
  MuxCoreRequest ask = { .verb = MUX_CORE_JOB_SUBMIT, .task_count = tasks };

  mux_name_copy (ask.name, class);
  config_cell_request (cell, 0, &ask);
}

/* A program sends the same malformed request ten times a second, for ever,
 * and its operator believes that the cell is overloaded.  The request was
 * refused as malformed, but with Retry-After: the daemon advised a retry
 * with every reason. */
static void
test_final_refusals_invite_nobody_back (void **state)
{
  ConfigCell cell;

  (void) state;
  config_cell_begin (&cell, SEED, NODES, START_MS);
  config_cell_put (&cell, 0, MUX_CONFIG_CLASS, "a", "{");
  expect_final (&cell, MUX_REASON_BAD_JSON);
  submit (&cell, "nobody", 1);
  expect_final (&cell, MUX_REASON_UNKNOWN_CLASS);
  submit (&cell, "desk", 1);
  expect_final (&cell, MUX_REASON_KIND_MISMATCH);
  config_cell_free (&cell);
}

/* A retry helps only against what is temporary: room, load, a daemon that
 * stops. */
static void
test_reasons_that_pass (void **state)
{
  static const MuxReason pass[] = {
    MUX_REASON_QUEUE_FULL,   MUX_REASON_QUOTA,        MUX_REASON_DEADLINE,
    MUX_REASON_STORE_DOWN,   MUX_REASON_STOPPING,     MUX_REASON_KEY_IN_USE,
    MUX_REASON_UNKNOWN_FATE, MUX_REASON_RETRY_BUDGET, MUX_REASON_INTERNAL
  };
  static const MuxReason stay[]
      = { MUX_REASON_NONE,           MUX_REASON_BAD_JSON,
          MUX_REASON_BAD_FIELD,      MUX_REASON_BAD_KEY,
          MUX_REASON_BAD_TICKET,     MUX_REASON_UNKNOWN_PATH,
          MUX_REASON_UNKNOWN_CLASS,  MUX_REASON_UNKNOWN_JOB,
          MUX_REASON_BODY_TOO_LARGE, MUX_REASON_NEVER_FITS,
          MUX_REASON_KIND_MISMATCH,  MUX_REASON_CANCELLED,
          MUX_REASON_REVISION,       MUX_REASON_ALREADY_RAN,
          MUX_REASON_TASK_FAILED };

  (void) state;
  for (size_t i = 0; i < sizeof pass / sizeof *pass; i++)
    assert_true (mux_reason_is_transient (pass[i]));
  for (size_t i = 0; i < sizeof stay / sizeof *stay; i++)
    assert_false (mux_reason_is_transient (stay[i]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_final_refusals_invite_nobody_back),
    cmocka_unit_test (test_reasons_that_pass),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
