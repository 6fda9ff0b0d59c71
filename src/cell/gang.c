#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Placement of a gang: its members, the tasks of one stage, start together or
 * not at all. If its queue requires approval, each of its workers has to be
 * approved by the policy service, and a start is sent with the proof of that,
 * which expires soon.
 */

/* Most workers named in one approval query, as the policy service takes no
 * more. The first one about a gang names as many: a second query costs more
 * than many names. */
#define QUERY_WORKERS_MAX 100
/* Workers named for each one that is expected to be approved. */
#define NAMED_PER_APPROVED 3
/* No more workers are queried once the approved ones could, if they were empty,
 * hold this many times the gang's members: then it only waits for room. */
#define KNOWN_ROOM_FACTOR 5
/* In a large cell a scan ends after this many workers, twice those of a query.
 */
#define SCAN_FOUND_MAX (2 * QUERY_WORKERS_MAX)
/* A later query names at least as many workers as lengthen it by this fraction
 * of its base time, a quarter. */
#define CHEAP_NAMES_DIVISOR 4
/* Longest time that room is held until proofs are renewed or stored; a query
 * takes half of it. */
#define HOLD_MAX_MS 900

typedef struct
{
  CellWorker *worker;
  uint32_t fits_now;        /* members that fit at once */
  uint32_t fits_eventually; /* members that fit beside long-running tasks */
  bool queried;
  bool approved;
  bool proven;         /* has a proof that is valid now, or needs none */
  bool being_recorded; /* its proof becomes valid once its approval is stored */
  bool reserved;       /* for the gang, in this pass or the previous one */
  uint64_t tie_break;  /* decides among equal workers */
} Place;

/* Returns 1 and fills in @p if the worker can hold a member, else 0. */
static uint32_t
fill_place (const MuxCell *cell,
            const CellStage *stage,
            CellWorker *worker,
            const CellApproval *approval,
            uint64_t hash,
            Place *p)
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
                  Place *place)
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
collect_reserved (MuxCell *cell, CellStage *stage, uint64_t hash, Place *place)
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
collect_scanned (MuxCell *cell, CellStage *stage, uint64_t hash, Place *place)
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
static uint32_t
collect (MuxCell *cell, CellStage *stage, bool may_query, Place *place)
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
  const Place *a = x;
  const Place *b = y;

  if (a->approved != b->approved)
    return a->approved ? -1 : 1;
  if (a->reserved != b->reserved)
    return a->reserved ? -1 : 1;
  if (a->fits_now != b->fits_now)
    return a->fits_now > b->fits_now ? -1 : 1;
  return a->tie_break < b->tie_break ? -1 : 1;
}

static void
sort (Place *place, uint32_t count)
{
  if (count > 0)
    qsort (place, count, sizeof *place, by_room);
}

/*
 * Moves the approved places to the front and sorts these alone, in the order
 * that sort() gives them: sorting all places for each waiting gang in each pass
 * takes too long.  Returns their number.
 */
static uint32_t
sort_approved (Place *place, uint32_t count)
{
  uint32_t approved = 0;

  for (uint32_t i = 0; i < count; i++)
    if (place[i].approved)
      {
        Place first = place[i];

        place[i] = place[approved];
        place[approved++] = first;
      }
  sort (place, approved);
  return approved;
}

/* Whether each start that has to be recorded before it is sent is stored.  Goes
 * on after the first that is not, so that all of them get into one commit. */
static bool
starts_are_recorded (MuxCell *cell,
                     CellStage *stage,
                     const Place *place,
                     uint32_t count)
{
  uint32_t member = 0;
  bool recorded = true;

  for (uint32_t i = 0; i < count && member < stage->spec->count; i++)
    for (uint32_t j = 0; place[i].proven && j < place[i].fits_now
                         && member < stage->spec->count;
         j++, member++)
      if (cell_start_needs_record (cell, &stage->task[member])
          && !cell_start_is_recorded (cell, &stage->task[member],
                                      place[i].worker))
        recorded = false;
  return recorded;
}

