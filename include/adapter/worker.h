#ifndef ADAPTER_WORKER_H
#define ADAPTER_WORKER_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

/**
 * struct MuxWorkerHttpOptions - construction of the worker adapter
 * @inbox: where replies go
 * @threads: calls that may be in flight at once for START and FETCH
 * @control_threads: the same for all other verbs, so that renewals are never
 *   behind long starts
 * @queue: calls that may wait, power of two
 * @counters: may be NULL
 */
typedef struct
{
  MuxInbox *inbox;
  uint32_t threads;
  uint32_t control_threads;
  uint32_t queue;
  MuxCounters *counters;
} MuxWorkerHttpOptions;

/** mux_worker_http_new() - speaks docs/PLATFORM.md's worker protocol
 * Return: NULL with @err set when threads or memory are out. */
MuxWorkerPort *mux_worker_http_new (const MuxWorkerHttpOptions *options,
                                    MuxError *err);

#endif
