#include "cell_private.h"

#include <stdlib.h>

/*
 * The cell's wall clock. The planner takes the median of its own and those in
 * the members' hellos, and sends it to them.
 *
 * An instance's wall clock may jump by seconds, and back: as planner it would
 * start occurrences of timed jobs early, and count jobs as late that are not;
 * as any daemon it would give the jobs that it accepts a wrong age. Most
 * daemons' clocks are right, and between readings time passes by the steady
 * clock, which does not jump.
 */

/* Maximum age of a member's reading; it sends a hello four times a second. */
#define READING_MAX_AGE_MS 3000
/* A planner's value is used for this long, until the next planner's arrives. */
#define PLANNER_VALUE_MAX_AGE_MS 10000
/* Interval of computing the median. */
#define MEDIAN_INTERVAL_MS 250

static int
by_offset (const void *x, const void *y)
{
  const int64_t *a = x;
  const int64_t *b = y;

  return *a < *b ? -1 : *a > *b;
}

/* Of two in the middle the earlier one, so that nothing starts early. */
static int64_t
median (int64_t *offset_ms, uint32_t count)
{
  qsort (offset_ms, count, sizeof *offset_ms, by_offset);
  return offset_ms[(count - 1) / 2];
}

static bool
has_planner_value (const MuxCell *cell)
{
  return cell->wall_received_ms != 0
         && cell->time.now_ms - cell->wall_received_ms
                < PLANNER_VALUE_MAX_AGE_MS;
}

static bool
has_reading (const MuxCell *cell, const CellMember *member)
{
  return member->wall_known
         && cell->time.processed_ms - member->last_contact_ms
                < READING_MAX_AGE_MS;
}

/* Return: false if no other daemon has sent its wall clock. */
static bool
compute_median (MuxCell *cell, int64_t own_ms)
{
  int64_t *offset_ms
      = calloc (HASH_COUNT (cell->members) + 1, sizeof *offset_ms);
  uint32_t count = 0;
  CellMember *member;
  CellMember *next;

  if (offset_ms == NULL)
    return false;
  HASH_ITER (hh, cell->members, member, next)
  if (has_reading (cell, member))
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
update_offset (MuxCell *cell)
{
  int64_t own_ms = cell->own_wall_ms - cell->time.now_ms;

  if (cell->role != CELL_FOLLOWER)
    {
      if (cell->time.now_ms < cell->next_wall_check_ms)
        return;
      cell->next_wall_check_ms = cell->time.now_ms + MEDIAN_INTERVAL_MS;
      if (compute_median (cell, own_ms))
        return;
    }
  if (!has_planner_value (cell))
    cell->wall_offset_ms = own_ms;
}

void
cell_set_time (MuxCell *cell, MuxCellTime time)
{
  cell->time = time;
  cell->own_wall_ms = time.wall_ms;
  update_offset (cell);
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
