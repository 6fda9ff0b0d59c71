#ifndef CELL_ATTEMPTS_H
#define CELL_ATTEMPTS_H

#include "cell_private.h"

/*
 * Failed runs of tasks, and the attempts that are left.  A gang counts as a
 * whole.
 */

/** cell_attempts_reserve() - makes room for a failed run of the task
 * Return: false if out of memory. */
bool cell_attempts_reserve (MuxCell *cell, CellTask *task);
/** cell_attempts_count() - counts a failed run, for which there is room, unless
 * the task is done
 * Return: false: it does not count, or no more. */
bool cell_attempts_count (MuxCell *cell, CellTask *task, uint32_t run);
/** cell_attempts_run_begins() - a run of the task begins: no end of a lower one
 * counts any more */
void cell_attempts_run_begins (MuxCell *cell, CellTask *task, uint32_t run);
/** cell_task_attempts_used() - whether the task is not done and has no attempt,
 * or no run number, left */
bool cell_task_attempts_used (CellTask *task);
/** cell_attempts_used() - the same of some task of the job, or a predecessor
 * recorded it */
bool cell_attempts_used (const CellJob *job);
/** cell_attempts_clear() - frees the failed runs of a task or gang of @job */
void cell_attempts_clear (MuxCell *cell, CellJob *job, MuxFailedRuns *failed);
/** cell_attempts_read() - these, which were clear, were read from the store */
void cell_attempts_read (MuxCell *cell, CellJob *job, MuxFailedRuns *failed);
/** cell_attempts_are_listed() - whether the failed runs are stored as a list of
 * run numbers, which the previous version reads */
bool cell_attempts_are_listed (const CellJob *job, const MuxFailedRuns *failed);
/** cell_attempts_exceed_row() - whether failed runs of the job can't be stored
 * until more of their workers have been heard from.  Their ends stay with these
 * until then. */
bool cell_attempts_exceed_row (MuxCell *cell, CellJob *job);

#endif
