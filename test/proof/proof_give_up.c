#include "support/proof.h"

#define SHORT_MS 2000
/* A daemon's own delays beside a caller's limit. */
#define SLACK_MS 200

/* A worker falls silent with a request running.  The desk is told "unknown",
 * asks again with the same key at the same daemon, and waits no longer than
 * it said: the daemon, which goes on minding the task for itself, must not
 * hold the new caller for as long as that. */
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
  scenario_settle (s, 90000);
}

static const Proof proofs[] = {
  { "give_up_again", give_up_again, false, 1, 1, 1 },
};

int
main (void)
{
  return proof_main (proofs, sizeof proofs / sizeof proofs[0]);
}
