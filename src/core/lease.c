#include "lease.h"

/* Renewal interval of a worker with bookings; a renewal returns the changes of
 * its tasks. */
#define RENEW_BUSY_MS 1000
/* A lease survives the loss of two renewals. */
#define RENEWALS_PER_LEASE 3
/* Up to PACED_FROM workers are renewed without pacing; each further one adds
 * PACE_MS_PER_WORKER to the interval, which limits a daemon to some 3 renewals
 * a second. */
#define PACED_FROM 16
#define PACE_MS_PER_WORKER 400
/* Longest lease, regardless of the number of workers held. */
#define LEASE_MAX_MS 300000

static int64_t
pacing_interval_ms (const MuxCore *core)
{
  uint32_t held = workers_held (core);

  return held <= PACED_FROM
             ? 0
             : (int64_t) (held - PACED_FROM) * PACE_MS_PER_WORKER;
}

uint32_t
lease_request_ms (const MuxCore *core)
{
  int64_t paced_ms = pacing_interval_ms (core) * RENEWALS_PER_LEASE;

  if (paced_ms > LEASE_MAX_MS)
    paced_ms = LEASE_MAX_MS;
  return paced_ms > core->opt.lease_ms ? (uint32_t) paced_ms
                                       : core->opt.lease_ms;
}

/*
 * Computed from the lease that was last requested from this worker. After the
 * takeover of a dead peer's workers the interval grows, and workers that hold
 * earlier, shorter leases would be renewed too late.
 */
int64_t
lease_renew_after_ms (MuxCore *core, const Worker *worker)
{
  int64_t idle_ms = worker->lease_ms / RENEWALS_PER_LEASE;
  int64_t busy_ms = pacing_interval_ms (core);

  /* Jitter, so that workers claimed together are not renewed together. */
  if (worker->lease_ms > core->opt.lease_ms)
    return idle_ms - (int64_t) (core_random (core) % (uint64_t) idle_ms) / 8;
  if (worker->grants == NULL)
    return idle_ms;
  if (busy_ms < RENEW_BUSY_MS)
    busy_ms = RENEW_BUSY_MS;
  return busy_ms < idle_ms ? busy_ms : idle_ms;
}
