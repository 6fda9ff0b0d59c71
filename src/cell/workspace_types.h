#ifndef CELL_WORKSPACE_TYPES_H
#define CELL_WORKSPACE_TYPES_H

#include "model/workspace.h"

#include <uthash.h>

typedef struct CellStage CellStage;

/**
 * struct CellCaller - for whom a question is answered
 * @is_bound: it may not know of jobs of other workspaces
 * @workspace: of its key; "": it needs none
 */
typedef struct
{
  bool is_restricted;
  char workspace[MUX_NAME_LEN];
} CellCaller;

/**
 * struct CellWorkspace - what a workspace may have running, and has
 * @spec: of the newest configuration that names it
 * @booked: sum of its bookings
 * @unsettled: its tasks that a former planner may have started
 * @gang: a gang that waits until enough of the quota is free; NULL: none
 * @gang_since_ms: since then
 */
typedef struct
{
  char name[MUX_NAME_LEN];
  MuxWorkspaceSpec spec;
  MuxQuota booked;
  MuxQuota unsettled;
  const CellStage *waiting_gang;
  int64_t gang_waiting_since_ms;
  UT_hash_handle hh;
} CellWorkspace;

#endif