static void
start_all (MuxCell *cell, CellStage *stage, const Place *place, uint32_t count)
{
  const char *checkpoint = cell_stage_gang_checkpoint (stage);
  uint32_t run = cell_next_run (cell, stage->last_run);
  uint32_t member = 0;

  for (uint32_t i = 0; i < count && member < stage->spec->count; i++)
    for (uint32_t j = 0; place[i].proven && j < place[i].fits_now
                         && member < stage->spec->count;
         j++, member++)
      if (!cell_start_run (cell, &stage->task[member], place[i].worker, run,
                           checkpoint))
        return;
  cell_stage_log_placed (cell, stage, member);
}

static uint32_t
cheap_name_count (const CellStage *stage)
{
  const MuxApprovalSpec *spec = &stage->job->spec->queue.approval;

  return spec->per_worker_us > 0
             ? spec->base_us / CHEAP_NAMES_DIVISOR / spec->per_worker_us
             : QUERY_WORKERS_MAX;
}

/* Queries workers that are not known yet, those with most room first, until
 * those expected to be approved would hold @missing members if they were
 * empty. */
static void
query_unknown (MuxCell *cell,
               CellStage *stage,
               const Place *place,
               uint32_t count,
               uint32_t missing)
{
  CellWorker *worker[QUERY_WORKERS_MAX];
  uint32_t name_min = stage->approval_count == 0 ? QUERY_WORKERS_MAX
                                                 : cheap_name_count (stage);
  uint32_t room = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < count && n < QUERY_WORKERS_MAX
                       && (n < name_min || room < NAMED_PER_APPROVED * missing);
       i++)
    {
      if (place[i].queried)
        continue;
      worker[n++] = place[i].worker;
      room += place[i].fits_eventually;
    }
  (void) cell_approval_query_send (cell, stage, worker, n);
}

/* Holds room for up to @left members on workers whose proofs outlast a query,
 * or (@proof_lasts is false) on the others.  Returns the members left. */
static uint32_t
hold_members (MuxCell *cell,
              CellStage *stage,
              const Place *place,
              uint32_t count,
              uint32_t left,
              bool proof_lasts)
{
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t take = place[i].fits_now < left ? place[i].fits_now : left;

      if (!place[i].approved || take == 0
          || cell_proof_outlasts_query (cell, stage, place[i].worker,
                                        QUERY_WORKERS_MAX)
                 != proof_lasts)
        continue;
      if (!cell_hold_add (stage, place[i].worker, take))
        return left;
      left -= take;
    }
  return left;
}

/*
 * Renews the proofs of the workers that the gang is about to start on and holds
 * their room until the reply.  A gang may need more workers than one query
 * names, and then gets its proofs by several queries in turn.  Each query names
 * only workers whose proofs would expire before its reply; else the gang could
 * wait forever.
 */
static void
renew_proofs (MuxCell *cell,
              CellStage *stage,
              const Place *place,
              uint32_t count)
{
  CellWorker *worker[QUERY_WORKERS_MAX];
  uint32_t left = stage->spec->count;
  uint32_t lasting;
  uint32_t n = 0;

  cell_holds_release (stage);
  left = hold_members (cell, stage, place, count, left, true);
  lasting = stage->hold_count;
  left = hold_members (cell, stage, place, count, left, false);
  for (uint32_t i = lasting; i < stage->hold_count && n < QUERY_WORKERS_MAX;
       i++)
    worker[n++] = stage->hold[i].worker;
  if (left == 0 && cell_approval_query_send (cell, stage, worker, n))
    stage->holds_expire_ms = cell->time.now_ms + HOLD_MAX_MS;
  else
    cell_holds_release (stage);
}

