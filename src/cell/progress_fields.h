#ifndef CELL_PROGRESS_FIELDS_H
#define CELL_PROGRESS_FIELDS_H

#include "cell_private.h"

/* Fields of a job's stored progress, for some or all tasks of a stage. */

/**
 * struct CellTaskRange - tasks of a stage that follow each other
 * @first: index of the first one
 * @count: number of tasks, within the stage
 */
typedef struct
{
  uint32_t first;
  uint32_t count;
} CellTaskRange;

/* These return lists, or a text, owned by the caller. */

/** cell_done_json() - bitmap of the tasks that are done */
json_t *cell_done_json (const CellStage *stage, CellTaskRange range);
/** cell_failures_json() - [[task, [failed run, ...]], ...] */
json_t *cell_failures_json (const CellStage *stage, CellTaskRange range);
/** cell_checkpoints_json() - [[task, checkpoint], ...]
 * @whole: those that the previous version would cut; false: the others */
json_t *
cell_checkpoints_json (const CellStage *stage, CellTaskRange range, bool whole);
/** cell_runs_json() - [failed run, ...] */
json_t *cell_runs_json (const CellFailures *failures);

/* These take what the check below them has found valid. */

void cell_done_apply (MuxCell *cell,
                      CellStage *stage,
                      CellTaskRange range,
                      const json_t *json);
void cell_failures_apply (MuxCell *cell, CellStage *stage, const json_t *list);
void cell_checkpoints_apply (MuxCell *cell,
                             CellStage *stage,
                             const json_t *list,
                             bool whole);
/** cell_runs_apply() - sets @failures, and raises @last to the highest run
 * number read */
void
cell_runs_apply (CellFailures *failures, uint32_t *last, const json_t *list);

/** cell_pairs_valid() - @list is a list of pairs of the index of a task of
 * @range and a value of @type */
bool cell_pairs_valid (const json_t *list, CellTaskRange range, json_type type);
/** cell_runs_valid() - @list is a list of run numbers */
bool cell_runs_valid (const json_t *list);
/** cell_failures_valid() - @list is one of cell_failures_json() for @range */
bool cell_failures_valid (const json_t *list, CellTaskRange range);
/** cell_workers_valid() - @list is a list of names; one that were cut or left
 * out would not be waited for */
bool cell_workers_valid (const json_t *list);
bool cell_done_valid (const json_t *value, CellTaskRange range);
bool
cell_integer_in_range (const json_t *value, json_int_t min, json_int_t max);

#endif
