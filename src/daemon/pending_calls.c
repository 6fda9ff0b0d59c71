#include "pending_calls.h"

#include "clock.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  uint32_t generation;
  bool answered;
  MuxCoreResponse response;
} Slot;

struct MuxPendingCalls
{
  pthread_mutex_t lock; /* guards free_slot and free_count */
  uint32_t free_count;
  uint32_t slot_count;
  uint32_t *free_slot;
  atomic_bool closed;
  Slot slot[];
};

MuxPendingCalls *
mux_pending_calls_new (uint32_t max)
{
  uint32_t count = max + MUX_PENDING_CALLS_RESERVED;
  MuxPendingCalls *calls
      = calloc (1, sizeof *calls + count * sizeof calls->slot[0]);

  if (calls == NULL)
    return NULL;
  calls->free_slot = calloc (count, sizeof *calls->free_slot);
  if (calls->free_slot == NULL)
    {
      free (calls);
      return NULL;
    }
  pthread_mutex_init (&calls->lock, NULL);
  calls->slot_count = count;
  calls->free_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      calls->free_slot[i] = count - 1 - i;
      pthread_mutex_init (&calls->slot[i].lock, NULL);
      mux_cond_init (&calls->slot[i].changed);
    }
  return calls;
}

void
mux_pending_calls_free (MuxPendingCalls *calls)
{
  if (calls == NULL)
    return;
  for (uint32_t i = 0; i < calls->slot_count; i++)
    {
      pthread_cond_destroy (&calls->slot[i].changed);
      pthread_mutex_destroy (&calls->slot[i].lock);
    }
  pthread_mutex_destroy (&calls->lock);
  free (calls->free_slot);
  free (calls);
}

static uint32_t
slot_of_call (uint64_t call)
{
  return (uint32_t) call;
}

static uint32_t
generation_of_call (uint64_t call)
{
  return (uint32_t) (call >> 32);
}

bool
mux_pending_calls_add (MuxPendingCalls *calls, bool reserved, uint64_t *call)
{
  uint32_t kept = reserved ? 0 : MUX_PENDING_CALLS_RESERVED;
  uint32_t index = 0;
  bool found;
  Slot *slot;

  pthread_mutex_lock (&calls->lock);
  found = calls->free_count > kept;
  if (found)
    index = calls->free_slot[--calls->free_count];
  pthread_mutex_unlock (&calls->lock);
  if (!found)
    return false;
  slot = &calls->slot[index];
  pthread_mutex_lock (&slot->lock);
  slot->generation++;
  if (slot->generation == 0)
    slot->generation = 1;
  slot->answered = false;
  *call = (uint64_t) slot->generation << 32 | index;
  pthread_mutex_unlock (&slot->lock);
  return true;
}

MuxWaitResult
mux_pending_calls_wait (MuxPendingCalls *calls,
                        uint64_t call,
                        uint32_t timeout_ms,
                        MuxCoreResponse *response)
{
  Slot *slot = &calls->slot[slot_of_call (call)];
  struct timespec deadline = mux_deadline_after (timeout_ms);
  MuxWaitResult result = MUX_WAIT_TIMEOUT;
  int rc = 0;

  pthread_mutex_lock (&slot->lock);
  while (!slot->answered && !calls->closed && rc == 0)
    rc = pthread_cond_timedwait (&slot->changed, &slot->lock, &deadline);
  if (slot->answered)
    {
      *response = slot->response;
      slot->response.body = NULL;
      result = MUX_WAIT_ANSWERED;
    }
  else if (calls->closed)
    result = MUX_WAIT_CLOSED;
  pthread_mutex_unlock (&slot->lock);
  return result;
}

void
mux_pending_calls_remove (MuxPendingCalls *calls, uint64_t call)
{
  uint32_t index = slot_of_call (call);
  Slot *slot = &calls->slot[index];

  pthread_mutex_lock (&slot->lock);
  mux_blob_unref (slot->response.body);
  slot->response.body = NULL;
  /* A late response no longer matches the call number. */
  slot->generation++;
  pthread_mutex_unlock (&slot->lock);
  pthread_mutex_lock (&calls->lock);
  calls->free_slot[calls->free_count++] = index;
  pthread_mutex_unlock (&calls->lock);
}

bool
mux_pending_calls_complete (MuxPendingCalls *calls,
                            const MuxCoreResponse *response)
{
  uint32_t index = slot_of_call (response->call_id);
  Slot *slot;
  bool found;

  if (index >= calls->slot_count)
    return false;
  slot = &calls->slot[index];
  pthread_mutex_lock (&slot->lock);
  found = slot->generation == generation_of_call (response->call_id)
          && !slot->answered;
  if (found)
    {
      slot->response = *response;
      mux_blob_ref (response->body);
      slot->answered = true;
      pthread_cond_signal (&slot->changed);
    }
  pthread_mutex_unlock (&slot->lock);
  return found;
}

void
mux_pending_calls_close (MuxPendingCalls *calls)
{
  calls->closed = true;
  for (uint32_t i = 0; i < calls->slot_count; i++)
    {
      pthread_mutex_lock (&calls->slot[i].lock);
      pthread_cond_signal (&calls->slot[i].changed);
      pthread_mutex_unlock (&calls->slot[i].lock);
    }
}
