#ifndef CELL_LATE_CALLS_H
#define CELL_LATE_CALLS_H

#include "cell_private.h"

/*
 * Calls meant for an incarnation of a worker that has ended, which a later one
 * under the same id may carry out: it can't tell them apart.  Such a call asks
 * for a lease by the clock of the incarnation that it was meant for, and with
 * that for the longest lease there is.
 *
 * They are kept by the worker's id, so that they reach each later incarnation,
 * and in the roster, so that a successor knows of them.
 */

/** cell_late_calls_end() - the incarnation has ended: calls to it that were not
 * answered may still be carried out by a later one */
void cell_late_calls_end (MuxCell *cell, const CellWorker *ended);
/** cell_late_calls_until_ms() - until when calls to earlier incarnations may
 * arrive at this one
 * @own: calls of this planner alone; a predecessor's are refused once this
 *   planner's fencing token is known there
 * Return: 0: there are none. */
int64_t cell_late_calls_until_ms (const CellWorker *worker, bool own);

/* Their rows in the roster, one for each id. */
/** cell_late_calls_load() - takes a row of the roster
 * Return: false: it is no such row. */
bool cell_late_calls_load (MuxCell *cell,
                           const MuxCellRow *row,
                           int64_t store_clock_ms);
/** cell_late_calls_are_due() - some are to be stored, or removed */
bool cell_late_calls_are_due (const MuxCell *cell);
/** cell_late_calls_write() - adds rows that changed to a commit
 * Return: their number. */
uint32_t cell_late_calls_write (MuxCell *cell, MuxCellCall *call, uint32_t max);
/** cell_late_calls_are_stored() - those of the worker's id are in the store, or
 * in the commit that is being built */
bool cell_late_calls_are_stored (const CellWorker *worker);
/** cell_late_calls_written() - that commit is done */
void cell_late_calls_written (MuxCell *cell, MuxCellStatus status);
/** cell_late_calls_tick() - forgets calls that can't matter any more */
void cell_late_calls_tick (MuxCell *cell);
/** cell_late_calls_are_needed() - the id is to be remembered without any
 * incarnation */
bool cell_late_calls_are_needed (const CellIncarnations *incarnations);

#endif
