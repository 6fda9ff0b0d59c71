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

/* progress_split_table.c: what is known of the rows in the store */

/**
 * struct CellSplitRef - one of these rows
 * @stage: its stage; NULL: it has none
 * @index: with @stage: of the row in CellStage.split_row
 * @stray: without a stage: its entry
 * @row: the row
 */
typedef struct
{
  CellStage *stage;
  uint32_t index;
  CellStrayRow *stray;
  CellProgressRow *row;
} CellSplitRef;

/** cell_split_row_get() - a row of a stage, which counts as known from then on
 * Return: NULL if out of memory. */
CellProgressRow *
cell_split_row_get (CellJob *job, CellStage *stage, CellSplitRow row);
/** cell_split_row_read() - the store has this row
 * @stage: NULL: it is not there any more, or not yet
 * @value: NULL: its content does not matter */
void cell_split_row_read (CellJob *job,
                          CellStage *stage,
                          CellSplitRow row,
                          const char *key,
                          const MuxBlob *value);
/** cell_split_ref_key() - key of the row in the store */
void cell_split_ref_key (const CellSplitRef *ref,
                         char key[CELL_PROGRESS_KEY_LEN]);
/** cell_split_row_forget() - the row is not in the store any more */
void cell_split_row_forget (CellJob *job, const CellSplitRef *ref);
/** cell_split_rows_visit() - calls @visit for all known rows, but for that
 * under the job's id, until it returns false Return: false: it did. */
bool cell_split_rows_visit (CellJob *job,
                            bool (*visit) (CellJob *job,
                                           const CellSplitRef *ref,
                                           void *context),
                            void *context);

#endif
