#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>

/* Members: the daemons that send hellos to the planner. */

CellMember *
cell_member_find (MuxCell *cell, const char *name)
{
  CellMember *member;

  HASH_FIND_STR (cell->members, name, member);
  return member;
}

CellMember *
cell_member_new (MuxCell *cell, const char *name)
{
  CellMember *member = calloc (1, sizeof *member);

  if (member == NULL)
    return NULL;
  snprintf (member->name, sizeof member->name, "%s", name);
  HASH_ADD_STR (cell->members, name, member);
  cell_member_set_query (cell, member, 0);
  return member;
}

void
cell_member_set_query (MuxCell *cell, CellMember *member, uint64_t number)
{
  member->query_number = number;
  if (member->is_free == (number == 0))
    return;
  member->is_free = number == 0;
  if (member->is_free)
    DL_PREPEND2 (cell->free_members, member, free_prev, free_next);
  else
    DL_DELETE2 (cell->free_members, member, free_prev, free_next);
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
  cell->free_members = NULL;
  cell->queriers_counted_ms = 0;
}

bool
cell_member_hello_received (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellMember *member = cell_member_find (cell, msg->from);

  if (member == NULL)
    {
      member = cell_member_new (cell, msg->from);
      if (member == NULL)
        return false;
      cell_log (cell, "member", "{s:s}", "name", member->name);
    }
  /* A hello that was overtaken by a later one is out of date. */
  if (msg->from_incarnation < member->incarnation
      || (msg->from_incarnation == member->incarnation && msg->call_id != 0
          && msg->call_id <= member->hello_number))
    return false;
  /* An approval query that its previous incarnation was putting is lost. It is
   * ended here, so that its step can send a new one at once. */
  if (member->incarnation != msg->from_incarnation)
    {
      cell_approval_query_done (cell, member->query_number, false, NULL, 0, 0);
      member->first_contact_ms = cell->time.now_ms;
    }
  snprintf (member->addr, sizeof member->addr, "%s", msg->from_addr);
  member->incarnation = msg->from_incarnation;
  member->hello_number = msg->call_id;
  member->last_contact_ms = cell->time.processed_ms;
  member->store_available = msg->table_ok;
  member->limits = (MuxAbilityLimits){ .cpu_milli = msg->cpu_share_milli,
                                       .link_kbps = msg->link_kbps,
                                       .memory_mib = msg->memory_mib };
  member->round_trip_ms = msg->late_ms;
  member->loop_ms = msg->loop_ms;
  member->stopping = msg->stopping;
  cell_member_set_wall_time (cell, member, msg->wall_ms);
  return true;
}
