#include "response_waiters.h"

#include "clock.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct
{
  uint64_t call;
  pthread_cond_t answered;
  bool has_reply;
  MuxResponse reply;
  UT_hash_handle hh;
} Caller;

struct MuxResponseWaiters
{
  pthread_mutex_t lock;
  uint64_t next_call;
  Caller *by_call;
};

MuxResponseWaiters *
mux_response_waiters_new (uint64_t first_call)
{
  MuxResponseWaiters *callers = calloc (1, sizeof *callers);

  if (callers == NULL)
    return NULL;
  pthread_mutex_init (&callers->lock, NULL);
  callers->next_call = first_call;
  return callers;
}

void
mux_response_waiters_free (MuxResponseWaiters *callers)
{
  if (callers == NULL)
    return;
  pthread_mutex_destroy (&callers->lock);
  free (callers);
}

bool
mux_response_waiters_add (MuxResponseWaiters *callers, uint64_t *call)
{
  Caller *caller = calloc (1, sizeof *caller);

  if (caller == NULL)
    return false;
  mux_cond_init (&caller->answered);
  pthread_mutex_lock (&callers->lock);
  caller->call = callers->next_call++;
  HASH_ADD (hh, callers->by_call, call, sizeof caller->call, caller);
  pthread_mutex_unlock (&callers->lock);
  *call = caller->call;
  return true;
}

static Caller *
find (MuxResponseWaiters *callers, uint64_t call)
{
  Caller *caller;

  HASH_FIND (hh, callers->by_call, &call, sizeof call, caller);
  return caller;
}

bool
mux_response_waiters_wait (MuxResponseWaiters *callers,
                           uint64_t call,
                           uint32_t timeout_ms,
                           MuxResponse *reply)
{
  struct timespec deadline = mux_deadline_after (timeout_ms);
  Caller *caller;
  bool answered;
  int rc = 0;

  pthread_mutex_lock (&callers->lock);
  caller = find (callers, call);
  while (!caller->has_reply && rc == 0)
    rc = pthread_cond_timedwait (&caller->answered, &callers->lock, &deadline);
  answered = caller->has_reply;
  if (answered)
    *reply = caller->reply;
  HASH_DEL (callers->by_call, caller);
  pthread_mutex_unlock (&callers->lock);
  pthread_cond_destroy (&caller->answered);
  free (caller);
  return answered;
}

bool
mux_response_waiters_deliver (MuxResponseWaiters *callers,
                              const MuxResponse *reply)
{
  Caller *caller;

  pthread_mutex_lock (&callers->lock);
  caller = find (callers, reply->call_id);
  if (caller != NULL)
    {
      caller->reply = *reply;
      caller->has_reply = true;
      pthread_cond_signal (&caller->answered);
    }
  pthread_mutex_unlock (&callers->lock);
  return caller != NULL;
}
