#ifndef STANDIN_WORKER_TASK_H
#define STANDIN_WORKER_TASK_H

#include "standin/worker_logic.h"

#include <uthash.h>

#define STANDIN_WORKER_NEVER INT64_MAX

/**
 * struct StandinTask - a task or tombstone
 * @used: usage reported so far
 * @will_use: usage reported from @usage_ms on
 * @will_fail: it fails at @ends_ms
 * @ends_ms: time at which it ends by itself; STANDIN_WORKER_NEVER: long-running
 * @usage_ms: time at which its usage is reported; STANDIN_WORKER_NEVER: done
 * @change: number of its last change
 * @prev: list of all, oldest change first
 * @run_prev: list of the running tasks
 * @end_prev: list of the ended tasks and tombstones, oldest first
 */
typedef struct StandinTask StandinTask;
struct StandinTask
{
  MuxId id;
  MuxTaskState state;
  char class_name[MUX_NAME_LEN];
  char home[MUX_NAME_LEN];
  MuxKind kind;
  MuxSize size;
  MuxSize used;
  MuxSize will_use;
  bool will_fail;
  int64_t started_ms;
  int64_t ends_ms;
  int64_t usage_ms;
  int64_t ended_ms;
  uint64_t change;
  MuxBlob *body;
  MuxBlob *answer;
  StandinTask *prev, *next;
  StandinTask *run_prev, *run_next;
  StandinTask *end_prev, *end_next;
  UT_hash_handle hh;
};

/**
 * standin_worker_task_new() - creates the task of a START
 * @run_ms: run time if the body gives none
 * The body may be JSON {"run_ms":N,"use":{"cpu_milli":N,"mem_mib":N}} or begin
 * with a line "run_ms=N".
 * Return: NULL if out of memory.
 */
StandinTask *standin_worker_task_new (const MuxWorkerCall *call,
                                      int64_t now_ms,
                                      uint32_t run_ms);
void standin_worker_task_free (StandinTask *task);
/** standin_worker_task_answer() - formats the result, WORD:ID:BODY; NULL if out
 * of memory */
MuxBlob *standin_worker_task_answer (const StandinTask *task, const char *word);
uint32_t standin_worker_task_ran_ms (const StandinTask *task, int64_t now_ms);

#endif
