#include "lease.h"

/* A worker with something booked on it is asked for changes this often. */
#define RENEW_BUSY_MS 1000
/* A lease outlives two renewals that are lost. */
#define RENEWALS_PER_LEASE 3
/* So many workers are renewed at the full cadence; each one above adds to the
 * time between renewals, which holds a daemon at 3 renewals a second or so. */
#define PACED_FROM 16
#define PACE_MS_EACH 400
/* Longest lease, however many workers are held. */
#define LEASE_MAX_MS 300000

static int64_t
pace_ms (const MuxCore *core)
{
  uint32_t held = workers_held (core);

  return held <= PACED_FROM ? 0 : (int64_t) (held - PACED_FROM) * PACE_MS_EACH;
}

uint32_t
lease_request_ms (const MuxCore *core)
{
  int64_t paced_ms = pace_ms (core) * RENEWALS_PER_LEASE;

  if (paced_ms > LEASE_MAX_MS)
    paced_ms = LEASE_MAX_MS;
  return paced_ms > core->opt.lease_ms ? (uint32_t) paced_ms
                                       : core->opt.lease_ms;
}

/*
 * Failure: the workers of a dead peer come all at once, the pace slows down,
 * and workers whose leases were asked for before would be renewed too late.
 * So it is the lease that this worker was last asked for that counts.
 */
int64_t
lease_renew_after_ms (MuxCore *core, const Worker *worker)
{
  int64_t idle_ms = worker->lease_ms / RENEWALS_PER_LEASE;
  int64_t busy_ms = pace_ms (core);

  /* Workers claimed together are not renewed together for ever. */
  if (worker->lease_ms > core->opt.lease_ms)
    return idle_ms - (int64_t) (core_random (core) % (uint64_t) idle_ms) / 8;
  if (worker->grants == NULL)
    return idle_ms;
  if (busy_ms < RENEW_BUSY_MS)
    busy_ms = RENEW_BUSY_MS;
  return busy_ms < idle_ms ? busy_ms : idle_ms;
}
