#ifndef DAEMON_RESPONSE_WAITERS_H
#define DAEMON_RESPONSE_WAITERS_H

#include "port/cell.h"

/* Callers that wait for an answer to a question, found by its call number. */
typedef struct MuxResponseWaiters MuxResponseWaiters;

/** mux_question_waiters_new() - numbers its calls from @first_call on
 * Other daemons answer them by their number: one that a former process of this
 * daemon gave must not come again, else a caller is told what became of
 * another's job. */
MuxResponseWaiters *mux_response_waiters_new (uint64_t first_call);
/** mux_question_waiters_free() - every caller has left */
void mux_response_waiters_free (MuxResponseWaiters *callers);
/** mux_question_waiters_enter() - false: memory is out
 * @call: receives a number that no other question has */
bool mux_response_waiters_add (MuxResponseWaiters *callers, uint64_t *call);
/** mux_question_waiters_wait() - and leave
 * Return: false when @timeout_ms passed first. */
bool mux_response_waiters_wait (MuxResponseWaiters *callers,
                                uint64_t call,
                                uint32_t timeout_ms,
                                MuxResponse *reply);
/** mux_question_waiters_answer() - hand an answer over; any thread
 * Return: false when that caller has gone. */
bool mux_response_waiters_deliver (MuxResponseWaiters *callers,
                                   const MuxResponse *reply);

#endif
