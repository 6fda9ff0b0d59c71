#ifndef SUPPORT_JOBS_H
#define SUPPORT_JOBS_H

#include "demo/support/cluster.h"
#include "demo/support/http.h"
#include "demo/support/jsonl.h"

/**
 * struct MuxTestJob - a job as its submitter sees it
 * @class_name: its class
 * @key: idempotency key
 * @tasks: of how many tasks
 * @id: once accepted; "" before
 * @state: as last shown
 */
typedef struct
{
  const char *class_name;
  const char *key;
  uint32_t tasks;
  char id[MUX_ID_HEX_LEN];
  char state[16];
} MuxTestJob;

/** mux_job_submit() - try each daemon in turn, the same key, until accepted
 * @log: receives the "job" line, see history.h */
bool mux_job_submit (MuxHttp *http,
                     const MuxCluster *cluster,
                     MuxTestJob *job,
                     MuxJsonl *log,
                     uint32_t timeout_ms,
                     MuxError *err);
/** mux_job_wait() - until it has ended, asking each daemon in turn
 * @log: receives the "job_end" line
 * Return: false when it had not after @timeout_ms. */
bool mux_job_wait (MuxHttp *http,
                   const MuxCluster *cluster,
                   MuxTestJob *job,
                   MuxJsonl *log,
                   uint32_t timeout_ms);

#endif
