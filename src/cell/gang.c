#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/* Workers named in the first policy question about a gang, as many as the
 * service takes at once: one more question is dearer than many names. */
#define CANDIDATES_MAX 100
/* So many workers are named for each that is expected to be approved. */
#define APPROVED_ONE_IN 3
/* No more workers are asked about once those approved would hold the gang so
 * many times over if they were empty: it waits for room. */
#define KNOWN_FACTOR 5
/* In a large cell a look ends with so many workers: twice those of a question.
 */
#define PLENTY (2 * CANDIDATES_MAX)
/* A later question has at least so many names as make it longer by a quarter.
 */
#define CHEAP_SHARE 4
/* Room is held no longer than this for proofs; a question takes half of it. */
#define HOLD_MAX_MS 900

typedef struct
{
  CellWorker *worker;
  uint32_t now;  /* members that fit at once */
  uint32_t ever; /* members that fit once all that ends there has ended */
  bool asked;
  bool yes;
  bool proven;
  bool near;     /* proven once its approval is recorded */
  bool reserved; /* for the gang, in this pass or the one before */
  uint64_t turn; /* decides among workers that are alike */
} Place;

/* Return: 1: it is one for some member, @p is filled in; 0: it is none. */
static uint32_t
look_at (const MuxCell *cell,
         const CellStage *stage,
         CellWorker *worker,
         const CellApproval *approval,
         uint64_t hash,
         Place *p)
{
  bool needed = stage->job->spec->queue.approval.required;

  if (!cell_worker_is_eligible (cell, stage, worker))
    return 0;
  p->worker = worker;
  p->asked = approval != NULL && approval->queried;
  p->now = cell_stage_cap_per_worker (
      stage, cell_worker_spare_tasks (cell, stage, worker));
  p->reserved = cell_was_reserved (stage, worker);
  p->turn = cell_worker_tie_break (hash, worker);
  p->ever = cell_stage_cap_per_worker (
      stage, cell_tasks_that_fit (stage, cell_room_eventual (worker)));
  p->yes = !needed || (approval != NULL && approval->approved);
  p->proven = !needed || cell_usable_proof (cell, approval) != NULL;
  p->near = !p->proven && cell_approval_is_being_recorded (cell, approval);
  return p->ever > 0;
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
      CellWorker *worker = cell->worker_at[approval->slot];

      if (worker != NULL && approval->approved)
        n += look_at (cell, stage, worker, approval, hash, &place[n]);
    }
  return n;
}

