#ifndef CORE_TIMERS_H
#define CORE_TIMERS_H

#include "core_private.h"

/* A queue of timers by subject. An entry can't be cancelled: the handler
 * compares its time with the one kept at the subject and ignores an entry
 * that was superseded. */
Timers *timers_new (void);
void timers_free (Timers *timers);
/** timers_add() - false: memory is exhausted */
bool timers_add (Timers *timers, int64_t at_ms, MuxId subject);
/** timers_next_ms() - return the earliest time; INT64_MAX: no timer */
int64_t timers_next_ms (const Timers *timers);
/** timers_pop() - remove the earliest timer; false: none is due at @now_ms */
bool
timers_pop (Timers *timers, int64_t now_ms, int64_t *at_ms, MuxId *subject);

#endif
