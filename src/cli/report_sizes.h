#ifndef CLI_REPORT_SIZES_H
#define CLI_REPORT_SIZES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** DOC: share of a queue's jobs that were in time, by declared core-time */

typedef struct
{
  int64_t work_ms;
  bool in_time;
} MuxSizedJob;

/**
 * struct MuxSizedJobs - jobs whose core-time is known
 */
typedef struct
{
  uint32_t count;
  MuxSizedJob *job; /* owned */
} MuxSizedJobs;

/** mux_sized_jobs_add() - append a job
 * Return: false if out of memory. */
bool mux_sized_jobs_add (MuxSizedJobs *jobs, int64_t work_ms, bool in_time);
/** mux_sized_jobs_to_json() - add to @row the percentages in time of all jobs,
 * of the largest tenth and of the next fifth; null for an empty group */
void mux_sized_jobs_to_json (MuxSizedJobs *jobs, json_t *row);
void mux_sized_jobs_clear (MuxSizedJobs *jobs);

#endif
