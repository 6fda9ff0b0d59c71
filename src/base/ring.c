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
 * ck's rings synchronise through inline assembly, which the thread sanitizer
 * can't see: it would report the ring's own slots, and every item handed over.
 * So it is told to leave out ck's code, and that the push of an item happens
 * before the pop of that same item and of no other, which is what the ring
 * promises.  Unsynchronised use of an item by its threads is still found.
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
unseen_begin (void *pushed)
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
unseen_end (void *popped)
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
 * Failure: with ck's own enqueue of many producers each spins until those
 * before it have published.  On an instance with fewer cores than threads one
 * of them is put off its core half way, and the others spin through whole
 * time slices in its place: callers wait for hundreds of milliseconds while
 * all cores are busy.  Producers that wait at a lock sleep.
 */
struct MuxRing
{
  pthread_mutex_t push_lock;
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  sem_t tokens; /* one for each push and wake, where nobody watches */
  int fd;       /* the same for who polls; -1: nobody does */
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
mux_ring_new_watched (uint32_t capacity)
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
  unseen_begin (item);
  pushed = ck_ring_enqueue_spmc (&ring->ring, ring->buffer, item);
  unseen_end (NULL);
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

  unseen_begin (NULL);
  if (!ck_ring_dequeue_spmc (&ring->ring, ring->buffer, &item))
    item = NULL;
  unseen_end (item);
  return item;
}

static void
take_token (MuxRing *ring, int32_t timeout_ms)
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
 * Failure: a hundred threads poll one descriptor for the next call, each push
 * wakes them all, and all but one go back to sleep: half of a core went into
 * that.  A semaphore wakes one.  Its token is taken before the item, and the
 * item is there before its token, so that no item is left with everybody
 * asleep; whoever pops without a token leaves a spare one, which costs one
 * empty look.
 */
void *
mux_ring_wait (MuxRing *ring, int32_t timeout_ms)
{
  take_token (ring, timeout_ms);
  return mux_ring_pop (ring);
}

int
mux_ring_fd (const MuxRing *ring)
{
  return ring->fd;
}

void
mux_ring_settle (MuxRing *ring)
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
