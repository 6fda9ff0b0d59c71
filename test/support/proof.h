#ifndef SUPPORT_PROOF_H
#define SUPPORT_PROOF_H

#include "support/scenario.h"

/**
 * struct Proof - a promise, shown to hold and to depend on its mechanism
 * @id: its name
 * @story: plays it on a new cell, as far as it says so with the mechanism's
 *   ground taken away.  What breaks is told by scenario_wrong().
 * @caught: the run without must break the promise; false: it is not played,
 *   docs/PROOFS.md says how else the proof was seen to fail
 */
typedef struct
{
  const char *id;
  void (*play) (Scenario *s);
  bool fails_without;
  uint32_t nodes, workers, centres;
} Proof;

/** proof_main() - play each; prints "proof <id> pass|fail" and TAP lines */
int proof_main (const Proof *proofs, uint32_t count);
/** proof_expect() - tell @text as broken unless @good */
void proof_expect (Scenario *s, bool good, const char *text);
/** proof_fill() - @count requests of @run_ms at @node; Return: first call */
uint32_t proof_fill (Scenario *s,
                     uint32_t node,
                     ScenarioClass class_id,
                     uint32_t count,
                     uint32_t run_ms);
/** proof_expect_all() - each of @count calls from @first was told @outcome */
void proof_expect_all (Scenario *s,
                       uint32_t first,
                       uint32_t count,
                       MuxOutcome outcome);

#endif
