#include "response_waiters.h"

#include "clock.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct
{
  uint64_t call;
  pthread_cond_t changed;
  bool has_response;
  MuxResponse response;
  UT_hash_handle hh;
} Waiter;

struct MuxResponseWaiters
{
  pthread_mutex_t lock;
  uint64_t next_call;
  Waiter *by_call;
};

MuxResponseWaiters *
mux_response_waiters_new (uint64_t first_call)
{
  MuxResponseWaiters *waiters = calloc (1, sizeof *waiters);

  if (waiters == NULL)
    return NULL;
  pthread_mutex_init (&waiters->lock, NULL);
  waiters->next_call = first_call;
  return waiters;
}

void
mux_response_waiters_free (MuxResponseWaiters *waiters)
{
  if (waiters == NULL)
    return;
  pthread_mutex_destroy (&waiters->lock);
  free (waiters);
}

bool
mux_response_waiters_add (MuxResponseWaiters *waiters, uint64_t *call)
{
  Waiter *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL)
    return false;
  mux_cond_init (&waiter->changed);
  pthread_mutex_lock (&waiters->lock);
  waiter->call = waiters->next_call++;
  HASH_ADD (hh, waiters->by_call, call, sizeof waiter->call, waiter);
  pthread_mutex_unlock (&waiters->lock);
  *call = waiter->call;
  return true;
}

static Waiter *
find (MuxResponseWaiters *waiters, uint64_t call)
{
  Waiter *waiter;

  HASH_FIND (hh, waiters->by_call, &call, sizeof call, waiter);
  return waiter;
}

bool
mux_response_waiters_wait (MuxResponseWaiters *waiters,
                           uint64_t call,
                           uint32_t timeout_ms,
                           MuxResponse *response)
{
  struct timespec deadline = mux_deadline_after (timeout_ms);
  Waiter *waiter;
  bool delivered;
  int rc = 0;

  pthread_mutex_lock (&waiters->lock);
  waiter = find (waiters, call);
  while (!waiter->has_response && rc == 0)
    rc = pthread_cond_timedwait (&waiter->changed, &waiters->lock, &deadline);
  delivered = waiter->has_response;
  if (delivered)
    *response = waiter->response;
  HASH_DEL (waiters->by_call, waiter);
  pthread_mutex_unlock (&waiters->lock);
  pthread_cond_destroy (&waiter->changed);
  free (waiter);
  return delivered;
}

bool
mux_response_waiters_deliver (MuxResponseWaiters *waiters,
                              const MuxResponse *response)
{
  Waiter *waiter;

  pthread_mutex_lock (&waiters->lock);
  waiter = find (waiters, response->call_id);
  if (waiter != NULL)
    {
      waiter->response = *response;
      waiter->has_response = true;
      pthread_cond_signal (&waiter->changed);
    }
  pthread_mutex_unlock (&waiters->lock);
  return waiter != NULL;
}
