#ifndef CELL_JOB_MEMORY_H
#define CELL_JOB_MEMORY_H

#include "cell_private.h"

/*
 * Memory that the planner's jobs take.  Each daemon counts a job by the same
 * rule, and the planner accepts no more than the instance with the least
 * memory can plan, so that each of them can take over.
 */

/** cell_job_bytes() - what a job takes while its tasks wait, in bytes */
uint64_t cell_job_bytes (const MuxJobSpec *spec);
/** cell_job_memory_charge() - counts a job of the spec as held here, until
 * cell_job_memory_release()
 * Return: bytes, for the release. */
uint64_t cell_job_memory_charge (MuxCell *cell, const MuxJobSpec *spec);
void
cell_job_memory_release (MuxCell *cell, const MuxJobSpec *spec, uint64_t bytes);
/** cell_job_memory_update() - counts the stages that the job has begun beyond
 * those counted for it in advance */
void cell_job_memory_update (MuxCell *cell, CellJob *job);
/** cell_job_may_grow() - whether a further occurrence may begin: it was counted
 * in advance, or there is memory for it */
bool cell_job_may_grow (const MuxCell *cell, const CellJob *job);
/** cell_job_memory_own_limit() - what this instance can plan, in bytes */
uint64_t cell_job_memory_own_limit (const MuxCell *cell);
/** cell_job_max_bytes() - the largest job that is ever accepted */
uint64_t cell_job_max_bytes (const MuxCell *cell);
/** cell_runs_have_memory() - whether there is memory for further runs; tasks
 * without a size would start in any number.  There is none while too many
 * starts have no reply
 * @new_tasks: of these, tasks that have no object yet */
bool
cell_runs_have_memory (const MuxCell *cell, uint32_t runs, uint32_t new_tasks);
/** cell_runs_exceed_memory() - whether what is known of runs takes more than
 * the memory for it */
bool cell_runs_exceed_memory (const MuxCell *cell);
/** cell_job_memory_retry_ms() - when a job is to come again that there is no
 * memory for now; 0: it is accepted */
uint32_t cell_job_memory_retry_ms (const MuxCell *cell, const MuxJobSpec *spec);
/** cell_job_memory_tick() - planner: updates its limit and the rate of
 * releases */
void cell_job_memory_tick (MuxCell *cell);
/** cell_job_memory_json() - what other daemons refuse jobs by; owned by the
 * caller */
json_t *cell_job_memory_json (const MuxCell *cell);
/** cell_job_memory_receive() - takes what the planner sent; NULL: it sends
 * none */
void cell_job_memory_receive (MuxCell *cell, const json_t *json);

/* job_left_out.c: jobs that are left in the store for want of memory */
/** cell_job_leave_out() - leaves a job in the store that this instance has no
 * memory for; a takeover leaves out the least urgent ones
 * Return: true, and @spec is taken over, if it does. */
bool cell_job_leave_out (MuxCell *cell, MuxJobSpec *spec);
/** cell_jobs_left_out_tick() - reads jobs left in the store, the most urgent
 * first, once there is memory for them */
void cell_jobs_left_out_tick (MuxCell *cell);
/** cell_jobs_left_out_free() - forgets them at the end of a term */
void cell_jobs_left_out_free (MuxCell *cell);

#endif
