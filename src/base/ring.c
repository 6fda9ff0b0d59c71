#include "base/ring.h"

#include <ck_ring.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
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
  int fd;
};

MuxRing *
mux_ring_new (uint32_t capacity)
{
  MuxRing *ring = calloc (1, sizeof *ring);

  if (ring == NULL)
    return NULL;
  pthread_mutex_init (&ring->push_lock, NULL);
  ring->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC | EFD_SEMAPHORE);
  ring->buffer = calloc (capacity, sizeof *ring->buffer);
  if (ring->fd < 0 || ring->buffer == NULL)
    {
      mux_ring_free (ring);
      return NULL;
    }
  ck_ring_init (&ring->ring, capacity);
  return ring;
}

void
mux_ring_free (MuxRing *ring)
{
  if (ring == NULL)
    return;
  if (ring->fd >= 0)
    close (ring->fd);
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

void *
mux_ring_wait (MuxRing *ring, int32_t timeout_ms)
{
  struct pollfd fd = { ring->fd, POLLIN, 0 };
  eventfd_t one;
  void *item = mux_ring_pop (ring);

  if (item != NULL)
    {
      /* Failure: the token read here may be another item's, pushed since our
       * own token was taken by a consumer that found nothing; that item would
       * lie there with every consumer asleep.  So the token goes back while
       * anything is left; a spare one costs one empty look. */
      if (eventfd_read (ring->fd, &one) == 0 && ck_ring_size (&ring->ring) > 0)
        mux_ring_wake (ring, 1);
      return item;
    }
  if (poll (&fd, 1, timeout_ms) > 0)
    (void) eventfd_read (ring->fd, &one);
  return mux_ring_pop (ring);
}

int
mux_ring_fd (const MuxRing *ring)
{
  return ring->fd;
}

void
mux_ring_wake (MuxRing *ring, uint32_t n)
{
  (void) eventfd_write (ring->fd, n);
}