/* Holds room until the approvals are stored. */
static void
hold_until_recorded (MuxCell *cell,
                     CellStage *stage,
                     const Place *place,
                     uint32_t count)
{
  uint32_t left = stage->spec->count;

  if (stage->hold_count == 0)
    stage->holds_expire_ms = cell->time.now_ms + HOLD_MAX_MS;
  cell_holds_release (stage);
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t take = place[i].fits_now < left ? place[i].fits_now : left;

      if ((!place[i].proven && !place[i].being_recorded) || take == 0)
        continue;
      if (!cell_hold_add (stage, place[i].worker, take))
        return;
      left -= take;
    }
}

/* Sums over places, in members; @unqueried in workers. */
typedef struct
{
  uint32_t proven_now;
  uint32_t proven_soon; /* includes proven_now */
  uint32_t approved_now;
  uint32_t approved_eventually;
  uint32_t unqueried;
} Room;

static Room
sum_room (const Place *place, uint32_t count)
{
  Room room = { .proven_now = 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      if (!place[i].queried)
        room.unqueried++;
      if (!place[i].approved)
        continue;
      room.approved_now += place[i].fits_now;
      room.approved_eventually += place[i].fits_eventually;
      if (place[i].proven)
        room.proven_now += place[i].fits_now;
      if (place[i].proven || place[i].being_recorded)
        room.proven_soon += place[i].fits_now;
    }
  return room;
}

/* Reserves room on the first @count places, which are approved. */
static void
reserve (MuxCell *cell,
         CellStage *stage,
         const Place *place,
         uint32_t count,
         bool may_query)
{
  CellWorker **worker = calloc (count + 1, sizeof (CellWorker *));

  if (worker == NULL)
    return;
  for (uint32_t i = 0; i < count; i++)
    worker[i] = place[i].worker;
  cell_gang_reserve (cell, stage, worker, count,
                     may_query && !stage->query_pending);
  free (worker);
}

static uint32_t
room_in_rack (const Place *place, uint32_t count, const char *rack)
{
  uint32_t room = 0;

  for (uint32_t i = 0; i < count; i++)
    if (place[i].approved && strcmp (place[i].worker->info.rack, rack) == 0)
      room += place[i].fits_now;
  return room;
}

/* Restricts members that run slower across racks to one rack if one has room
 * for all. */
static void
restrict_to_one_rack (const CellStage *stage, Place *place, uint32_t count)
{
  const char *rack = NULL;

  for (uint32_t i = 0; i < count && rack == NULL; i++)
    if (place[i].approved
        && room_in_rack (place, count, place[i].worker->info.rack)
               >= stage->spec->count)
      rack = place[i].worker->info.rack;
  for (uint32_t i = 0; rack != NULL && i < count; i++)
    if (strcmp (place[i].worker->info.rack, rack) != 0)
      place[i].fits_now = 0;
}

static void
query_workers (MuxCell *cell,
               CellStage *stage,
               Place *place,
               uint32_t count,
               const Room *room)
{
  uint32_t members = stage->spec->count;

  if (room->approved_now >= members)
    {
      renew_proofs (cell, stage, place, sort_approved (place, count));
      return;
    }
  if (room->unqueried == 0
      || room->approved_eventually >= KNOWN_ROOM_FACTOR * members)
    return;
  sort (place, count);
  query_unknown (cell, stage, place, count,
                 KNOWN_ROOM_FACTOR * members - room->approved_eventually);
}

/* Returns what blocks a gang for which no query was sent in this attempt. */
static CellBlockedOn
blocked_on (const CellStage *stage, const Room *room)
{
  uint32_t members = stage->spec->count;
  bool needs_query = stage->job->spec->queue.approval.required
                     && (room->approved_now >= members
                         || room->approved_eventually < members);

  return needs_query ? CELL_BLOCKED_ON_QUERIER : CELL_BLOCKED_ON_ROOM;
}

