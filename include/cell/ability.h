#ifndef CELL_ABILITY_H
#define CELL_ABILITY_H

#include <stdint.h>

/*
 * How much of the planner's work an instance can do.
 *
 * Planning takes processor time, link capacity and memory in proportion to the
 * workers, members and jobs of the cell.  An instance that lacks any of them
 * plans late, whatever it has of the others, so the scarcest one counts.
 */

/* Ability of an instance that meets the whole need. */
#define MUX_ABILITY_FULL_MILLI 1000
/* How much more of the need the next planner must meet for a handover, in
 * thousandths; for less the second that a takeover takes is not worth it. */
#define MUX_ABILITY_YIELD_MILLI 1500

/**
 * struct MuxAbilityLoad - what the need of planning depends on
 * @workers: workers listed
 * @members: daemons of the cell
 * @jobs_milli: jobs accepted per second, in thousandths
 */
typedef struct
{
  uint32_t workers;
  uint32_t members;
  uint32_t jobs_milli;
} MuxAbilityLoad;

/**
 * struct MuxAbilityNeed - what planning takes; all zero: unknown
 * @cpu_milli: thousandths of a core
 * @link_kbps: link rate, in kbit/s
 * @memory_mib: resident memory, in MiB
 */
typedef struct
{
  uint32_t cpu_milli;
  uint32_t link_kbps;
  uint32_t memory_mib;
} MuxAbilityNeed;

/**
 * struct MuxAbilityLimits - what an instance has; 0: unknown, restricts nothing
 * @cpu_milli: thousandths of a core
 * @link_kbps: link rate, in kbit/s
 * @memory_mib: memory, in MiB
 */
typedef struct
{
  uint32_t cpu_milli;
  uint32_t link_kbps;
  uint32_t memory_mib;
} MuxAbilityLimits;

/** mux_ability_need() - need of planning for that load */
MuxAbilityNeed mux_ability_need (const MuxAbilityLoad *load);
/** mux_ability_need_follow() - next value of a need that rises at once and
 * falls slowly: a planner that has just begun has not yet listed all workers
 * @now: need of the current load
 * Return: @previous moved towards @now. */
MuxAbilityNeed mux_ability_need_follow (const MuxAbilityNeed *previous,
                                        const MuxAbilityNeed *now);
/** mux_ability_milli() - the smallest ratio of limit to need over the known
 * limits, in thousandths, at most MUX_ABILITY_FULL_MILLI; while the need is
 * unknown, a quarter of a core is fully able */
uint32_t mux_ability_milli (const MuxAbilityLimits *limits,
                            const MuxAbilityNeed *need);
/** mux_ability_claim_delay_ms() - how long an instance of that ability lets
 * others claim first */
int64_t mux_ability_claim_delay_ms (uint32_t ability_milli);

#endif
