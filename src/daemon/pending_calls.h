#ifndef DAEMON_PENDING_CALLS_H
#define DAEMON_PENDING_CALLS_H

#include "core/core.h"

/*
 * Callers that wait for an answer: one slot each, found again by the call
 * number of the MuxAsk.  A slot's number changes with each use, so that an
 * answer that comes after its caller has gone finds nobody and can't reach
 * the next caller in that slot.
 */
typedef struct MuxPendingCalls MuxPendingCalls;

/* Slots kept for operators, so that a flood of callers can't shut them out. */
#define MUX_PENDING_CALLS_RESERVED 32

/**
 * enum MuxWaitEnd - why a wait ended
 */
typedef enum
{
  MUX_WAIT_ANSWERED,
  MUX_WAIT_TIMEOUT, /* the slice is over; wait again or leave */
  MUX_WAIT_CLOSED,  /* mux_waiters_close(): nobody will answer any more */
} MuxWaitResult;

/** mux_waiters_new() - room for @max callers and the reserve; NULL: no memory
 */
MuxPendingCalls *mux_pending_calls_new (uint32_t max);
/** mux_waiters_free() - every caller has left */
void mux_pending_calls_free (MuxPendingCalls *waiters);
/** mux_waiters_enter() - take a slot; false: all are taken
 * @reserved: the reserve may be used
 * @call: receives its call number, never 0 */
bool
mux_pending_calls_add (MuxPendingCalls *waiters, bool reserved, uint64_t *call);
/** mux_waiters_wait() - wait for the answer, at most @slice_ms
 * @answer: filled when answered; its body's reference is the caller's */
MuxWaitResult mux_pending_calls_wait (MuxPendingCalls *waiters,
                                      uint64_t call,
                                      uint32_t slice_ms,
                                      MuxCoreResponse *answer);
/** mux_waiters_leave() - give the slot back, answered or not */
void mux_pending_calls_remove (MuxPendingCalls *waiters, uint64_t call);
/** mux_waiters_answer() - hand an answer over; any thread
 * Return: false when that caller has gone. */
bool mux_pending_calls_complete (MuxPendingCalls *waiters,
                                 const MuxCoreResponse *answer);
/** mux_waiters_close() - end all waits, now and later */
void mux_pending_calls_close (MuxPendingCalls *waiters);

#endif
