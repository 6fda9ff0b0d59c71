#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>

/* The daemons that greet the planner. */

CellMember *
cell_member_find (MuxCell *cell, const char *name)
{
  CellMember *member;

  HASH_FIND_STR (cell->members, name, member);
  return member;
}

void
cell_members_free (MuxCell *cell)
{
  CellMember *member;
  CellMember *next;

  HASH_ITER (hh, cell->members, member, next)
  {
    HASH_DEL (cell->members, member);
    free (member);
  }
}

void
cell_member_heard (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellMember *member = cell_member_find (cell, msg->from);

  if (member == NULL)
    {
      member = calloc (1, sizeof *member);
      if (member == NULL)
        return;
      snprintf (member->name, sizeof member->name, "%s", msg->from);
      HASH_ADD_STR (cell->members, name, member);
      cell_log (cell, "member", "{s:s}", "name", member->name);
    }
  /* What its former process asked is lost with it, answer and all: the step
   * asks anew at once. */
  if (member->incarnation != msg->from_incarnation)
    cell_took_answer (cell, member->asking, false, NULL, 0, 0);
  snprintf (member->addr, sizeof member->addr, "%s", msg->from_addr);
  member->incarnation = msg->from_incarnation;
  member->heard_ms = cell->time.heard_ms;
  member->table_ok = msg->table_ok;
  member->strength_milli = msg->strength_milli;
  member->stopping = msg->stopping;
  cell_day_heard (cell, member, msg->wall_ms);
}
