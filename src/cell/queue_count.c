#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * How many jobs of a queue wait.  All daemons ask the planner for it on behalf
 * of their callers, each count goes through all jobs, and on a cell of 300
 * instances it took a tenth of the planner's processor.  So a count is told
 * again for a while; callers are promised one that is 2 s old at most.
 */

#define KEEP_MS 250
/* Queues whose count is kept; those of any other are counted each time. */
#define QUEUES_MAX 64

/**
 * struct CellQueueCount - the last count of a queue
 * @counted_ms: when it was made
 */
struct CellQueueCount
{
  char name[MUX_NAME_LEN];
  uint32_t waiting;
  int64_t counted_ms;
  UT_hash_handle hh;
};

static uint32_t
count (const MuxCell *cell, const char *queue)
{
  const CellJob *job;
  const CellJob *next;
  uint32_t n = 0;

  HASH_ITER (hh, cell->jobs, job, next)
  n += !job->started && !job->cancelled && !job->ended
       && strcmp (job->spec->queue.name, queue) == 0;
  return n;
}

/* NULL: there are too many, its name is too long, or memory is out. */
static CellQueueCount *
add (MuxCell *cell, const char *queue)
{
  CellQueueCount *kept;

  if (HASH_COUNT (cell->queue_counts) >= QUEUES_MAX
      || strlen (queue) >= MUX_NAME_LEN)
    return NULL;
  kept = calloc (1, sizeof *kept);
  if (kept == NULL)
    return NULL;
  snprintf (kept->name, sizeof kept->name, "%s", queue);
  kept->counted_ms = cell->time.now_ms - KEEP_MS;
  HASH_ADD_STR (cell->queue_counts, name, kept);
  return kept;
}

uint32_t
cell_pending_of (MuxCell *cell, const char *queue)
{
  CellQueueCount *kept;

  HASH_FIND_STR (cell->queue_counts, queue, kept);
  if (kept == NULL)
    kept = add (cell, queue);
  if (kept == NULL)
    return count (cell, queue);
  if (cell->time.now_ms - kept->counted_ms >= KEEP_MS)
    {
      kept->waiting = count (cell, queue);
      kept->counted_ms = cell->time.now_ms;
    }
  return kept->waiting;
}

void
cell_queue_counts_free (MuxCell *cell)
{
  CellQueueCount *kept;
  CellQueueCount *next;

  HASH_ITER (hh, cell->queue_counts, kept, next)
  {
    HASH_DEL (cell->queue_counts, kept);
    free (kept);
  }
}
