#include "cell_private.h"

/*
 * The need of planning.  The planner computes it from what it plans and sends
 * it to all daemons, which compare their own limits with it when they claim.
 */

/* Interval of computing the need, the same as that of hellos. */
#define NEED_INTERVAL_MS 250
/* The rate of accepted jobs is a running mean over this time. */
#define JOBS_WINDOW_MS 10000
#define MILLI 1000
/* Largest value taken from another daemon. */
#define RECEIVED_MAX 100000000

void
cell_need_job_accepted (MuxCell *cell)
{
  cell->need.jobs_accepted++;
}

static void
update_job_rate (CellNeed *need, int64_t passed_ms)
{
  int64_t rate = (int64_t) need->jobs_accepted * MILLI * MILLI / passed_ms;
  int64_t weight_ms = passed_ms < JOBS_WINDOW_MS ? passed_ms : JOBS_WINDOW_MS;

  need->jobs_milli
      = (uint32_t) (need->jobs_milli
                    + (rate - need->jobs_milli) * weight_ms / JOBS_WINDOW_MS);
}

static uint32_t
count_workers (const MuxCell *cell)
{
  const CellWorker *worker;
  const CellWorker *next;
  uint32_t count = 0;

  HASH_ITER (hh, cell->workers, worker, next)
  count += worker->listed && !worker->dead;
  return count;
}

static void
set_gauges (MuxCell *cell)
{
  const MuxAbilityNeed *need = &cell->need.need;
  MuxCounters *counters = cell->options.counters;

  mux_gauge_set (counters, MUX_GAUGE_ABILITY, cell_own_ability_milli (cell));
  mux_gauge_set (counters, MUX_GAUGE_NEED_CPU, need->cpu_milli);
  mux_gauge_set (counters, MUX_GAUGE_NEED_LINK, need->link_kbps);
  mux_gauge_set (counters, MUX_GAUGE_NEED_MEMORY, need->memory_mib);
}

/* A takeover begins with the need that the previous planner sent. */
void
cell_need_tick (MuxCell *cell)
{
  CellNeed *need = &cell->need;
  int64_t passed_ms = cell->time.now_ms - need->computed_ms;
  MuxAbilityLoad load;
  MuxAbilityNeed now;

  if (need->term == cell->term && passed_ms < NEED_INTERVAL_MS)
    return;
  if (need->term == cell->term)
    update_job_rate (need, passed_ms);
  need->jobs_accepted = 0;
  need->term = cell->term;
  need->computed_ms = cell->time.now_ms;
  load = (MuxAbilityLoad){ .workers = count_workers (cell),
                           .members = HASH_COUNT (cell->members) + 1,
                           .jobs_milli = need->jobs_milli };
  now = mux_ability_need (&load);
  need->need = mux_ability_need_follow (&need->need, &now);
  set_gauges (cell);
}

/* Sent also while it is not known yet: it shows the members that this version
 * takes their limits. */
json_t *
cell_need_json (const MuxCell *cell)
{
  const CellNeed *need = &cell->need;

  return json_pack ("{s:I, s:I, s:I, s:I}", "cpu_milli",
                    (json_int_t) need->need.cpu_milli, "link_kbps",
                    (json_int_t) need->need.link_kbps, "memory_mib",
                    (json_int_t) need->need.memory_mib, "jobs_milli",
                    (json_int_t) need->jobs_milli);
}

/* Return: 0 if it is missing or out of range. */
static uint32_t
read_number (const json_t *need, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (need, key));

  return value > 0 && value <= RECEIVED_MAX ? (uint32_t) value : 0;
}

/* An older planner sends no need, which is unknown then. */
void
cell_need_receive (MuxCell *cell, const json_t *blob)
{
  const json_t *json = json_object_get (blob, "need");

  if (blob == NULL || cell->role != CELL_FOLLOWER)
    return;
  cell->need.planner_sends = json != NULL;
  cell->need.jobs_milli = read_number (json, "jobs_milli");
  cell->need.need
      = (MuxAbilityNeed){ .cpu_milli = read_number (json, "cpu_milli"),
                          .link_kbps = read_number (json, "link_kbps"),
                          .memory_mib = read_number (json, "memory_mib") };
  set_gauges (cell);
}

uint32_t
cell_own_ability_milli (const MuxCell *cell)
{
  MuxAbilityLimits limits = { .cpu_milli = cell->options.cpu_share_milli,
                              .link_kbps = cell->options.link_kbps,
                              .memory_mib = cell->options.memory_mib };

  return mux_ability_milli (&limits, &cell->need.need);
}

uint32_t
cell_member_ability_milli (const MuxCell *cell, const CellMember *member)
{
  return mux_ability_milli (&member->limits, &cell->need.need);
}
