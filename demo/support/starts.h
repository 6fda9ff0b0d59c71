#ifndef SUPPORT_STARTS_H
#define SUPPORT_STARTS_H

#include "base/error.h"
#include "demo/support/cluster.h"

#include <stdint.h>

/**
 * struct MuxStart - a task's start as a worker logged it
 * @worker: number in the cluster
 * @epoch: claim under which it came
 * @at_ms: monotonic clock
 */
typedef struct
{
  uint32_t worker;
  uint64_t epoch;
  int64_t at_ms;
} MuxStart;

/**
 * struct MuxStarts - of all workers, each one's in its own order
 */
typedef struct
{
  MuxStart *item;
  uint32_t count;
  uint32_t room;
} MuxStarts;

/** mux_starts_read() - what the workers have logged by now */
bool
mux_starts_read (const MuxCluster *cluster, MuxStarts *starts, MuxError *err);
void mux_starts_clear (MuxStarts *starts);
/** mux_starts_count() - starts from @from_ms on, before @to_ms */
uint32_t
mux_starts_count (const MuxStarts *starts, int64_t from_ms, int64_t to_ms);

#endif
