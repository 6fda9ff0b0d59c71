#include "support/proof.h"

#define SHORT_MS 2000
/* What a daemon's own delays may add to a caller's limit. */
#define SLACK_MS 200

/* A worker falls silent with a request running.  The caller is answered
 * "unknown" and retries with the same key at the same daemon.  It must wait
 * no longer than the limit that it gave, although the daemon itself keeps
 * resolving the task for longer. */
static void
give_up_again (Scenario *s)
{
  uint32_t tag = scenario_work (s, SCENARIO_ONCE, true, 0, 60000);
  uint32_t call;

  scenario_submit (s, 0, tag, 20000);
  s->workers[scenario_until_running (s, tag)].silent = true;
  scenario_run (s, 20000);
  for (uint32_t i = 0; i < 3; i++)
    {
      call = scenario_submit (s, 0, tag, SHORT_MS);
      scenario_run (s, SHORT_MS + SLACK_MS);
      proof_expect_all (s, call, 1, MUX_OUTCOME_UNKNOWN);
    }
  scenario_heal_and_check (s, 90000);
}

/* The store is down.  A caller that sends a key and states that it is the
 * first time is answered "not run" and may act on that; when it is sent
 * again, the key may have run for all that the daemon can read, and the
 * answer is "unknown". */
static void
first_is_not_run (Scenario *s)
{
  MuxCoreRequest ask = { .verb = MUX_CORE_RUN_TASK,
                         .name = "once",
                         .key = "voucher-17",
                         .key_is_new = true,
                         .timeout_ms = SHORT_MS,
                         .body = mux_blob_new ("run_ms=10", 9) };
  uint32_t call;

  s->store_fails = s->net->table.down = true;
  for (uint32_t i = 0; i < 2; i++, ask.key_is_new = false)
    {
      call = scenario_call (s, 0, &ask);
      scenario_run (s, SHORT_MS);
      proof_expect_all (s, call, 1,
                        i == 0 ? MUX_OUTCOME_NOT_RUN : MUX_OUTCOME_UNKNOWN);
    }
  mux_blob_unref (ask.body);
  scenario_heal_and_check (s, 30000);
}

static const Proof proofs[] = {
  { "give_up_again", give_up_again, false, 1, 1, 1 },
  { "first_is_not_run", first_is_not_run, false, 1, 1, 1 },
};

int
main (void)
{
  return proof_main (proofs, sizeof proofs / sizeof proofs[0]);
}
