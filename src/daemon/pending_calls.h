#ifndef DAEMON_PENDING_CALLS_H
#define DAEMON_PENDING_CALLS_H

#include "core/core.h"

/*
 * Calls that wait for a response of the core, one slot each.  The call number
 * holds the slot's index and a generation that changes with each use, so that
 * a response that comes after its caller has left can't reach the next caller
 * in that slot.
 */
typedef struct MuxPendingCalls MuxPendingCalls;

/* Slots reserved for operators, so that they have access under overload. */
#define MUX_PENDING_CALLS_RESERVED 32

/**
 * enum MuxWaitResult - why a wait ended
 */
typedef enum
{
  MUX_WAIT_ANSWERED,
  MUX_WAIT_TIMEOUT, /* the caller may wait again */
  MUX_WAIT_CLOSED,  /* mux_pending_calls_close(): no response will come */
} MuxWaitResult;

/** mux_pending_calls_new() - slots for @max callers and the reserved ones
 * Return: NULL when out of memory. */
MuxPendingCalls *mux_pending_calls_new (uint32_t max);
/** mux_pending_calls_free() - every slot must have been given back */
void mux_pending_calls_free (MuxPendingCalls *calls);
/** mux_pending_calls_add() - take a slot
 * @reserved: the reserved slots may be used
 * @call: receives the call number, never 0
 * Return: false when no slot is free. */
bool
mux_pending_calls_add (MuxPendingCalls *calls, bool reserved, uint64_t *call);
/** mux_pending_calls_wait() - wait for the response, at most @timeout_ms
 * @response: filled if MUX_WAIT_ANSWERED; the caller owns its body's reference
 */
MuxWaitResult mux_pending_calls_wait (MuxPendingCalls *calls,
                                      uint64_t call,
                                      uint32_t timeout_ms,
                                      MuxCoreResponse *response);
/** mux_pending_calls_remove() - give the slot back, answered or not */
void mux_pending_calls_remove (MuxPendingCalls *calls, uint64_t call);
/** mux_pending_calls_complete() - deliver a response to its waiting call
 * Any thread may call it.
 * Return: false when that call has been removed or answered already. */
bool mux_pending_calls_complete (MuxPendingCalls *calls,
                                 const MuxCoreResponse *response);
/** mux_pending_calls_close() - end all present and later waits */
void mux_pending_calls_close (MuxPendingCalls *calls);

#endif