/* Gangs that can't end in time any more have a limit of their own;
 * @reservations_left is for the others. */
static uint32_t *
reservations_of (MuxCell *cell,
                 const CellStage *stage,
                 uint32_t *reservations_left)
{
  return cell_stage_is_late (stage) ? &cell->late_reservations_left
                                    : reservations_left;
}

static void
place_members (MuxCell *cell,
               CellStage *stage,
               Place *place,
               uint32_t count,
               bool may_query,
               uint32_t *reservations_left)
{
  Room room = sum_room (place, count);
  uint32_t members = stage->spec->count;

  if (stage->hold_count > 0 && cell->time.now_ms > stage->holds_expire_ms)
    cell_holds_release (stage);

  if (room.proven_now >= members)
    {
      count = sort_approved (place, count);
      if (!starts_are_recorded (cell, stage, place, count))
        {
          hold_until_recorded (cell, stage, place, count);
          cell_step_set_blocked_on (cell, stage, CELL_BLOCKED_ON_RECORD);
          return;
        }
      cell_holds_release (stage);
      start_all (cell, stage, place, count);
      cell_stage_update (cell, stage);
      return;
    }
  if (room.proven_soon >= members)
    {
      count = sort_approved (place, count);
      hold_until_recorded (cell, stage, place, count);
      cell_step_set_blocked_on (cell, stage, CELL_BLOCKED_ON_RECORD);
      return;
    }
  if (may_query)
    query_workers (cell, stage, place, count, &room);
  if (!stage->query_pending)
    cell_step_set_blocked_on (cell, stage, blocked_on (stage, &room));
  reservations_left = reservations_of (cell, stage, reservations_left);
  if (*reservations_left == 0 || room.approved_eventually < members
      || stage->hold_count > 0)
    return;
  (*reservations_left)--;
  reserve (cell, stage, place, sort_approved (place, count), may_query);
}

/* Returns an upper bound for the workers of a scan and those collected before
 * it. */
static size_t
places_max (const MuxCell *cell, const CellStage *stage)
{
  const CellWorker *worker;
  size_t reserved = 0;

  DL_COUNT2 (cell->reserved_workers, worker, reserved, reserved_next);
  return cell_worker_scan_max (cell) + stage->approval_count + reserved + 1;
}

/* Keeps the reservations of a gang while a query for it is pending.  Held room
 * replaces them. */
static void
keep_reservations (MuxCell *cell, CellStage *stage, uint32_t *reservations_left)
{
  reservations_left = reservations_of (cell, stage, reservations_left);
  if (*reservations_left == 0 || stage->hold_count > 0
      || !cell_reservations_keep (cell, stage))
    return;
  stage->has_reservation = true;
  (*reservations_left)--;
}

void
cell_place_gang (MuxCell *cell, CellStage *stage, uint32_t *reservations_left)
{
  bool needs_approval = stage->job->spec->queue.approval.required;
  Place *place;
  uint32_t count;
  bool may_query;

  if (stage->query_pending)
    {
      keep_reservations (cell, stage, reservations_left);
      return;
    }
  if (!cell_gang_may_start (cell, stage))
    return;
  if (cell_quota_tasks_allowed (cell, stage) < stage->spec->count)
    {
      cell_quota_reserve (cell, stage);
      cell_holds_release (stage);
      cell_step_set_blocked_on (cell, stage, CELL_BLOCKED_ON_QUOTA);
      return;
    }
  if (needs_approval)
    cell_approvals_add_recorded (cell, stage);
  place = calloc (places_max (cell, stage), sizeof *place);
  if (place == NULL)
    return;
  may_query = needs_approval && cell_can_query (cell, stage, QUERY_WORKERS_MAX);
  count = collect (cell, stage, may_query, place);
  if (stage->spec->rack_sensitive)
    restrict_to_one_rack (stage, place, count);
  place_members (cell, stage, place, count, may_query, reservations_left);
  free (place);
}
