#include "base/ring.h"

#include <ck_ring.h>
#include <errno.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

/*
 * Concurrency Kit's rings synchronise through inline assembly, which the thread
 * sanitizer does not see: it would report races on the ring's slots and on
 * every item passed through it.  It is therefore told to ignore the accesses
 * within ck, and that the push of an item happens before the pop of the same
 * item and of no other, as the ring guarantees.  Data races on an item outside
 * of the ring are still reported.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *addr);
void __tsan_release (void *addr);
void AnnotateIgnoreReadsBegin (const char *file, int line);
void AnnotateIgnoreReadsEnd (const char *file, int line);
void AnnotateIgnoreWritesBegin (const char *file, int line);
void AnnotateIgnoreWritesEnd (const char *file, int line);
#endif

static void
tsan_ignore_begin (void *pushed)
{
#ifdef __SANITIZE_THREAD__
  if (pushed != NULL)
    __tsan_release (pushed);
  AnnotateIgnoreReadsBegin (__FILE__, __LINE__);
  AnnotateIgnoreWritesBegin (__FILE__, __LINE__);
#else
  (void) pushed;
#endif
}

static void
tsan_ignore_end (void *popped)
{
#ifdef __SANITIZE_THREAD__
  AnnotateIgnoreWritesEnd (__FILE__, __LINE__);
  AnnotateIgnoreReadsEnd (__FILE__, __LINE__);
  if (popped != NULL)
    __tsan_acquire (popped);
#else
  (void) popped;
#endif
}

/*
 * Producers take a lock instead of using ck's multi-producer enqueue, in which
 * each producer spins until those before it have published.  With fewer cores
 * than threads a producer may be preempted in between, and the others spin
 * through whole time slices: callers then wait for hundreds of milliseconds
 * with all cores busy.  Producers that wait for a lock sleep.
 */
struct MuxRing
{
  pthread_mutex_t push_lock;
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  sem_t tokens; /* one per push and wake-up, unless watched */
  int fd;       /* eventfd of a watched ring; -1 for any other */
};

MuxRing *
mux_ring_new (uint32_t capacity)
{
  MuxRing *ring = calloc (1, sizeof *ring);

  if (ring == NULL)
    return NULL;
  pthread_mutex_init (&ring->push_lock, NULL);
  sem_init (&ring->tokens, 0, 0);
  ring->fd = -1;
  ring->buffer = calloc (capacity, sizeof *ring->buffer);
  if (ring->buffer == NULL)
    {
      mux_ring_free (ring);
      return NULL;
    }
  ck_ring_init (&ring->ring, capacity);
  return ring;
}

MuxRing *
mux_ring_new_pollable (uint32_t capacity)
{
  MuxRing *ring = mux_ring_new (capacity);

  if (ring == NULL)
    return NULL;
  ring->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (ring->fd >= 0)
    return ring;
  mux_ring_free (ring);
  return NULL;
}

void
mux_ring_free (MuxRing *ring)
{
  if (ring == NULL)
    return;
  if (ring->fd >= 0)
    close (ring->fd);
  sem_destroy (&ring->tokens);
  pthread_mutex_destroy (&ring->push_lock);
  free (ring->buffer);
  free (ring);
}

bool
mux_ring_push (MuxRing *ring, void *item)
{
  bool pushed;

  pthread_mutex_lock (&ring->push_lock);
  tsan_ignore_begin (item);
  pushed = ck_ring_enqueue_spmc (&ring->ring, ring->buffer, item);
  tsan_ignore_end (NULL);
  pthread_mutex_unlock (&ring->push_lock);
  if (!pushed)
    return false;
  mux_ring_wake (ring, 1);
  return true;
}

void *
mux_ring_pop (MuxRing *ring)
{
  void *item = NULL;

  tsan_ignore_begin (NULL);
  if (!ck_ring_dequeue_spmc (&ring->ring, ring->buffer, &item))
    item = NULL;
  tsan_ignore_end (item);
  return item;
}

static void
wait_token (MuxRing *ring, int32_t timeout_ms)
{
  struct timespec until;

  if (timeout_ms < 0)
    {
      while (sem_wait (&ring->tokens) != 0 && errno == EINTR)
        continue;
      return;
    }
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += timeout_ms / 1000;
  until.tv_nsec += timeout_ms % 1000 * 1000000L;
  if (until.tv_nsec >= 1000000000L)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000L;
    }
  while (sem_clockwait (&ring->tokens, CLOCK_MONOTONIC, &until) != 0
         && errno == EINTR)
    continue;
}

/*
 * Consumers wait at a semaphore, since it wakes one of them per push: were a
 * hundred threads to poll one descriptor, each push would wake them all, which
 * cost half of a core.  An item is pushed before its token is posted, and the
 * token is taken before the item, so that no item remains while all consumers
 * sleep.  A pop without a token leaves a surplus token, which costs one pop
 * from an empty ring.
 */
void *
mux_ring_wait (MuxRing *ring, int32_t timeout_ms)
{
  wait_token (ring, timeout_ms);
  return mux_ring_pop (ring);
}

int
mux_ring_fd (const MuxRing *ring)
{
  return ring->fd;
}

void
mux_ring_clear_event (MuxRing *ring)
{
  eventfd_t seen;

  (void) eventfd_read (ring->fd, &seen);
}

void
mux_ring_wake (MuxRing *ring, uint32_t n)
{
  if (ring->fd >= 0)
    {
      (void) eventfd_write (ring->fd, n);
      return;
    }
  while (n-- > 0)
    (void) sem_post (&ring->tokens);
}
