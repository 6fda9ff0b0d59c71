#include "job_memory.h"
#include "stage_tasks.h"

#include <stdlib.h>

/*
 * Placement of a gang: its members, the tasks of one stage, start together or
 * not at all. If its queue requires approval, each of its workers has to be
 * approved by the policy service, and a start is sent with the proof of that,
 * which expires soon.
 */

/* No more workers are queried once the approved ones could, if they were empty,
 * hold this many times the gang's members: then it only waits for room. */
#define KNOWN_ROOM_FACTOR 5
/* If the gang is late on these, others are considered this often. */
#define NAMES_RETRY_MS 200
/* A later query names at least as many workers as lengthen it by this fraction
 * of its base time, a quarter. */
#define CHEAP_NAMES_DIVISOR 4
/* Longest time that room is held until proofs are renewed or stored; a query
 * takes half of it. */
#define HOLD_MAX_MS 900

/* Whether each start that has to be recorded before it is sent is stored.  Goes
 * on after the first that is not, so that all of them get into one commit. */
static bool
starts_are_recorded (MuxCell *cell,
                     CellStage *stage,
                     const CellPlace *place,
                     uint32_t count)
{
  uint32_t member = 0;
  bool recorded = true;

  for (uint32_t i = 0; i < count && member < stage->spec->count; i++)
    for (uint32_t j = 0; place[i].proven && j < place[i].fits_now
                         && member < stage->spec->count;
         j++, member++)
      if (cell_start_needs_record (cell, cell_task_view (stage, member))
          && !cell_start_is_recorded (cell, cell_task_object (stage, member),
                                      place[i].worker))
        recorded = false;
  return recorded;
}

static void
start_all (MuxCell *cell,
           CellStage *stage,
           const CellPlace *place,
           uint32_t count)
{
  MuxBlob *checkpoint = cell_stage_gang_checkpoint (stage);
  uint32_t run = cell_next_run (cell, stage->last_run);
  uint32_t member = 0;

  for (uint32_t i = 0; i < count && member < stage->spec->count; i++)
    for (uint32_t j = 0; place[i].proven && j < place[i].fits_now
                         && member < stage->spec->count;
         j++, member++)
      {
        CellTask *task = cell_task_get (cell, stage, member);

        if (task == NULL
            || !cell_start_run (cell, task, place[i].worker, run, checkpoint))
          return;
      }
  cell_stage_log_placed (cell, stage, member);
}

static uint32_t
cheap_name_count (const CellStage *stage)
{
  const MuxApprovalSpec *spec = &stage->job->spec->queue.approval;

  return spec->per_worker_us > 0
             ? spec->base_us / CHEAP_NAMES_DIVISOR / spec->per_worker_us
             : CELL_GANG_NAMES_MAX;
}

/* Queries workers that are not known yet, those with most room first, until
 * those expected to be approved would hold @missing members if they were
 * empty. */
