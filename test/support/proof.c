#include "support/proof.h"

#include <stdlib.h>

#define SEEDS 5
#define GIVE_UP_MS 10000

void
proof_expect (Scenario *s, bool good, const char *text)
{
  if (!good)
    scenario_violation (s, "%s", text);
}

uint32_t
proof_fill (Scenario *s,
            uint32_t node,
            ScenarioClass class_id,
            uint32_t count,
            uint32_t run_ms)
{
  uint32_t first = s->call_count;

  for (uint32_t i = 0; i < count; i++)
    scenario_request (s, node, class_id, run_ms, GIVE_UP_MS);
  return first;
}

void
proof_expect_all (Scenario *s,
                  uint32_t first,
                  uint32_t count,
                  MuxOutcome outcome)
{
  for (uint32_t i = first; i < first + count; i++)
    if (!scenario_has_outcome (s, i, outcome))
      scenario_violation (s, "call %u: %u answers, %s %s instead of %s", i,
                          s->calls[i].answers,
                          mux_outcome_name (s->calls[i].answer.outcome),
                          mux_reason_name (s->calls[i].answer.reason),
                          mux_outcome_name (outcome));
}

/* Return: the number of seeds with which the guarantee was violated. */
static uint32_t
play (const Proof *proof, bool without)
{
  uint32_t broken = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      Scenario *s
          = scenario_new (seed, proof->nodes, proof->workers, proof->centres);

      s->verbose = getenv ("PROOF_VERBOSE") != NULL;
      s->mechanism_off = without;
      proof->play (s);
      if (s->violations > 0 && !without)
        printf ("# %s, seed %u: %s\n", proof->id, (uint32_t) seed,
                s->first_violation);
      broken += s->violations > 0;
      scenario_free (s);
    }
  return broken;
}

static bool
holds (const Proof *proof)
{
  if (play (proof, false) > 0)
    return false;
  if (!proof->fails_without || play (proof, true) > 0)
    return true;
  printf ("# %s holds without its mechanism too\n", proof->id);
  return false;
}

int
proof_main (const Proof *proofs, uint32_t count)
{
  uint32_t bad = 0;

  printf ("1..%u\n", count);
  for (uint32_t i = 0; i < count; i++)
    {
      bool good = holds (&proofs[i]);

      bad += !good;
      printf ("%sok %u - %s\n", good ? "" : "not ", i + 1, proofs[i].id);
      printf ("proof %s %s\n", proofs[i].id, good ? "pass" : "fail");
    }
  return bad == 0 ? 0 : 1;
}