/* The others matter for a question alone. */
static uint32_t
collect_reserved (MuxCell *cell, CellStage *stage, uint64_t hash, Place *place)
{
  CellWorker *worker;
  uint32_t n = 0;

  DL_FOREACH2 (cell->reserved, worker, reserved_next)
  if (cell_was_reserved (stage, worker))
    n += look_at (cell, stage, worker, NULL, hash, &place[n]);
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
collect_sample (MuxCell *cell, CellStage *stage, uint64_t hash, Place *place)
{
  CellWorkerScan sample = cell_worker_scan_begin (cell, stage);
  CellWorker *worker;
  uint32_t n = 0;

  while ((worker = cell_worker_scan_next (cell, &sample)) != NULL)
    {
      const CellApproval *approval = cell_approval_find (stage, worker);

      if (is_collected (stage, worker, approval))
        continue;
      n += look_at (cell, stage, worker, approval, hash, &place[n]);
      if (sample.is_partial && n >= PLENTY)
        break;
    }
  cell_worker_scan_end (stage, &sample);
  return n;
}

static uint32_t
collect (MuxCell *cell, CellStage *stage, bool may_ask, Place *place)
{
  bool needed = stage->job->spec->queue.approval.required;
  uint64_t hash = mux_hash_name (stage->job->id, stage->step);
  uint32_t n = needed ? collect_approved (cell, stage, hash, place)
                      : collect_reserved (cell, stage, hash, place);

  if (may_ask || !needed)
    n += collect_sample (cell, stage, hash, &place[n]);
  return n;
}

/* Those reserved so far first, else the gang would change its mind in each
 * pass and none would ever be free; then the roomiest: fewest workers. */
static int
by_room (const void *x, const void *y)
{
  const Place *a = x;
  const Place *b = y;

  if (a->yes != b->yes)
    return a->yes ? -1 : 1;
  if (a->reserved != b->reserved)
    return a->reserved ? -1 : 1;
  if (a->now != b->now)
    return a->now > b->now ? -1 : 1;
  return a->turn < b->turn ? -1 : 1;
}

static void
sort (Place *place, uint32_t count)
{
  if (count > 0)
    qsort (place, count, sizeof *place, by_room);
}

/*
 * Those approved alone, which then stand in front as in the whole order: to put
 * all in order for each waiting gang in each pass takes too long.
 * Return: how many there are.
 */
static uint32_t
sort_approved (Place *place, uint32_t count)
{
  uint32_t yes = 0;

  for (uint32_t i = 0; i < count; i++)
    if (place[i].yes)
      {
        Place first = place[i];

        place[i] = place[yes];
        place[yes++] = first;
      }
  sort (place, yes);
  return yes;
}

/* The worker that each member goes to is stored where it has to be. */
static bool
starts_are_recorded (MuxCell *cell,
                     CellStage *stage,
                     const Place *place,
                     uint32_t count)
{
  uint32_t member = 0;
  bool recorded = true;

  for (uint32_t i = 0; i < count && member < stage->spec->count; i++)
    for (uint32_t j = 0;
         place[i].proven && j < place[i].now && member < stage->spec->count;
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
    for (uint32_t j = 0;
         place[i].proven && j < place[i].now && member < stage->spec->count;
         j++, member++)
      if (!cell_start_run (cell, &stage->task[member], place[i].worker, run,
                           checkpoint))
        return;
  cell_stage_log_placed (cell, stage, member);
}

static uint32_t
cheap_names (const CellStage *stage)
{
  const MuxApprovalSpec *spec = &stage->job->spec->queue.approval;

  return spec->per_worker_us > 0
             ? spec->base_us / CHEAP_SHARE / spec->per_worker_us
             : CANDIDATES_MAX;
}

/* About workers that are not known yet, those with most room first, until those
 * that are expected to be approved would hold @lacking members when empty. */
static void
ask_about (MuxCell *cell,
           CellStage *stage,
           const Place *place,
           uint32_t count,
           uint32_t lacking)
{
  CellWorker *worker[CANDIDATES_MAX];
  uint32_t least
      = stage->approval_count == 0 ? CANDIDATES_MAX : cheap_names (stage);
  uint32_t room = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < count && n < CANDIDATES_MAX
                       && (n < least || room < APPROVED_ONE_IN * lacking);
       i++)
    {
      if (place[i].asked)
        continue;
      worker[n++] = place[i].worker;
      room += place[i].ever;
    }
  (void) cell_approval_query_send (cell, stage, worker, n);
}

/* Hold room for those of @left members that fit on workers whose proofs last
 * over a question, or on the others.
 * Return: members left. */
static uint32_t
hold_where (MuxCell *cell,
            CellStage *stage,
            const Place *place,
            uint32_t count,
            uint32_t left,
            bool lasts)
{
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t take = place[i].now < left ? place[i].now : left;

      if (!place[i].yes || take == 0
          || cell_proof_outlasts_query (cell, stage, place[i].worker,
                                        CANDIDATES_MAX)
                 != lasts)
        continue;
      if (!cell_hold_add (stage, place[i].worker, take))
        return left;
      left -= take;
    }
  return left;
}

/*
 * Those that the gang is about to start on; their room is held until the
 * answer.  Guards against a gang that waits for good as it needs more workers
 * than a question names: their proofs come with several questions, one after
 * the other, so that each asks for those alone that would not outlast it.
 */
