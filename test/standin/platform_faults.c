#include "standin/platform_faults.h"

#include "standin/time.h"
#include "support/random.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define PPM 1000000

struct StandinFaults
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  StandinFaultPlan plan;
  bool stopping;
  uint32_t held;
  uint64_t connections;
  uint64_t silent_to; /* connections up to this number get no response */
  MuxRandom random;
  uint64_t refused;
  uint64_t cut;
  uint64_t lost;
};

StandinFaults *
standin_platform_faults_new (void)
{
  StandinFaults *faults = calloc (1, sizeof *faults);

  if (faults == NULL)
    return NULL;
  pthread_mutex_init (&faults->lock, NULL);
  standin_cond_init (&faults->changed);
  return faults;
}

void
standin_platform_faults_free (StandinFaults *faults)
{
  if (faults == NULL)
    return;
  pthread_cond_destroy (&faults->changed);
  pthread_mutex_destroy (&faults->lock);
  free (faults);
}

void
standin_platform_faults_get (StandinFaults *faults, StandinFaultPlan *plan)
{
  pthread_mutex_lock (&faults->lock);
  *plan = faults->plan;
  pthread_mutex_unlock (&faults->lock);
}

void
standin_platform_faults_set (StandinFaults *faults,
                             const StandinFaultPlan *plan)
{
  pthread_mutex_lock (&faults->lock);
  if (plan->lose_seed != faults->plan.lose_seed)
    faults->random.state = plan->lose_seed;
  faults->plan = *plan;
  pthread_cond_broadcast (&faults->changed);
  pthread_mutex_unlock (&faults->lock);
}

void
standin_platform_faults_stop (StandinFaults *faults)
{
  pthread_mutex_lock (&faults->lock);
  faults->stopping = true;
  pthread_cond_broadcast (&faults->changed);
  pthread_mutex_unlock (&faults->lock);
}

void
standin_platform_faults_silence_connections (StandinFaults *faults)
{
  pthread_mutex_lock (&faults->lock);
  faults->silent_to = faults->connections;
  pthread_mutex_unlock (&faults->lock);
}

uint64_t
standin_platform_faults_connection (StandinFaults *faults)
{
  uint64_t number;

  pthread_mutex_lock (&faults->lock);
  number = ++faults->connections;
  pthread_mutex_unlock (&faults->lock);
  return number;
}

static bool
is_cut (const StandinFaultPlan *plan, const char *const from[2])
{
  for (uint32_t i = 0; i < plan->cut_count; i++)
    if (strcmp (plan->cut[i], from[0]) == 0
        || strcmp (plan->cut[i], from[1]) == 0)
      return true;
  return false;
}

static void
wait_ms (StandinFaults *faults, uint32_t ms)
{
  struct timespec end = standin_deadline_in (ms);

  while (!faults->stopping
         && pthread_cond_timedwait (&faults->changed, &faults->lock, &end)
                != ETIMEDOUT)
    ;
}

static void
hold (StandinFaults *faults)
{
  faults->held++;
  pthread_cond_broadcast (&faults->changed);
  while (faults->plan.hang && !faults->stopping)
    pthread_cond_wait (&faults->changed, &faults->lock);
  faults->held--;
}

bool
standin_platform_faults_wait_held (StandinFaults *faults,
                                   uint32_t count,
                                   uint32_t timeout_ms)
{
  struct timespec end = standin_deadline_in (timeout_ms);
  bool reached;
  int rc = 0;

  pthread_mutex_lock (&faults->lock);
  while (faults->held < count && rc != ETIMEDOUT)
    rc = pthread_cond_timedwait (&faults->changed, &faults->lock, &end);
  reached = faults->held >= count;
  pthread_mutex_unlock (&faults->lock);
  return reached;
}

StandinVerdict
standin_platform_faults_admit (StandinFaults *faults,
                               const char *const from[2],
                               uint64_t connection,
                               bool list,
                               uint32_t latency_ms)
{
  const StandinFaultPlan *plan = &faults->plan;
  StandinVerdict verdict = STANDIN_ADMIT;

  pthread_mutex_lock (&faults->lock);
  while (connection <= faults->silent_to && !faults->stopping)
    pthread_cond_wait (&faults->changed, &faults->lock);
  if (is_cut (plan, from))
    {
      faults->cut++;
      verdict = STANDIN_CLOSE;
    }
  else if (list ? plan->list_down : plan->down)
    {
      faults->refused++;
      verdict = STANDIN_REFUSE;
    }
  else
    {
      uint32_t delay_ms = latency_ms + (list ? 0 : plan->slow_ms);

      if (delay_ms > 0)
        wait_ms (faults, delay_ms);
      if (!list)
        hold (faults);
    }
  if (faults->stopping)
    verdict = STANDIN_CLOSE;
  pthread_mutex_unlock (&faults->lock);
  return verdict;
}

bool
standin_platform_faults_lose_reply (StandinFaults *faults)
{
  bool loses;

  pthread_mutex_lock (&faults->lock);
  loses = faults->plan.lose_ppm > 0
          && mux_random_next (&faults->random) % PPM < faults->plan.lose_ppm;
  if (faults->plan.lose_next > 0)
    {
      faults->plan.lose_next--;
      loses = true;
    }
  if (loses)
    faults->lost++;
  pthread_mutex_unlock (&faults->lock);
  return loses;
}

void
standin_platform_faults_counts (StandinFaults *faults,
                                uint64_t *refused,
                                uint64_t *cut,
                                uint64_t *lost)
{
  pthread_mutex_lock (&faults->lock);
  *refused = faults->refused;
  *cut = faults->cut;
  *lost = faults->lost;
  pthread_mutex_unlock (&faults->lock);
}
