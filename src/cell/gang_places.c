#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/* Collects and sorts the workers that may hold the members of a gang. */

/* In a large cell a scan ends after this many workers, twice those of a query.
 */
#define SCAN_FOUND_MAX (2 * CELL_GANG_NAMES_MAX)

/* Returns an upper bound for the workers of a scan and those collected before
 * it. */
size_t
cell_places_max (const MuxCell *cell, const CellStage *stage)
{
  const CellWorker *worker;
  size_t reserved = 0;

  DL_COUNT2 (cell->reserved_workers, worker, reserved, reserved_next);
  return cell_worker_scan_max (cell) + stage->approval_count + reserved + 1;
}

/* Returns 1 and fills in @p if the worker can hold a member, else 0. */
static uint32_t
fill_place (const MuxCell *cell,
            const CellStage *stage,
            CellWorker *worker,
            const CellApproval *approval,
            uint64_t hash,
            CellPlace *p)
{
  bool needs_approval = stage->job->spec->queue.approval.required;

  if (!cell_worker_is_eligible (cell, stage, worker))
    return 0;
  p->worker = worker;
  p->queried = approval != NULL && approval->queried;
  p->fits_now = cell_stage_cap_per_worker (
      stage, cell_worker_spare_tasks (cell, stage, worker));
  p->reserved = cell_was_reserved (stage, worker);
  p->tie_break = cell_worker_tie_break (hash, worker);
  p->fits_eventually = cell_stage_cap_per_worker (
      stage, cell_tasks_that_fit (stage, cell_room_eventual (worker)));
  p->approved = !needs_approval || (approval != NULL && approval->approved);
  p->proven = !needs_approval || cell_usable_proof (cell, approval) != NULL;
  p->being_recorded
      = !p->proven && cell_approval_is_being_recorded (cell, approval);
  return p->fits_eventually > 0;
}

static uint32_t
collect_approved (MuxCell *cell,
                  const CellStage *stage,
                  uint64_t hash,
                  CellPlace *place)
{
  uint32_t n = 0;

  cell->scan_cost += stage->approval_count;
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      const CellApproval *approval = &stage->approval[i];
      CellWorker *worker = cell->worker_by_slot[approval->slot];

      if (worker != NULL && approval->approved)
        n += fill_place (cell, stage, worker, approval, hash, &place[n]);
    }
  return n;
}

/* Collects the workers reserved for the gang in the previous pass, which a scan
 * of part of the workers might miss. */
static uint32_t
collect_reserved (MuxCell *cell,
                  CellStage *stage,
                  uint64_t hash,
                  CellPlace *place)
{
  CellWorker *worker;
  uint32_t n = 0;

  DL_FOREACH2 (cell->reserved_workers, worker, reserved_next)
  if (cell_was_reserved (stage, worker))
    n += fill_place (cell, stage, worker, NULL, hash, &place[n]);
  return n;
}

static bool
is_collected (const CellStage *stage,
              const CellWorker *worker,
              const CellApproval *approval)
{
  return stage->job->spec->queue.approval.required
             ? approval != NULL && approval->approved
             : cell_was_reserved (stage, worker);
}

static uint32_t
collect_scanned (MuxCell *cell,
                 CellStage *stage,
                 uint64_t hash,
                 CellPlace *place)
{
  CellWorkerScan scan = cell_worker_scan_begin (cell, stage);
  CellWorker *worker;
  uint32_t n = 0;

  while ((worker = cell_worker_scan_next (cell, &scan)) != NULL)
    {
      const CellApproval *approval = cell_approval_find (stage, worker);

      if (is_collected (stage, worker, approval))
        continue;
      n += fill_place (cell, stage, worker, approval, hash, &place[n]);
      if (scan.is_partial && n >= SCAN_FOUND_MAX)
        break;
    }
  cell_worker_scan_end (stage, &scan);
  return n;
}

/* If approval is required, workers that are not approved matter only if a query
 * may be sent. */
uint32_t
cell_places_collect (MuxCell *cell,
                     CellStage *stage,
                     bool may_query,
                     CellPlace *place)
{
  bool needs_approval = stage->job->spec->queue.approval.required;
  uint64_t hash = mux_hash_name (stage->job->id, stage->step);
  uint32_t n = needs_approval ? collect_approved (cell, stage, hash, place)
                              : collect_reserved (cell, stage, hash, place);

  if (may_query || !needs_approval)
    n += collect_scanned (cell, stage, hash, &place[n]);
  return n;
}

/* Approved workers first; among them those reserved so far, as the gang would
 * otherwise choose others in each pass and none would ever become free; then
 * those with most room, so that few workers are used. */
static int
by_room (const void *x, const void *y)
{
  const CellPlace *a = x;
  const CellPlace *b = y;

  if (a->approved != b->approved)
    return a->approved ? -1 : 1;
  if (a->reserved != b->reserved)
    return a->reserved ? -1 : 1;
  if (a->unsuitable != b->unsuitable)
    return a->unsuitable ? 1 : -1;
  if (a->above != b->above)
    return a->above < b->above ? -1 : 1;
  if (a->fits_now != b->fits_now)
    return a->fits_now > b->fits_now ? -1 : 1;
  return a->tie_break < b->tie_break ? -1 : 1;
}

void
cell_places_sort (CellPlace *place, uint32_t count)
{
  if (count > 0)
    qsort (place, count, sizeof *place, by_room);
}

/*
 * Moves the approved places to the front and sorts these alone, in the order
 * that sort() gives them: sorting all places for each waiting gang in each pass
 * takes too long.  Returns their number.
 */
uint32_t
cell_places_sort_approved (CellPlace *place, uint32_t count)
{
  uint32_t approved = 0;

  for (uint32_t i = 0; i < count; i++)
    if (place[i].approved)
      {
        CellPlace first = place[i];

        place[i] = place[approved];
        place[approved++] = first;
      }
  cell_places_sort (place, approved);
  return approved;
}

static uint32_t
room_in_rack (const CellPlace *place, uint32_t count, const char *rack)
{
  uint32_t room = 0;

  for (uint32_t i = 0; i < count; i++)
    if (place[i].approved && strcmp (place[i].worker->info.rack, rack) == 0)
      room += place[i].fits_now;
  return room;
}

/* Restricts members that run slower across racks to one rack if one has room
 * for all. */
void
cell_places_restrict_to_one_rack (const CellStage *stage,
                                  CellPlace *place,
                                  uint32_t count)
{
  const char *rack;
  uint32_t chosen = 0;

  while (chosen < count
         && (!place[chosen].approved
             || room_in_rack (place, count, place[chosen].worker->info.rack)
                    < stage->spec->count))
    chosen++;
  if (chosen == count)
    return;
  rack = place[chosen].worker->info.rack;
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (place[i].worker->info.rack, rack) != 0)
      place[i].fits_now = 0;
}
