#include "cell/failed_runs.h"

#include <stdlib.h>
#include <string.h>

/* Of the allocator, for each block. */
#define BLOCK_BYTES 16

bool
mux_failed_runs_reserve (MuxFailedRuns *failed)
{
  uint32_t capacity = failed->range_capacity;
  MuxRunRange *range;

  if (failed->range_count < capacity)
    return true;
  capacity += capacity / 2 + 1;
  range = realloc (failed->range, capacity * sizeof *range);
  if (range == NULL)
    return false;
  failed->range = range;
  failed->range_capacity = capacity;
  return true;
}

/* Return: index of the first range that does not end before @run. */
static uint32_t
find (const MuxFailedRuns *failed, uint32_t run)
{
  uint32_t low = 0;
  uint32_t high = failed->range_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (failed->range[middle].last < run)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
remove_range (MuxFailedRuns *failed, uint32_t at, uint32_t count)
{
  if (count == 0)
    return;
  failed->range_count -= count;
  memmove (&failed->range[at], &failed->range[at + count],
           (failed->range_count - at) * sizeof *failed->range);
}

static void
insert_range (MuxFailedRuns *failed, uint32_t at, uint32_t run)
{
  memmove (&failed->range[at + 1], &failed->range[at],
           (failed->range_count - at) * sizeof *failed->range);
  failed->range[at] = (MuxRunRange){ .first = run, .last = run };
  failed->range_count++;
}

bool
mux_failed_runs_add (MuxFailedRuns *failed, uint32_t run)
{
  uint32_t at = find (failed, run);
  bool joins_next;
  bool joins_previous;

  if (run <= failed->closed_through
      || (at < failed->range_count && failed->range[at].first <= run))
    return false;
  if (failed->count < UINT32_MAX)
    failed->count++;
  joins_next = at < failed->range_count && failed->range[at].first == run + 1;
  joins_previous = at > 0 && failed->range[at - 1].last + 1 == run;
  if (joins_next && joins_previous)
    {
      failed->range[at - 1].last = failed->range[at].last;
      remove_range (failed, at, 1);
    }
  else if (joins_next)
    failed->range[at].first = run;
  else if (joins_previous)
    failed->range[at - 1].last = run;
  else
    insert_range (failed, at, run);
  return true;
}

bool
mux_failed_runs_append (MuxFailedRuns *failed, MuxRunRange range)
{
  if (!mux_failed_runs_reserve (failed))
    return false;
  failed->range[failed->range_count++] = range;
  return true;
}

void
mux_failed_runs_close (MuxFailedRuns *failed, uint32_t through, uint32_t kept)
{
  uint32_t closed;

  if (failed->count == 0 || failed->count < kept
      || through <= failed->closed_through)
    return;
  failed->closed_through = through;
  closed = find (failed, through);
  if (closed < failed->range_count && failed->range[closed].first <= through)
    {
      if (failed->range[closed].last == through)
        closed++;
      else
        failed->range[closed].first = through + 1;
    }
  remove_range (failed, 0, closed);
  if (failed->range_count == 0)
    {
      free (failed->range);
      failed->range = NULL;
      failed->range_capacity = 0;
    }
}

uint64_t
mux_failed_runs_bytes (const MuxFailedRuns *failed)
{
  return failed->range_capacity == 0
             ? 0
             : failed->range_capacity * sizeof *failed->range + BLOCK_BYTES;
}

void
mux_failed_runs_clear (MuxFailedRuns *failed)
{
  free (failed->range);
  *failed = (MuxFailedRuns){ .count = 0 };
}