static void
ask_again (MuxCell *cell, CellStage *stage, const Place *place, uint32_t count)
{
  CellWorker *worker[CANDIDATES_MAX];
  uint32_t left = stage->spec->count;
  uint32_t lasting;
  uint32_t n = 0;

  cell_holds_release (stage);
  left = hold_where (cell, stage, place, count, left, true);
  lasting = stage->hold_count;
  left = hold_where (cell, stage, place, count, left, false);
  for (uint32_t i = lasting; i < stage->hold_count && n < CANDIDATES_MAX; i++)
    worker[n++] = stage->hold[i].worker;
  if (left == 0 && cell_approval_query_send (cell, stage, worker, n))
    stage->holds_expire_ms = cell->time.now_ms + HOLD_MAX_MS;
  else
    cell_holds_release (stage);
}

/* The room is held until the approvals are recorded. */
static void
hold_near (MuxCell *cell, CellStage *stage, const Place *place, uint32_t count)
{
  uint32_t left = stage->spec->count;

  if (stage->hold_count == 0)
    stage->holds_expire_ms = cell->time.now_ms + HOLD_MAX_MS;
  cell_holds_release (stage);
  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      uint32_t take = place[i].now < left ? place[i].now : left;

      if ((!place[i].proven && !place[i].near) || take == 0)
        continue;
      if (!cell_hold_add (stage, place[i].worker, take))
        return;
      left -= take;
    }
}

typedef struct
{
  uint32_t proven_now;
  uint32_t near_now; /* with those proven now */
  uint32_t yes_now;
  uint32_t yes_ever;
  uint32_t unasked;
} Room;

static Room
sum_up (const Place *place, uint32_t count)
{
  Room room = { .proven_now = 0 };

  for (uint32_t i = 0; i < count; i++)
    {
      if (!place[i].asked)
        room.unasked++;
      if (!place[i].yes)
        continue;
      room.yes_now += place[i].now;
      room.yes_ever += place[i].ever;
      if (place[i].proven)
        room.proven_now += place[i].now;
      if (place[i].proven || place[i].near)
        room.near_now += place[i].now;
    }
  return room;
}

/* Room on the first @count places, which are approved. */
static void
gather (MuxCell *cell,
        CellStage *stage,
        const Place *place,
        uint32_t count,
        bool may_ask)
{
  CellWorker **worker = calloc (count + 1, sizeof (CellWorker *));

  if (worker == NULL)
    return;
  for (uint32_t i = 0; i < count; i++)
    worker[i] = place[i].worker;
  cell_gang_reserve (cell, stage, worker, count,
                     may_ask && !stage->query_pending);
  free (worker);
}

static uint32_t
room_in_rack (const Place *place, uint32_t count, const char *rack)
{
  uint32_t room = 0;

  for (uint32_t i = 0; i < count; i++)
    if (place[i].yes && strcmp (place[i].worker->info.rack, rack) == 0)
      room += place[i].now;
  return room;
}

/* Tasks that are slower over several racks use one, if it has room for all. */
static void
keep_to_one_rack (const CellStage *stage, Place *place, uint32_t count)
{
  const char *rack = NULL;

  for (uint32_t i = 0; i < count && rack == NULL; i++)
    if (place[i].yes
        && room_in_rack (place, count, place[i].worker->info.rack)
               >= stage->spec->count)
      rack = place[i].worker->info.rack;
  for (uint32_t i = 0; rack != NULL && i < count; i++)
    if (strcmp (place[i].worker->info.rack, rack) != 0)
      place[i].now = 0;
}

static void
ask (MuxCell *cell,
     CellStage *stage,
     Place *place,
     uint32_t count,
     const Room *room)
{
  uint32_t need = stage->spec->count;

  if (room->yes_now >= need)
    {
      ask_again (cell, stage, place, sort_approved (place, count));
      return;
    }
  if (room->unasked == 0 || room->yes_ever >= KNOWN_FACTOR * need)
    return;
  sort (place, count);
  ask_about (cell, stage, place, count, KNOWN_FACTOR * need - room->yes_ever);
}

