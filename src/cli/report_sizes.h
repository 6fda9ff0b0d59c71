#ifndef CLI_REPORT_SIZES_H
#define CLI_REPORT_SIZES_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** DOC: which of a queue's jobs were in time, by their core-time */

typedef struct
{
  int64_t work_ms;
  bool in_time;
} MuxSizedJob;

/**
 * struct MuxSizedJobs - those whose core-time is known
 */
typedef struct
{
  uint32_t count;
  MuxSizedJob *job; /* owned */
} MuxSizedJobs;

/** mux_sized_jobs_add() - Return: false when memory is out */
bool mux_sized_jobs_add (MuxSizedJobs *jobs, int64_t work_ms, bool in_time);
/** mux_sized_jobs_to_json() - the shares in time, in percent, of all, of the
 * largest tenth and of the fifth below it; null where there is none */
void mux_sized_jobs_to_json (MuxSizedJobs *jobs, json_t *row);
void mux_sized_jobs_clear (MuxSizedJobs *jobs);

#endif
