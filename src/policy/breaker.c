#include "internal.h"

/* Blame at which the breaker opens: three failures in a row that are unlike
 * the class's record on other workers. */
#define BLAME_OPEN 2.5
#define BACKOFF_FIRST_MS 1000u
#define BACKOFF_MAX_MS 60000u
/* A probe waits so long for a task that may be run twice. */
#define PROBE_ANY_MS 10000
/* An open worker that is due and was not probed for so long is tried. */
#define UNPROBED_MS 10000
/* How long a class stays off a worker that failed it. */
#define AVOID_MS 30000
/* A class's record fades; so many verdicts count. */
#define JUDGED_MAX 32.0
/* From this share of failing workers on, the class itself is at fault, but
 * not before so many verdicts are in. */
#define CLASS_AT_FAULT 0.5
#define VERDICTS_MIN 2.0
/* Blame for a failure of a class that has no record yet. */
#define BLAME_UNKNOWN 0.25

static uint64_t
class_bit (const MuxClass *class)
{
  return UINT64_C (1) << (class->id % 64);
}

static double
failing_share (const MuxClass *class)
{
  return class->failures / (class->outcomes + 1);
}

static bool
class_at_fault (const MuxClass *class)
{
  return class->outcomes >= VERDICTS_MIN
         && failing_share (class) >= CLASS_AT_FAULT;
}

/* A broken worker fails at once; a task that ran its time may have had its
 * own reason to fail. */
static double
blame_for (const MuxClass *class, uint32_t ran_ms)
{
  uint32_t usual = mux_learn_run_quantile_ms (class, 500000);
  double blame = 1 - failing_share (class);

  if (class_at_fault (class))
    return 0;
  if (class->outcomes < VERDICTS_MIN)
    return BLAME_UNKNOWN;
  return ran_ms < usual / 2 ? blame : blame / 2;
}

/* Only the first failure on each worker counts against the class: a worker
 * that fails everything is always free and would drown the others' record. */
static void
judge_class (MuxClass *class, MuxBreaker *breaker, bool failed, int64_t now_ms)
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
  if (class->outcomes < JUDGED_MAX)
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
  /* Stopped or never started tells nothing: probe again, no longer pause. */
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
    judge_class (class, breaker, end == MUX_END_FAILED, now_ms);
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
  breaker->failure_score += blame_for (class, ran_ms);
  if (sched->tuning.no_breaker)
    return;
  if (breaker->failure_score >= BLAME_OPEN
      && breaker->state == MUX_BREAKER_CLOSED)
    trip (sched, task->worker, now_ms);
}

static bool
probes (const MuxSched *sched, const MuxWorkerQuery *query, uint32_t w)
{
  const MuxWorker *worker = &sched->worker[w];

  return worker->present && worker->usable && w != query->avoid
         && worker->breaker.state == MUX_BREAKER_OPEN
         && worker->breaker.open_until_ms
                    + (query->class->spec.idempotent ? 0 : PROBE_ANY_MS)
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

/* A probe may fail, so a class that can be run again is used for it, unless
 * none has come for long. */
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

      if (probes (sched, query, w))
        return w;
      if (sched->worker[w].present && breaker->state == MUX_BREAKER_OPEN
          && breaker->open_until_ms < next)
        next = breaker->open_until_ms;
    }
  /* Those that are due but did not fit are looked at again a little later. */
  sched->next_probe_ms
      = next > query->now_ms ? next : query->now_ms + BACKOFF_FIRST_MS / 10;
  return MUX_NONE;
}

/*
 * Failure: a worker is mended after its breaker opened, and all that waits may
 * not probe it: it runs at most once, or it is a gang.  The breaker would stay
 * open for ever, and with all of an owner's workers so nothing would start
 * any more.  Such a worker gets work again, but one failure opens it at once
 * and for longer.
 */
void
mux_breaker_tick (MuxSched *sched, int64_t now_ms)
{
  for (uint32_t w = 0; w < sched->workers && sched->tripped > 0; w++)
    {
      MuxBreaker *breaker = &sched->worker[w].breaker;

      if (!sched->worker[w].present || breaker->state != MUX_BREAKER_OPEN
          || now_ms - breaker->open_until_ms < UNPROBED_MS)
        continue;
      close_breaker (sched, w);
      breaker->failure_score = BLAME_OPEN - BLAME_UNKNOWN;
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
