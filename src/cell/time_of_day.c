#include "cell_private.h"

#include <stdlib.h>

/*
 * The time of day that the cell goes by.  The planner takes the median of what
 * it and the daemons that greet it say, and tells them.
 *
 * Guards against an instance whose time of day jumps by seconds, and back: as
 * planner it would start occurrences of timed jobs before their time, and count
 * jobs as late that are not; as any daemon it would give the jobs that it takes
 * in a wrong age.  Most daemons are right, and times pass on the steady clock
 * in between, which does not jump.
 */

/* What another daemon said holds so long; it greets four times a second. */
#define HEARD_MS 3000
/* What the last planner told holds until the next one has been heard. */
#define TOLD_MS 10000
/* Between two looks at what all say. */
#define LOOK_MS 250

static int
by_offset (const void *x, const void *y)
{
  const int64_t *a = x;
  const int64_t *b = y;

  return *a < *b ? -1 : *a > *b;
}

/* Of two in the middle the earlier one: nothing starts before its time. */
static int64_t
median (int64_t *offset_ms, uint32_t count)
{
  qsort (offset_ms, count, sizeof *offset_ms, by_offset);
  return offset_ms[(count - 1) / 2];
}

static bool
told_lately (const MuxCell *cell)
{
  return cell->wall_received_ms != 0
         && cell->time.now_ms - cell->wall_received_ms < TOLD_MS;
}

static bool
says (const MuxCell *cell, const CellMember *member)
{
  return member->wall_known
         && cell->time.processed_ms - member->last_contact_ms < HEARD_MS;
}

/* Return: false when no other daemon has said anything. */
static bool
ask_all (MuxCell *cell, int64_t own_ms)
{
  int64_t *offset_ms
      = calloc (HASH_COUNT (cell->members) + 1, sizeof *offset_ms);
  uint32_t count = 0;
  CellMember *member;
  CellMember *next;

  if (offset_ms == NULL)
    return false;
  HASH_ITER (hh, cell->members, member, next)
  if (says (cell, member))
    offset_ms[count++] = member->wall_offset_ms;
  if (count > 0)
    {
      offset_ms[count++] = own_ms;
      cell->wall_offset_ms = median (offset_ms, count);
    }
  free (offset_ms);
  return count > 0;
}

static void
look (MuxCell *cell)
{
  int64_t own_ms = cell->own_wall_ms - cell->time.now_ms;

  if (cell->role != CELL_FOLLOWER)
    {
      if (cell->time.now_ms < cell->next_wall_check_ms)
        return;
      cell->next_wall_check_ms = cell->time.now_ms + LOOK_MS;
      if (ask_all (cell, own_ms))
        return;
    }
  if (!told_lately (cell))
    cell->wall_offset_ms = own_ms;
}

void
cell_set_time (MuxCell *cell, MuxCellTime time)
{
  cell->time = time;
  cell->own_wall_ms = time.wall_ms;
  look (cell);
  cell->time.wall_ms = time.now_ms + cell->wall_offset_ms;
}

void
cell_member_set_wall_time (const MuxCell *cell,
                           CellMember *member,
                           int64_t wall_ms)
{
  member->wall_known = wall_ms != 0;
  member->wall_offset_ms = wall_ms - cell->time.now_ms;
}

void
cell_planner_wall_time_received (MuxCell *cell, int64_t wall_ms)
{
  if (wall_ms == 0 || cell->role != CELL_FOLLOWER)
    return;
  cell->wall_offset_ms = wall_ms - cell->time.now_ms;
  cell->wall_received_ms = cell->time.now_ms;
}
