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

/** cell_add_list() - adds the list, which it takes over, unless it is empty */
void cell_add_list (json_t *json, const char *field, json_t *list);

/* These return lists, or a text, owned by the caller. */

/** cell_done_json() - bitmap of the tasks that are done */
json_t *cell_done_json (const CellStage *stage, CellTaskRange range);
/** cell_failures_json() - [[task, [failed run, ...]], ...], of tasks whose
 * failed runs the previous version reads */
json_t *cell_failures_json (const CellStage *stage, CellTaskRange range);
/** cell_failure_counts_json() - [[task, failure count], ...], of the others */
json_t *cell_failure_counts_json (const CellStage *stage, CellTaskRange range);
/** cell_checkpoints_json() - [[task, checkpoint], ...]
 * @whole: those that the previous version would cut; false: the others */
json_t *
cell_checkpoints_json (const CellStage *stage, CellTaskRange range, bool whole);
/** cell_gang_failures_json() - [failed run, ...], or an empty list if the
 * previous version does not read them */
json_t *cell_gang_failures_json (const CellStage *stage);
/** cell_gang_failure_count_json() - failure count, or else an empty list */
json_t *cell_gang_failure_count_json (const CellStage *stage);

/* These take what the check below them has found valid. */

void cell_done_apply (MuxCell *cell,
                      CellStage *stage,
                      CellTaskRange range,
                      const json_t *json);
/** cell_failures_apply() - sets the failed runs of the tasks of a row, and
 * raises their highest run numbers */
void cell_failures_apply (MuxCell *cell, CellStage *stage, const json_t *row);
/** cell_gang_failures_apply() - the same of the gang */
void
cell_gang_failures_apply (MuxCell *cell, CellStage *stage, const json_t *row);
void cell_checkpoints_apply (MuxCell *cell,
                             CellStage *stage,
                             const json_t *list,
                             bool whole);

/** cell_pairs_valid() - @list is a list of pairs of the index of a task of
 * @range and a value of @type */
bool cell_pairs_valid (const json_t *list, CellTaskRange range, json_type type);
/** cell_failures_bad_field() - the first bad one of the row's fields with
 * failed runs, each of which may be missing; NULL: none is */
const char *cell_failures_bad_field (const json_t *row, CellTaskRange range);
/** cell_workers_valid() - @list is a list of names; one that were cut or left
 * out would not be waited for */
bool cell_workers_valid (const json_t *list);
bool cell_done_valid (const json_t *value, CellTaskRange range);
bool
cell_integer_in_range (const json_t *value, json_int_t min, json_int_t max);

#endif
