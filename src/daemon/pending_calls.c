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
  MuxCoreResponse answer;
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
  MuxPendingCalls *waiters
      = calloc (1, sizeof *waiters + count * sizeof waiters->slot[0]);

  if (waiters == NULL)
    return NULL;
  waiters->free_slot = calloc (count, sizeof *waiters->free_slot);
  if (waiters->free_slot == NULL)
    {
      free (waiters);
      return NULL;
    }
  pthread_mutex_init (&waiters->lock, NULL);
  waiters->slot_count = count;
  waiters->free_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      waiters->free_slot[i] = count - 1 - i;
      pthread_mutex_init (&waiters->slot[i].lock, NULL);
      mux_cond_init (&waiters->slot[i].changed);
    }
  return waiters;
}

void
mux_pending_calls_free (MuxPendingCalls *waiters)
{
  if (waiters == NULL)
    return;
  for (uint32_t i = 0; i < waiters->slot_count; i++)
    {
      pthread_cond_destroy (&waiters->slot[i].changed);
      pthread_mutex_destroy (&waiters->slot[i].lock);
    }
  pthread_mutex_destroy (&waiters->lock);
  free (waiters->free_slot);
  free (waiters);
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
mux_pending_calls_add (MuxPendingCalls *waiters, bool reserved, uint64_t *call)
{
  uint32_t keep = reserved ? 0 : MUX_PENDING_CALLS_RESERVED;
  uint32_t index = 0;
  bool found;
  Slot *slot;

  pthread_mutex_lock (&waiters->lock);
  found = waiters->free_count > keep;
  if (found)
    index = waiters->free_slot[--waiters->free_count];
  pthread_mutex_unlock (&waiters->lock);
  if (!found)
    return false;
  slot = &waiters->slot[index];
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
mux_pending_calls_wait (MuxPendingCalls *waiters,
                        uint64_t call,
                        uint32_t slice_ms,
                        MuxCoreResponse *answer)
{
  Slot *slot = &waiters->slot[slot_of_call (call)];
  struct timespec deadline = mux_deadline_after (slice_ms);
  MuxWaitResult end = MUX_WAIT_TIMEOUT;
  int rc = 0;

  pthread_mutex_lock (&slot->lock);
  while (!slot->answered && !waiters->closed && rc == 0)
    rc = pthread_cond_timedwait (&slot->changed, &slot->lock, &deadline);
  if (slot->answered)
    {
      *answer = slot->answer;
      slot->answer.body = NULL;
      end = MUX_WAIT_ANSWERED;
    }
  else if (waiters->closed)
    end = MUX_WAIT_CLOSED;
  pthread_mutex_unlock (&slot->lock);
  return end;
}

void
mux_pending_calls_remove (MuxPendingCalls *waiters, uint64_t call)
{
  uint32_t index = slot_of_call (call);
  Slot *slot = &waiters->slot[index];

  pthread_mutex_lock (&slot->lock);
  mux_blob_unref (slot->answer.body);
  slot->answer.body = NULL;
  /* From here on a late answer finds another number. */
  slot->generation++;
  pthread_mutex_unlock (&slot->lock);
  pthread_mutex_lock (&waiters->lock);
  waiters->free_slot[waiters->free_count++] = index;
  pthread_mutex_unlock (&waiters->lock);
}

bool
mux_pending_calls_complete (MuxPendingCalls *waiters,
                            const MuxCoreResponse *answer)
{
  uint32_t index = slot_of_call (answer->call_id);
  Slot *slot;
  bool found;

  if (index >= waiters->slot_count)
    return false;
  slot = &waiters->slot[index];
  pthread_mutex_lock (&slot->lock);
  found = slot->generation == generation_of_call (answer->call_id)
          && !slot->answered;
  if (found)
    {
      slot->answer = *answer;
      mux_blob_ref (answer->body);
      slot->answered = true;
      pthread_cond_signal (&slot->changed);
    }
  pthread_mutex_unlock (&slot->lock);
  return found;
}

void
mux_pending_calls_close (MuxPendingCalls *waiters)
{
  waiters->closed = true;
  for (uint32_t i = 0; i < waiters->slot_count; i++)
    {
      pthread_mutex_lock (&waiters->slot[i].lock);
      pthread_cond_signal (&waiters->slot[i].changed);
      pthread_mutex_unlock (&waiters->slot[i].lock);
    }
}
