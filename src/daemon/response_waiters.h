#ifndef DAEMON_RESPONSE_WAITERS_H
#define DAEMON_RESPONSE_WAITERS_H

#include "port/cell.h"

/* Threads that each wait for the response to one request, by call number. */
typedef struct MuxResponseWaiters MuxResponseWaiters;

/** mux_response_waiters_new() - create an empty set
 * @first_call: number of the first call; the next ones count up from it
 *
 * Other daemons reply by call number.  A number used by a previous process of
 * this daemon must not be used again, or a late reply to it would reach the
 * caller of another job.
 * Return: NULL when out of memory. */
MuxResponseWaiters *mux_response_waiters_new (uint64_t first_call);
/** mux_response_waiters_free() - no waiter may be left */
void mux_response_waiters_free (MuxResponseWaiters *waiters);
/** mux_response_waiters_add() - add a waiter
 * @call: receives a call number that no other request has
 * Return: false when out of memory. */
bool mux_response_waiters_add (MuxResponseWaiters *waiters, uint64_t *call);
/** mux_response_waiters_wait() - wait for the response, then remove the waiter
 * Return: false when @timeout_ms passed first. */
bool mux_response_waiters_wait (MuxResponseWaiters *waiters,
                                uint64_t call,
                                uint32_t timeout_ms,
                                MuxResponse *response);
/** mux_response_waiters_deliver() - pass a response to its waiter
 * Any thread may call it.
 * Return: false when there is no such waiter any more. */
bool mux_response_waiters_deliver (MuxResponseWaiters *waiters,
                                   const MuxResponse *response);

#endif
