#ifndef DAEMON_CALLERS_H
#define DAEMON_CALLERS_H

#include "port/cell.h"

/* Callers that wait for an answer to a question, found by its call number. */
typedef struct MuxCallers MuxCallers;

MuxCallers *mux_callers_new (void);
/** mux_callers_free() - every caller has left */
void mux_callers_free (MuxCallers *callers);
/** mux_callers_enter() - false: memory is out
 * @call: receives a number that no other question has */
bool mux_callers_enter (MuxCallers *callers, uint64_t *call);
/** mux_callers_wait() - and leave
 * Return: false when @timeout_ms passed first. */
bool mux_callers_wait (MuxCallers *callers,
                       uint64_t call,
                       uint32_t timeout_ms,
                       MuxQuestionReply *reply);
/** mux_callers_answer() - hand an answer over; any thread
 * Return: false when that caller has gone. */
bool mux_callers_answer (MuxCallers *callers, const MuxQuestionReply *reply);

#endif
