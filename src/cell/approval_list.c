#include "cell_private.h"
#include "token.h"

#include <stdlib.h>
#include <string.h>

/*
 * What is known of the approval of workers for a stage: a list of the workers
 * that were queried, sorted by slot.  One entry for each worker of a large cell
 * would exhaust the memory of a planner with a backlog of thousands of stages.
 */

/* Entries added when a list grows, as many as a query names. */
#define GROW_ENTRIES 32

/* Returns the index of the first entry whose slot is not below @slot. */
static uint32_t
position (const CellStage *stage, uint32_t slot)
{
  uint32_t low = 0;
  uint32_t high = stage->approval_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (stage->approval[middle].slot < slot)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

CellApproval *
cell_approval_find_slot (const CellStage *stage, uint32_t slot)
{
  uint32_t i = position (stage, slot);

  return i < stage->approval_count && stage->approval[i].slot == slot
             ? &stage->approval[i]
             : NULL;
}

CellApproval *
cell_approval_find (const CellStage *stage, const CellWorker *worker)
{
  return cell_approval_find_slot (stage, worker->slot);
}

static bool
reserve_entry (CellStage *stage)
{
  CellApproval *list;

  if (stage->approval_count < stage->approval_capacity)
    return true;
  list = realloc (stage->approval,
                  (stage->approval_capacity + GROW_ENTRIES) * sizeof *list);
  if (list == NULL)
    return false;
  stage->approval = list;
  stage->approval_capacity += GROW_ENTRIES;
  return true;
}

CellApproval *
cell_approval_add (CellStage *stage, const CellWorker *worker)
{
  uint32_t i = position (stage, worker->slot);
  CellApproval *approval = cell_approval_find (stage, worker);

  if (approval != NULL)
    return approval;
  if (!reserve_entry (stage))
    return NULL;
  approval = &stage->approval[i];
  memmove (approval + 1, approval,
           (stage->approval_count - i) * sizeof *approval);
  *approval = (CellApproval){ .slot = worker->slot };
  stage->approval_count++;
  return approval;
}

void
cell_approvals_free (MuxCell *cell, CellStage *stage)
{
  for (uint32_t i = 0; i < stage->approval_count; i++)
    (void) cell_token_set (cell, &stage->approval[i].proof, NULL);
  free (stage->approval);
}
