#ifndef SUPPORT_MIXED_JOBS_H
#define SUPPORT_MIXED_JOBS_H

#include "demo/support/cluster.h"
#include "demo/support/jsonl.h"

#include <stdint.h>

/**
 * struct MuxMixedJobsOptions - jobs submitted one after another
 * @cluster: its daemons are asked
 * @batch, @gang, @service: class names; the last is long-running
 * @seed: of the choices
 * @log: receives "job" and "job_end" lines, see history.h
 */
typedef struct
{
  MuxCluster *cluster;
  const char *batch;
  const char *gang;
  const char *service;
  uint64_t seed;
  MuxJsonl *log;
} MuxMixedJobsOptions;

/**
 * struct MuxMixedJobsTally - jobs by their end
 */
typedef struct
{
  uint32_t accepted;
  uint32_t done;
  uint32_t failed;
  uint32_t cancelled;
  uint32_t open;
} MuxMixedJobsTally;

typedef struct MuxMixedJobs MuxMixedJobs;

MuxMixedJobs *mux_mixed_jobs_start (const MuxMixedJobsOptions *options);
/** mux_mixed_jobs_stop() - no new ones; cancel the long-running, wait for all
 * to end, at most @timeout_ms in all, and free */
void mux_mixed_jobs_stop (MuxMixedJobs *jobs,
                          uint32_t timeout_ms,
                          MuxMixedJobsTally *tally);

#endif
