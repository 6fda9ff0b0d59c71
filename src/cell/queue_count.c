#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * How many jobs of a queue wait.  All daemons ask the planner for it on behalf
 * of their callers, so that it is kept as jobs come, begin and end: a count
 * that goes through all jobs takes the longer, the more of them wait.
 */

/**
 * struct CellQueueCount - a queue of which jobs wait
 */
struct CellQueueCount
{
  char name[MUX_NAME_LEN];
  uint32_t waiting;
  UT_hash_handle hh;
};

/* NULL: memory is out. */
static CellQueueCount *
find_or_add (MuxCell *cell, const char *queue)
{
  CellQueueCount *kept;

  HASH_FIND_STR (cell->queue_counts, queue, kept);
  if (kept != NULL)
    return kept;
  kept = calloc (1, sizeof *kept);
  if (kept == NULL)
    return NULL;
  snprintf (kept->name, sizeof kept->name, "%s", queue);
  HASH_ADD_STR (cell->queue_counts, name, kept);
  return kept;
}

static void
count (MuxCell *cell, CellJob *job)
{
  CellQueueCount *kept = find_or_add (cell, job->spec->queue.name);

  if (kept == NULL)
    return;
  kept->waiting++;
  job->counted_waiting = true;
}

void
cell_queue_count_remove (MuxCell *cell, CellJob *job)
{
  CellQueueCount *kept;

  if (!job->counted_waiting)
    return;
  job->counted_waiting = false;
  HASH_FIND_STR (cell->queue_counts, job->spec->queue.name, kept);
  if (kept == NULL || --kept->waiting > 0)
    return;
  HASH_DEL (cell->queue_counts, kept);
  free (kept);
}

void
cell_queue_count_update (MuxCell *cell, CellJob *job)
{
  bool waits = !job->started && !job->cancelled && !job->ended;

  if (waits == job->counted_waiting)
    return;
  if (waits)
    count (cell, job);
  else
    cell_queue_count_remove (cell, job);
}

uint32_t
cell_queue_waiting (const MuxCell *cell, const char *queue)
{
  CellQueueCount *kept;

  HASH_FIND_STR (cell->queue_counts, queue, kept);
  return kept != NULL ? kept->waiting : 0;
}
