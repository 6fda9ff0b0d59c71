#ifndef BASE_RING_H
#define BASE_RING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct MuxRing MuxRing;

/**
 * mux_ring_new() - bounded ring of pointers, many producers, many consumers
 * @capacity: power of two; one slot stays free
 * Return: NULL when memory or descriptors are out.
 */
MuxRing *mux_ring_new (uint32_t capacity);
/** mux_ring_new_watched() - one whose consumer polls mux_ring_fd() in place of
 * mux_ring_wait() */
MuxRing *mux_ring_new_watched (uint32_t capacity);
/** mux_ring_free() - the entries left inside stay the caller's */
void mux_ring_free (MuxRing *ring);
/** mux_ring_push() - false at once when full; waits for no consumer */
bool mux_ring_push (MuxRing *ring, void *item);
/** mux_ring_pop() - NULL when empty */
void *mux_ring_pop (MuxRing *ring);
/**
 * mux_ring_wait() - wait until something may be there
 * @timeout_ms: at most this long; negative waits without end
 * Return: an entry or NULL.
 */
void *mux_ring_wait (MuxRing *ring, int32_t timeout_ms);
/** mux_ring_fd() - of a watched ring: readable since something was pushed; -1
 * of any other */
int mux_ring_fd (const MuxRing *ring);
/** mux_ring_settle() - of a watched ring: make its descriptor wait for the next
 * push, before taking what is there */
void mux_ring_settle (MuxRing *ring);
/** mux_ring_wake() - let @n waiting consumers return with NULL */
void mux_ring_wake (MuxRing *ring, uint32_t n);

#endif
