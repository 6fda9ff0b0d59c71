#include "base/ring.h"

#include <ck_ring.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct MuxRing
{
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
  free (ring->buffer);
  free (ring);
}

bool
mux_ring_push (MuxRing *ring, void *item)
{
  if (!ck_ring_enqueue_mpmc (&ring->ring, ring->buffer, item))
    return false;
  mux_ring_wake (ring, 1);
  return true;
}

void *
mux_ring_pop (MuxRing *ring)
{
  void *item = NULL;

  if (!ck_ring_dequeue_mpmc (&ring->ring, ring->buffer, &item))
    return NULL;
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
      /* Its token may be gone already; a spare token costs one empty look. */
      (void) eventfd_read (ring->fd, &one);
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