/* Of a gang that nobody was asked about in this look. */
static CellBlockedOn
what_lacks (const CellStage *stage, const Room *room)
{
  uint32_t need = stage->spec->count;
  bool asks = stage->job->spec->queue.approval.required
              && (room->yes_now >= need || room->yes_ever < need);

  return asks ? CELL_BLOCKED_ON_QUERIER : CELL_BLOCKED_ON_ROOM;
}

/* What is left to gangs of its rank, of @reservations of those in time. */
static uint32_t *
reservations_of (MuxCell *cell, const CellStage *stage, uint32_t *reservations)
{
  return cell_stage_is_late (stage) ? &cell->late_reservations_left
                                    : reservations;
}

static void
place_in (MuxCell *cell,
          CellStage *stage,
          Place *place,
          uint32_t count,
          bool may_ask,
          uint32_t *reservations)
{
  Room room = sum_up (place, count);
  uint32_t need = stage->spec->count;

  if (stage->hold_count > 0 && cell->time.now_ms > stage->holds_expire_ms)
    cell_holds_release (stage);

  if (room.proven_now >= need)
    {
      count = sort_approved (place, count);
      if (!starts_are_recorded (cell, stage, place, count))
        {
          hold_near (cell, stage, place, count);
          cell_step_blocked_on (cell, stage, CELL_BLOCKED_ON_RECORD);
          return;
        }
      cell_holds_release (stage);
      start_all (cell, stage, place, count);
      cell_stage_update (cell, stage);
      return;
    }
  if (room.near_now >= need)
    {
      count = sort_approved (place, count);
      hold_near (cell, stage, place, count);
      cell_step_blocked_on (cell, stage, CELL_BLOCKED_ON_RECORD);
      return;
    }
  if (may_ask)
    ask (cell, stage, place, count, &room);
  if (!stage->query_pending)
    cell_step_blocked_on (cell, stage, what_lacks (stage, &room));
  reservations = reservations_of (cell, stage, reservations);
  if (*reservations == 0 || room.yes_ever < need || stage->hold_count > 0)
    return;
  (*reservations)--;
  gather (cell, stage, place, sort_approved (place, count), may_ask);
}

/* Those of a look, and those collected before. */
static size_t
places_max (const MuxCell *cell, const CellStage *stage)
{
  const CellWorker *worker;
  size_t reserved = 0;

  DL_COUNT2 (cell->reserved, worker, reserved, reserved_next);
  return cell_worker_scan_max (cell) + stage->approval_count + reserved + 1;
}

/* What is reserved for a gang stays so while it asks; what is held for it takes
 * the place of that. */
static void
keep_reservations (MuxCell *cell, CellStage *stage, uint32_t *reservations)
{
  reservations = reservations_of (cell, stage, reservations);
  if (*reservations == 0 || stage->hold_count > 0
      || !cell_reservations_keep (cell, stage))
    return;
  stage->has_reservation = true;
  (*reservations)--;
}

void
cell_place_gang (MuxCell *cell, CellStage *stage, uint32_t *reservations)
{
  bool needed = stage->job->spec->queue.approval.required;
  Place *place;
  uint32_t count;
  bool may_ask;

  if (stage->query_pending)
    {
      keep_reservations (cell, stage, reservations);
      return;
    }
  if (!cell_gang_may_start (cell, stage))
    return;
  if (cell_quota_tasks_allowed (cell, stage) < stage->spec->count)
    {
      cell_quota_reserve (cell, stage);
      cell_holds_release (stage);
      cell_step_blocked_on (cell, stage, CELL_BLOCKED_ON_QUOTA);
      return;
    }
  if (needed)
    cell_approvals_add_recorded (cell, stage);
  place = calloc (places_max (cell, stage), sizeof *place);
  if (place == NULL)
    return;
  may_ask = needed && cell_can_query (cell, stage, CANDIDATES_MAX);
  count = collect (cell, stage, may_ask, place);
  if (stage->spec->rack_sensitive)
    keep_to_one_rack (stage, place, count);
  place_in (cell, stage, place, count, may_ask, reservations);
  free (place);
}
