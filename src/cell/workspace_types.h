#ifndef CELL_WORKSPACE_TYPES_H
#define CELL_WORKSPACE_TYPES_H

#include "model/workspace.h"

#include <uthash.h>

typedef struct CellStage CellStage;

/**
 * struct CellCaller - the caller for whom a request is answered
 * @is_restricted: it may not see jobs of other workspaces
 * @workspace: that its key belongs to; "": it needs no key
 */
typedef struct
{
  bool is_restricted;
  char workspace[MUX_NAME_LEN];
} CellCaller;

/**
 * struct CellWorkspace - quota of a workspace and what counts against it
 * @spec: of the newest configuration that names it
 * @booked: sum of its bookings
 * @unsettled: its tasks that a predecessor may have started without this
 *   planner knowing of the run
 * @waiting_gang: a gang that waits until enough of the quota is free; NULL:
 *   none
 * @gang_waiting_since_ms: when that gang began to wait
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
