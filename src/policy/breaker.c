#include "internal.h"

/* Failure score at which a breaker opens: three failures in a row of classes
 * that rarely fail on other workers. */
#define SCORE_OPEN 2.5
#define BACKOFF_FIRST_MS 1000u
#define BACKOFF_MAX_MS 60000u
/* A due probe waits this long for an idempotent task before another is used. */
#define PROBE_ANY_AFTER_MS 10000
/* A breaker that was due for a probe this long without one is closed. */
#define CLOSE_UNPROBED_AFTER_MS 10000
/* How long a class avoids a worker on which it failed. */
#define AVOID_MS 30000
/* A class's counts are halved when its outcomes reach this. */
#define OUTCOMES_MAX 32.0
/* From this share of failures on, the class itself is at fault, provided that
 * there were at least OUTCOMES_MIN outcomes. */
#define CLASS_FAULT_SHARE 0.5
#define OUTCOMES_MIN 2.0
/* Score of a failure of a class with fewer outcomes than that. */
#define SCORE_UNKNOWN_CLASS 0.25

static uint64_t
class_bit (const MuxClass *class)
{
  return UINT64_C (1) << (class->id % 64);
}

static double
failure_share (const MuxClass *class)
{
  return class->failures / (class->outcomes + 1);
}

static bool
class_at_fault (const MuxClass *class)
{
  return class->outcomes >= OUTCOMES_MIN
         && failure_share (class) >= CLASS_FAULT_SHARE;
}

/* A broken worker fails tasks at once; one that ran for at least half of the
 * median run time may have failed for its own reason, so it scores half. */
static double
failure_weight (const MuxClass *class, uint32_t ran_ms)
{
  uint32_t median_ms = mux_learn_run_quantile_ms (class, 500000);
  double weight = 1 - failure_share (class);

  if (class_at_fault (class))
    return 0;
  if (class->outcomes < OUTCOMES_MIN)
    return SCORE_UNKNOWN_CLASS;
  return ran_ms < median_ms / 2 ? weight : weight / 2;
}

/* Only the first failure on each worker counts against the class: a worker
 * that fails everything is always free, gets most tasks, and would outweigh
 * the outcomes on all others. */
static void
record_outcome (MuxClass *class,
                MuxBreaker *breaker,
                bool failed,
                int64_t now_ms)
{
  bool again = (breaker->failing_classes & class_bit (class)) != 0;

  if (failed)
    {
      breaker->failing_classes |= class_bit (class);
      breaker->last_failure_ms = now_ms;
    }
  else
    breaker->failing_classes &= ~class_bit (class);
  if (failed && again)
    return;
  class->outcomes += 1;
  class->failures += failed ? 1 : 0;
  if (class->outcomes < OUTCOMES_MAX)
    return;
  class->outcomes /= 2;
  class->failures /= 2;
}

static void
trip (MuxSched *sched, uint32_t w, int64_t now_ms)
{
  MuxBreaker *breaker = &sched->worker[w].breaker;
  uint32_t backoff = breaker->backoff_ms * 2;

  if (breaker->state == MUX_BREAKER_CLOSED)
    {
      sched->tripped++;
      if (!breaker->closed_unprobed)
        backoff = BACKOFF_FIRST_MS;
    }
  breaker->state = MUX_BREAKER_OPEN;
  breaker->closed_unprobed = false;
  breaker->backoff_ms = backoff < BACKOFF_MAX_MS ? backoff : BACKOFF_MAX_MS;
  breaker->open_until_ms = now_ms + mux_jitter (sched, breaker->backoff_ms);
  if (breaker->open_until_ms < sched->next_probe_ms)
    sched->next_probe_ms = breaker->open_until_ms;
  mux_index_update (sched, w);
}

static void
close_breaker (MuxSched *sched, uint32_t w)
{
  MuxBreaker *breaker = &sched->worker[w].breaker;

  if (breaker->state != MUX_BREAKER_CLOSED)
    sched->tripped--;
  breaker->state = MUX_BREAKER_CLOSED;
  breaker->failure_score = 0;
  sched->room_gen++;
  mux_index_update (sched, w);
}

void
mux_breaker_reset (MuxSched *sched, uint32_t w)
{
  close_breaker (sched, w);
  sched->worker[w].breaker = (MuxBreaker){ 0 };
}

static void
end_probe (MuxSched *sched, uint32_t w, MuxTaskEnd end, int64_t now_ms)
{
  MuxBreaker *breaker = &sched->worker[w].breaker;

  if (end == MUX_END_OK)
    {
      close_breaker (sched, w);
      return;
    }
  /* A probe that was stopped, lost or never started has no result: trip()
   * doubles the back-off, so it stays the same. */
  if (end != MUX_END_FAILED)
    breaker->backoff_ms /= 2;
  trip (sched, w, now_ms);
}

