#include "cell_private.h"

#include <stdlib.h>

/*
 * Workers of even speed for a gang, which runs at the speed of its slowest
 * member.  The least speed of its workers is chosen by when a set of such
 * workers has room for all members, and when the gang would end there.
 */

/* A chosen speed is kept for this long, some passes: forecasts change little,
 * and take time. */
#define KEEP_MS 48
/* Then the former choice is kept if it starts at most so much later than the
 * new one, and ends in time: the gang would change between sets and start on
 * none. */
#define CHANGE_GAIN_MS 300
/* Openings of one worker that are considered. */
#define OPENINGS_MAX 4

typedef struct
{
  uint32_t count;
  MuxSpeedOffer *offer;
} Offers;

static int
by_time (const void *x, const void *y)
{
  const MuxSpeedOffer *a = x;
  const MuxSpeedOffer *b = y;

  return a->at_ms < b->at_ms ? -1 : a->at_ms > b->at_ms;
}

static void
add_offer (Offers *offers,
           const CellPlace *place,
           uint32_t tasks,
           int64_t at_ms)
{
  offers->offer[offers->count++]
      = (MuxSpeedOffer){ .speed_milli = cell_worker_speed_milli (place->worker),
                         .tasks = tasks,
                         .at_ms = at_ms };
}

/* Adds the room of a place, none of it before @from_ms. */
static void
add_place (MuxCell *cell,
           const CellStage *stage,
           const CellPlace *place,
           int64_t from_ms,
           Offers *offers)
{
  CellOpening opening[OPENINGS_MAX];
  uint32_t count = cell_worker_openings (cell, stage, place->worker, opening,
                                         OPENINGS_MAX);

  cell->scan_cost++;
  if (place->fits_now > 0)
    add_offer (offers, place, place->fits_now, from_ms);
  for (uint32_t i = 0; i < count; i++)
    if (opening[i].from_ms > cell->time.now_ms)
      {
        int64_t in_ms = opening[i].from_ms - cell->time.now_ms;

        add_offer (offers, place, opening[i].tasks,
                   in_ms > from_ms ? in_ms : from_ms);
      }
}

/* Lists the room of places that a run can use, at the front of whose proofs a
 * query may have to be answered first.
 * @unqueried: of those that a query could add as well */
static Offers
offers_of (MuxCell *cell,
           const CellStage *stage,
           const CellPlace *place,
           uint32_t count,
           bool unqueried)
{
  Offers offers = { .offer = calloc ((size_t) count * (OPENINGS_MAX + 1) + 1,
                                     sizeof *offers.offer) };
  int64_t query_ms = cell_promised_query_ms (&stage->job->spec->queue.approval);

  if (offers.offer == NULL)
    return offers;
  for (uint32_t i = 0; i < count; i++)
    if (place[i].approved)
      add_place (cell, stage, &place[i], place[i].proven ? 0 : query_ms,
                 &offers);
    else if (unqueried && !place[i].queried)
      add_place (cell, stage, &place[i], query_ms, &offers);
  if (offers.count > 0)
    qsort (offers.offer, offers.count, sizeof *offers.offer, by_time);
  return offers;
}

/* Returns the choice among all sets, or the former one if it is about as
 * good. */
static MuxSpeedSet
choose (const CellStage *stage, const Offers *offers, const MuxSpeedNeed *need)
{
  uint32_t members = stage->spec->count;
  MuxSpeedSet best
      = mux_speed_choose_set (offers->offer, offers->count, need, members);
  MuxSpeedSet former;

  if (stage->gang_speed_milli == 0 || best.speed_milli == 0)
    return best;
  former = mux_speed_set_at (offers->offer, offers->count, need, members,
                             stage->gang_speed_milli, UINT32_MAX);
  return former.speed_milli != 0 && former.has_margin
                 && former.start_ms <= best.start_ms + CHANGE_GAIN_MS
             ? former
             : best;
}

/* Whether the approved places of at least the chosen speed hold the gang once
 * they are free: the offers it was chosen from may count room twice. */
static bool
holds_gang (const CellStage *stage, const CellPlace *place, uint32_t count)
{
  uint32_t tasks = 0;

  for (uint32_t i = 0; i < count && tasks < stage->spec->count; i++)
    if (place[i].approved
        && cell_worker_speed_milli (place[i].worker) >= stage->gang_speed_milli)
      tasks += place[i].fits_eventually;
  return tasks >= stage->spec->count;
}

static void
take_room_of_slower (CellStage *stage, CellPlace *place, uint32_t count)
{
  uint32_t least_milli;

  if (!holds_gang (stage, place, count))
    stage->gang_speed_milli = 0;
  least_milli = stage->gang_speed_milli;
  for (uint32_t i = 0; i < count && least_milli != 0; i++)
    {
      uint32_t speed_milli = cell_worker_speed_milli (place[i].worker);

      if (!place[i].approved)
        continue;
      place[i].above = mux_speed_above (speed_milli, least_milli);
      place[i].unsuitable = speed_milli < least_milli;
      if (!place[i].unsuitable)
        continue;
      place[i].fits_now = 0;
      place[i].fits_eventually = 0;
    }
}

bool
cell_gang_choose_speed (MuxCell *cell,
                        CellStage *stage,
                        CellPlace *place,
                        uint32_t count)
{
  MuxSpeedNeed need;
  MuxSpeedSet set;
  Offers offers;

  if (!cell_stage_has_uneven_pool (cell, stage))
    {
      stage->gang_speed_milli = 0;
      return true;
    }
  if (cell->time.now_ms >= stage->gang_speed_until_ms)
    {
      need = cell_speed_need (cell, stage, 0);
      offers = offers_of (cell, stage, place, count, false);
      set = offers.offer != NULL ? choose (stage, &offers, &need)
                                 : (MuxSpeedSet){ .speed_milli = 0 };
      free (offers.offer);
      stage->gang_speed_milli = set.speed_milli;
      stage->gang_in_time = set.has_margin;
      stage->gang_is_late = !set.in_time;
      stage->gang_speed_until_ms = cell->time.now_ms + KEEP_MS;
    }
  take_room_of_slower (stage, place, count);
  return stage->gang_in_time;
}

bool
cell_gang_prefer_names (MuxCell *cell,
                        const CellStage *stage,
                        CellPlace *place,
                        uint32_t count)
{
  MuxSpeedNeed need = cell_speed_need (cell, stage, 0);
  MuxSpeedSet set = { .speed_milli = 0 };
  Offers offers;

  if (!cell_stage_has_uneven_pool (cell, stage))
    return false;
  offers = offers_of (cell, stage, place, count, true);
  /* Only a part of the names is approved. */
  if (offers.offer != NULL)
    set = mux_speed_choose_set (offers.offer, offers.count, &need,
                                stage->spec->count
                                    * CELL_GANG_NAMES_PER_APPROVED);
  free (offers.offer);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t speed_milli = cell_worker_speed_milli (place[i].worker);

      if (place[i].approved)
        continue;
      place[i].above = mux_speed_above (speed_milli, set.speed_milli);
      place[i].unsuitable = speed_milli < set.speed_milli;
    }
  return set.in_time;
}

uint32_t
cell_booking_speed_milli (const MuxCell *cell, const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;

  return stage->spec->gang && stage->gang_speed_milli != 0
             ? stage->gang_speed_milli
             : cell_placing_speed_milli (cell, stage, booking->worker);
}
