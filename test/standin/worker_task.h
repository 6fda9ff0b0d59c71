#ifndef STANDIN_WORKER_TASK_H
#define STANDIN_WORKER_TASK_H

#include "standin/worker_logic.h"

#include <uthash.h>

#define STANDIN_WORKER_NEVER INT64_MAX

/**
 * struct StandinTask - a task or tombstone that the worker knows
 * @ends_ms: when it ends by itself; STANDIN_WORKER_NEVER: long-running
 * @usage_ms: when its usage shows; STANDIN_WORKER_NEVER: it has shown
 * @change: number of its last change
 * @prev: list of all, oldest change first
 * @run_prev: list of the running
 * @end_prev: list of the ended and tombstones, oldest first
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
 * standin_worker_task_new() - a task as its start describes it
 * @run_ms: run time when the body names none
 * The body may be JSON {"run_ms":N,"use":{"cpu_milli":N,"mem_mib":N}} or begin
 * with a line "run_ms=N".
 * Return: NULL: memory is out.
 */
StandinTask *standin_worker_task_new (const MuxWorkerCall *call,
                                      int64_t now_ms,
                                      uint32_t run_ms);
void standin_worker_task_free (StandinTask *task);
/** standin_worker_task_answer() - WORD:ID:BODY; NULL: memory is out */
MuxBlob *standin_worker_task_answer (const StandinTask *task, const char *word);
uint32_t standin_worker_task_ran_ms (const StandinTask *task, int64_t now_ms);

#endif
