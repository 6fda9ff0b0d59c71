#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Number of waiting jobs by queue.  All daemons query the planner for it on
 * behalf of their callers, so that it is updated as jobs are added, start and
 * end: counting all jobs for each query would take the longer, the more wait.
 */

/**
 * struct CellQueueCount - waiting jobs of a queue; owned by
 *   MuxCell.queue_counts, removed when none is left
 * @name: of the queue; key of the table
 * @waiting: jobs of which no task has started
 */
struct CellQueueCount
{
  char name[MUX_NAME_LEN];
  uint32_t waiting;
  UT_hash_handle hh;
};

/* Return: NULL when out of memory. */
static CellQueueCount *
find_or_add (MuxCell *cell, const char *queue)
{
  CellQueueCount *entry;

  HASH_FIND_STR (cell->queue_counts, queue, entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  snprintf (entry->name, sizeof entry->name, "%s", queue);
  HASH_ADD_STR (cell->queue_counts, name, entry);
  return entry;
}

static void
add_waiting (MuxCell *cell, CellJob *job)
{
  CellQueueCount *entry = find_or_add (cell, job->spec->queue.name);

  if (entry == NULL)
    return;
  entry->waiting++;
  job->counted_waiting = true;
}

void
cell_queue_count_remove (MuxCell *cell, CellJob *job)
{
  CellQueueCount *entry;

  if (!job->counted_waiting)
    return;
  job->counted_waiting = false;
  HASH_FIND_STR (cell->queue_counts, job->spec->queue.name, entry);
  if (entry == NULL || --entry->waiting > 0)
    return;
  HASH_DEL (cell->queue_counts, entry);
  free (entry);
}

void
cell_queue_count_update (MuxCell *cell, CellJob *job)
{
  bool waits = !job->started && !job->cancelled && !job->ended;

  if (waits == job->counted_waiting)
    return;
  if (waits)
    add_waiting (cell, job);
  else
    cell_queue_count_remove (cell, job);
}

uint32_t
cell_queue_waiting (const MuxCell *cell, const char *queue)
{
  CellQueueCount *entry;

  HASH_FIND_STR (cell->queue_counts, queue, entry);
  return entry != NULL ? entry->waiting : 0;
}
