#include "cell/ability.h"

#define MILLI 1000

/*
 * Need of planning: 0.08 of a core with 48 workers, and 0.5 of a core with 350
 * workers and 135 jobs per second, where the planner's link carries some tens
 * of Mbit/s (docs/CAPACITY.md).  The values are thousandths of the need's unit.
 */
typedef struct
{
  uint32_t base;
  uint32_t worker;
  uint32_t member;
  uint32_t job; /* per job and second */
} Cost;

static const Cost cpu_cost = { 14000, 1100, 100, 700 };
/* Renewals and their replies, hellos with a reply of some KB four times a
 * second, jobs with their starts and ends. */
static const Cost link_cost = { 200000, 80000, 150000, 50000 };
/* A daemon without load takes 18 MiB, a busy planner up to 69 MB
 * (docs/CAPACITY.md). */
static const Cost memory_cost = { 24000, 100, 100, 100 };

/* Jobs per second and worker that count at most, in thousandths: the planner
 * refuses more. */
#define JOBS_PER_WORKER_MAX_MILLI 385
/* While the need is unknown an instance with a quarter of a core, of which 48
 * workers take 0.08, is fully able. */
#define DEFAULT_CPU_NEED_MILLI 250
#define CLAIM_DELAY_MAX_MS 800
/* A need that is followed each 250 ms falls by half in 11 s. */
#define FALL_DIVISOR 64

static uint32_t
need_of (const Cost *cost, const MuxAbilityLoad *load)
{
  uint64_t jobs_milli = load->jobs_milli;
  uint64_t jobs_max = (uint64_t) load->workers * JOBS_PER_WORKER_MAX_MILLI;
  uint64_t need;

  if (jobs_milli > jobs_max)
    jobs_milli = jobs_max;
  need = cost->base + (uint64_t) cost->worker * load->workers
         + (uint64_t) cost->member * load->members
         + cost->job * jobs_milli / MILLI;
  need /= MILLI;
  return need < UINT32_MAX ? (uint32_t) need : UINT32_MAX;
}

MuxAbilityNeed
mux_ability_need (const MuxAbilityLoad *load)
{
  return (MuxAbilityNeed){ .cpu_milli = need_of (&cpu_cost, load),
                           .link_kbps = need_of (&link_cost, load),
                           .memory_mib = need_of (&memory_cost, load) };
}

static uint32_t
follow (uint32_t previous, uint32_t now)
{
  uint32_t fall;

  if (now >= previous)
    return now;
  fall = (previous - now) / FALL_DIVISOR;
  return previous - (fall > 0 ? fall : 1);
}

MuxAbilityNeed
mux_ability_need_follow (const MuxAbilityNeed *previous,
                         const MuxAbilityNeed *now)
{
  return (MuxAbilityNeed){
    .cpu_milli = follow (previous->cpu_milli, now->cpu_milli),
    .link_kbps = follow (previous->link_kbps, now->link_kbps),
    .memory_mib = follow (previous->memory_mib, now->memory_mib),
  };
}

/* Return: the smaller of @ability and the ratio of @limit to @need. */
static uint32_t
restrict_by (uint32_t ability, uint32_t limit, uint32_t need)
{
  uint64_t ratio;

  if (limit == 0 || limit >= need)
    return ability;
  ratio = (uint64_t) limit * MUX_ABILITY_FULL_MILLI / need;
  return ratio < ability ? (uint32_t) ratio : ability;
}

uint32_t
mux_ability_milli (const MuxAbilityLimits *limits, const MuxAbilityNeed *need)
{
  uint32_t ability = MUX_ABILITY_FULL_MILLI;
  uint32_t cpu_need = need->cpu_milli;

  if (cpu_need == 0 && need->link_kbps == 0 && need->memory_mib == 0)
    cpu_need = DEFAULT_CPU_NEED_MILLI;
  ability = restrict_by (ability, limits->cpu_milli, cpu_need);
  ability = restrict_by (ability, limits->link_kbps, need->link_kbps);
  return restrict_by (ability, limits->memory_mib, need->memory_mib);
}

int64_t
mux_ability_claim_delay_ms (uint32_t ability_milli)
{
  if (ability_milli >= MUX_ABILITY_FULL_MILLI)
    return 0;
  return (int64_t) CLAIM_DELAY_MAX_MS * (MUX_ABILITY_FULL_MILLI - ability_milli)
         / MUX_ABILITY_FULL_MILLI;
}
