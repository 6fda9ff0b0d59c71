#ifndef CELL_PROGRESS_SPLIT_H
#define CELL_PROGRESS_SPLIT_H

#include "cell_private.h"

/* Rows of a split progress; see progress_split_rows.c for their format. */

/* Rows over which the workers of a stage are spread. */
#define CELL_SPLIT_WORKER_ROWS 16

typedef enum
{
  CELL_SPLIT_TASKS,   /* what is known of some tasks */
  CELL_SPLIT_WORKERS, /* workers that the stage may run on */
} CellSplitKind;

/**
 * struct CellSplitRow - a row of a stage
 * @kind: what it holds
 * @number: of the row among those of its kind
 */
typedef struct
{
  CellSplitKind kind;
  uint32_t number;
} CellSplitRow;

/** cell_split_task_rows() - rows for the tasks of a stage */
uint32_t cell_split_task_rows (const MuxStepSpec *step);
void cell_split_key (const CellStage *stage,
                     CellSplitRow row,
                     char key[CELL_PROGRESS_KEY_LEN]);
/* These return objects owned by the caller; NULL: nothing is to be stored. */
json_t *cell_split_tasks_json (const CellStage *stage, uint32_t row);
void cell_split_workers_json (MuxCell *cell,
                              const CellStage *stage,
                              json_t *json[CELL_SPLIT_WORKER_ROWS]);

/** cell_split_row_add() - Return: NULL if out of memory. */
CellProgressRow *cell_split_row_add (CellJob *job, const char *key);

#endif
