#ifndef ADAPTER_WORKER_H
#define ADAPTER_WORKER_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

/**
 * struct MuxWorkerHttpOptions - construction of the worker adapter
 * @inbox: receives replies; borrowed
 * @threads: concurrent START and FETCH calls
 * @control_threads: concurrent calls of all other verbs, which have threads of
 *   their own so that renewals never queue behind long starts
 * @queue: calls that may wait for a thread, in each of the two pools, a power
 *   of two
 * @counters: borrowed; may be NULL
 */
typedef struct
{
  MuxInbox *inbox;
  uint32_t threads;
  uint32_t control_threads;
  uint32_t queue;
  MuxCounters *counters;
} MuxWorkerHttpOptions;

/** mux_worker_http_new() - adapter for docs/PLATFORM.md's worker protocol
 * Return: NULL with @err set when out of memory or threads. */
MuxWorkerPort *mux_worker_http_new (const MuxWorkerHttpOptions *options,
                                    MuxError *err);

#endif