void
mux_breaker_task_ended (MuxSched *sched,
                        const MuxTask *task,
                        MuxTaskEnd end,
                        uint32_t ran_ms,
                        int64_t now_ms)
{
  MuxClass *class = sched->class_at[task->class_id];
  MuxBreaker *breaker = &sched->worker[task->worker].breaker;
  bool probe = breaker->state == MUX_BREAKER_HALF_OPEN
               && mux_id_equal (breaker->probe, task->id);

  if (end == MUX_END_OK || end == MUX_END_FAILED)
    record_outcome (class, breaker, end == MUX_END_FAILED, now_ms);
  if (probe)
    {
      end_probe (sched, task->worker, end, now_ms);
      return;
    }
  if (end == MUX_END_OK)
    {
      breaker->failure_score /= 2;
      breaker->closed_unprobed = false;
    }
  if (end != MUX_END_FAILED)
    return;
  breaker->failure_score += failure_weight (class, ran_ms);
  if (sched->tuning.no_breaker)
    return;
  if (breaker->failure_score >= SCORE_OPEN
      && breaker->state == MUX_BREAKER_CLOSED)
    trip (sched, task->worker, now_ms);
}

static bool
can_probe (const MuxSched *sched, const MuxWorkerQuery *query, uint32_t w)
{
  const MuxWorker *worker = &sched->worker[w];

  return worker->present && worker->usable && w != query->avoid
         && worker->breaker.state == MUX_BREAKER_OPEN
         && worker->breaker.open_until_ms
                    + (query->class->spec.idempotent ? 0 : PROBE_ANY_AFTER_MS)
                <= query->now_ms
         && mux_fits (query->class->size, worker->free);
}

void
mux_breaker_cancel_probe (MuxSched *sched, const MuxTask *task)
{
  MuxBreaker *breaker = &sched->worker[task->worker].breaker;

  if (breaker->state != MUX_BREAKER_HALF_OPEN
      || !mux_id_equal (breaker->probe, task->id))
    return;
  breaker->state = MUX_BREAKER_OPEN;
  breaker->closed_unprobed = false;
  if (breaker->open_until_ms < sched->next_probe_ms)
    sched->next_probe_ms = breaker->open_until_ms;
}

/* A probe may fail, so only tasks of idempotent classes are used for it during
 * the first PROBE_ANY_AFTER_MS. */
uint32_t
mux_breaker_find_probe (MuxSched *sched, const MuxWorkerQuery *query)
{
  int64_t next = INT64_MAX;

  if (sched->tripped == 0 || query->now_ms < sched->next_probe_ms
      || class_at_fault (query->class))
    return MUX_NONE;
  for (uint32_t w = 0; w < sched->workers; w++)
    {
      const MuxBreaker *breaker = &sched->worker[w].breaker;

      if (can_probe (sched, query, w))
        return w;
      if (sched->worker[w].present && breaker->state == MUX_BREAKER_OPEN
          && breaker->open_until_ms < next)
        next = breaker->open_until_ms;
    }
  /* Workers that are due but can't take this task are checked again soon. */
  sched->next_probe_ms
      = next > query->now_ms ? next : query->now_ms + BACKOFF_FIRST_MS / 10;
  return MUX_NONE;
}

/*
 * Closes breakers that nothing could probe for CLOSE_UNPROBED_AFTER_MS.  All
 * waiting tasks may be unfit as a probe (not idempotent, or gangs); then the
 * breaker of a repaired worker would stay open for ever, and if that held for
 * all workers of the owner, nothing would start any more.  The score is left
 * such that one failure reopens the breaker, with a longer back-off.
 */
void
mux_breaker_tick (MuxSched *sched, int64_t now_ms)
{
  for (uint32_t w = 0; w < sched->workers && sched->tripped > 0; w++)
    {
      MuxBreaker *breaker = &sched->worker[w].breaker;

      if (!sched->worker[w].present || breaker->state != MUX_BREAKER_OPEN
          || now_ms - breaker->open_until_ms < CLOSE_UNPROBED_AFTER_MS)
        continue;
      close_breaker (sched, w);
      breaker->failure_score = SCORE_OPEN - SCORE_UNKNOWN_CLASS;
      breaker->closed_unprobed = true;
    }
}

bool
mux_breaker_avoids (const MuxSched *sched,
                    const MuxClass *class,
                    uint32_t w,
                    int64_t now_ms)
{
  const MuxBreaker *breaker = &sched->worker[w].breaker;

  return !sched->tuning.no_breaker
         && (breaker->failing_classes & class_bit (class)) != 0
         && now_ms - breaker->last_failure_ms < AVOID_MS;
}
