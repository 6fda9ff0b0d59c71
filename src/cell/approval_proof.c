#include "cell_private.h"

/* Proofs of approvals, and when a start may be sent with one. */

/* A proof is used no later than this before it expires: a start takes some ms
 * on its way, and longer to a busy worker. */
#define PROOF_MARGIN_MS 150
/* Longest time in which a new approval is stored. */
#define RECORD_MAX_MS 100

int64_t
cell_proof_usable_until_ms (const CellApproval *approval)
{
  return approval->proof_expires_ms - PROOF_MARGIN_MS;
}

/*
 * A proof is used only after the approval is stored.  The stored workers of a
 * stage tell the next planner where runs may be that it does not know, so that
 * jobs wait for these workers alone after a takeover and not for the whole
 * cell.  A stage without such a record has not run.
 */
MuxBlob *
cell_usable_proof (const MuxCell *cell, const CellApproval *approval)
{
  if (approval == NULL || !approval->approved || approval->proof == NULL
      || !approval->stored
      || cell->time.now_ms > cell_proof_usable_until_ms (approval))
    return NULL;
  return approval->proof;
}

MuxBlob *
cell_approval_proof (const MuxCell *cell,
                     const CellStage *stage,
                     const CellWorker *worker)
{
  return cell_usable_proof (cell, cell_approval_find (stage, worker));
}

/*
 * Without this test a stage would repeat its query between the reply and the
 * commit that stores it, as no proof is usable then.
 */
bool
cell_approval_is_being_recorded (const MuxCell *cell,
                                 const CellApproval *approval)
{
  return approval != NULL && approval->approved && approval->proof != NULL
         && !approval->stored
         && cell->time.now_ms + RECORD_MAX_MS
                <= cell_proof_usable_until_ms (approval);
}
