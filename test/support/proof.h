#ifndef SUPPORT_PROOF_H
#define SUPPORT_PROOF_H

#include "support/scenario.h"

/**
 * struct Proof - a guarantee, shown to hold and to depend on its mechanism
 * @id: name of the guarantee
 * @play: plays a scenario and reports failures by scenario_violation(); with
 *   @mechanism_off set in the scenario, it first disables the mechanism
 * @fails_without: the guarantee must be violated without the mechanism; false:
 *   that is not played, and docs/PROOFS.md says how else the proof was seen to
 *   fail
 */
typedef struct
{
  const char *id;
  void (*play) (Scenario *s);
  bool fails_without;
  uint32_t nodes, workers, centres;
} Proof;

/** proof_main() - plays each proof; prints "proof <id> pass|fail" and TAP lines
 * Return: exit status */
int proof_main (const Proof *proofs, uint32_t count);
/** proof_expect() - reports the violation @text unless @good */
void proof_expect (Scenario *s, bool good, const char *text);
/** proof_fill() - submits @count requests of @run_ms at @node
 * Return: number of the first call */
uint32_t proof_fill (Scenario *s,
                     uint32_t node,
                     ScenarioClass class_id,
                     uint32_t count,
                     uint32_t run_ms);
/** proof_expect_all() - checks that each of @count calls from @first has one
 * response, with @outcome */
void proof_expect_all (Scenario *s,
                       uint32_t first,
                       uint32_t count,
                       MuxOutcome outcome);

#endif
