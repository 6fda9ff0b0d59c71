#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct MuxRing MuxRing;

/**
 * mux_ring_new() - create a bounded multi-producer, multi-consumer queue of
 * pointers
 * @capacity: a power of two; holds @capacity - 1 entries
 * Return: NULL if out of memory.
 */
MuxRing *mux_ring_new (uint32_t capacity);
/** mux_ring_new_pollable() - create a ring whose consumer polls mux_ring_fd()
 * instead of calling mux_ring_wait()
 * Return: NULL if out of memory or file descriptors. */
MuxRing *mux_ring_new_pollable (uint32_t capacity);
/** mux_ring_free() - free the ring, but not the entries left in it */
void mux_ring_free (MuxRing *ring);
/** mux_ring_push() - append an entry; does not wait for consumers
 * Return: false if the ring is full. */
bool mux_ring_push (MuxRing *ring, void *item);
/** mux_ring_pop() - take the oldest entry
 * Return: NULL if the ring is empty. */
void *mux_ring_pop (MuxRing *ring);
/**
 * mux_ring_wait() - wait for a push or a wake-up and take the oldest entry
 * @timeout_ms: longest wait; negative: no limit
 * Return: NULL after a wake-up, a time-out or a spurious wake-up.
 */
void *mux_ring_wait (MuxRing *ring, int32_t timeout_ms);
/** mux_ring_fd() - event descriptor of a watched ring, readable after a push
 * until mux_ring_clear_event(); -1 for any other ring */
int mux_ring_fd (const MuxRing *ring);
/** mux_ring_clear_event() - clear the event descriptor of a watched ring; call
 * it before popping, so that a concurrent push makes it readable again */
void mux_ring_clear_event (MuxRing *ring);
/** mux_ring_wake() - make @n waiting consumers return from mux_ring_wait() */
void mux_ring_wake (MuxRing *ring, uint32_t n);

#endif