static void
query_unknown (MuxCell *cell,
               CellStage *stage,
               const CellPlace *place,
               uint32_t count,
               uint32_t missing)
{
  CellWorker *worker[CELL_GANG_NAMES_MAX];
  uint32_t name_min = stage->approval_count == 0 ? CELL_GANG_NAMES_MAX
                                                 : cheap_name_count (stage);
  uint32_t room = 0;
  uint32_t n = 0;

  for (uint32_t i = 0;
       i < count && n < CELL_GANG_NAMES_MAX
       && (n < name_min || room < CELL_GANG_NAMES_PER_APPROVED * missing);
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
              const CellPlace *place,
              uint32_t count,
              uint32_t left,
              bool proof_lasts)
{
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t take = place[i].fits_now < left ? place[i].fits_now : left;

      if (!place[i].approved || take == 0
          || cell_proof_outlasts_query (cell, stage, place[i].worker,
                                        CELL_GANG_NAMES_MAX)
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
              const CellPlace *place,
              uint32_t count)
{
  CellWorker *worker[CELL_GANG_NAMES_MAX];
  uint32_t left = stage->spec->count;
  uint32_t lasting;
  uint32_t n = 0;

  cell_holds_release (stage);
  left = hold_members (cell, stage, place, count, left, true);
  lasting = stage->hold_count;
  left = hold_members (cell, stage, place, count, left, false);
  for (uint32_t i = lasting; i < stage->hold_count && n < CELL_GANG_NAMES_MAX;
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
                     const CellPlace *place,
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
  uint32_t known_eventually; /* approved_eventually with slower workers */
  bool in_time;              /* it is expected to end in time there */
} Room;

static Room
sum_room (const CellPlace *place, uint32_t count)
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
         const CellPlace *place,
         uint32_t count,
         bool may_query)
{
  CellWorker **worker = calloc (count + 1, sizeof (CellWorker *));
  uint32_t n = 0;

  if (worker == NULL)
    return;
  for (uint32_t i = 0; i < count; i++)
    if (!place[i].unsuitable)
      worker[n++] = place[i].worker;
  cell_gang_reserve (cell, stage, worker, n,
                     may_query && !stage->query_pending);
  free (worker);
}

/* Returns the members for which workers are to be queried that are not known
 * yet; 0: the gang waits for room. */
static uint32_t
members_to_query_for (MuxCell *cell,
                      CellStage *stage,
                      CellPlace *place,
                      uint32_t count,
                      const Room *room)
{
  uint32_t members = stage->spec->count;
  uint32_t wanted = KNOWN_ROOM_FACTOR * members;
  bool is_known = room->known_eventually >= wanted;

  if (room->unqueried == 0 || (is_known && room->in_time)
      || (is_known && cell->time.now_ms < stage->no_names_until_ms))
    return 0;
  stage->no_names_until_ms = cell->time.now_ms + NAMES_RETRY_MS;
  if (cell_gang_prefer_names (cell, stage, place, count) && is_known)
    return members;
  return is_known ? 0 : wanted - room->known_eventually;
}

static void
query_workers (MuxCell *cell,
               CellStage *stage,
               CellPlace *place,
               uint32_t count,
               const Room *room)
{
  uint32_t members = stage->spec->count;
  uint32_t missing;

  if (room->approved_now >= members)
    {
      renew_proofs (cell, stage, place,
                    cell_places_sort_approved (place, count));
      return;
    }
  missing = members_to_query_for (cell, stage, place, count, room);
  if (missing == 0)
    return;
  cell_places_sort (place, count);
  query_unknown (cell, stage, place, count, missing);
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

static bool
has_reservations (const CellPlace *place, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (place[i].reserved)
      return true;
  return false;
}

static void
place_members (MuxCell *cell,
               CellStage *stage,
               CellPlace *place,
               uint32_t count,
               bool may_query,
               uint32_t *reservations_left)
{
  Room all = sum_room (place, count);
  bool in_time = cell_gang_choose_speed (cell, stage, place, count);
  Room room = sum_room (place, count);
  uint32_t members = stage->spec->count;

  room.known_eventually = all.approved_eventually;
  room.in_time = in_time;
  if (stage->hold_count > 0 && cell->time.now_ms > stage->holds_expire_ms)
    cell_holds_release (stage);
  /* A gang that gathers room keeps it: others would take it in between. */
  if (stage->gang_speed_milli != 0 && stage->gang_is_late
      && stage->hold_count == 0 && !has_reservations (place, count)
      && cell_stage_defer (cell, stage))
    return;
  if (room.proven_now >= members)
    {
      count = cell_places_sort_approved (place, count);
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
      count = cell_places_sort_approved (place, count);
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
  reserve (cell, stage, place, cell_places_sort_approved (place, count),
           may_query);
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
  CellPlace *place;
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
  if (!cell_runs_have_memory (cell, stage->spec->count,
                              stage->spec->count - stage->task_objects))
    {
      mux_count (cell->options.counters, MUX_COUNT_STARTS_NO_MEMORY, 1);
      return;
    }
  if (needs_approval)
    cell_approvals_add_recorded (cell, stage);
  place = calloc (cell_places_max (cell, stage), sizeof *place);
  if (place == NULL)
    return;
  may_query
      = needs_approval && cell_can_query (cell, stage, CELL_GANG_NAMES_MAX);
  count = cell_places_collect (cell, stage, may_query, place);
  if (stage->spec->rack_sensitive)
    cell_places_restrict_to_one_rack (stage, place, count);
  place_members (cell, stage, place, count, may_query, reservations_left);
  free (place);
}
